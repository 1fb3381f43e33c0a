/*
 * Copyright 2026 The quilldyke authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *     http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.quilldyke.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks what all instances together send to a target that advertises a limit. */
class RateLimitShareTest {
    private static final long WINDOW_MILLIS = 4000;
    private static final long STEP_MILLIS = 20;
    private static final long RUN_MILLIS = 120_000;

    /**
     * The most sharers of a target, and the number of requests that it accepts in a window beyond
     * one and a half times its limit.
     */
    private static final int MAX_SHARERS = 5;

    @Test
    void permitsFollowTheSharedRate() {
        RateLimitShare share = RateLimitShare.of(2, 4, 0.5, 0);

        assertThat(share.hasPermit(999)).isFalse();
        assertThat(share.hasPermit(1000)).isTrue();
        share.consumePermit(1300);
        assertThat(share.hasPermit(3299)).isFalse();
        assertThat(share.hasPermit(3300)).isTrue();
    }

    @Test
    void permitsDoNotAccumulate() {
        RateLimitShare share = RateLimitShare.of(2, 4, 0.5, 0);

        assertThat(share.hasPermit(100_000)).isTrue();
        share.consumePermit(100_000);
        assertThat(share.hasPermit(101_999)).isFalse();
    }

    @Test
    void limitChangeScalesTheRemainingWait() {
        RateLimitShare share = RateLimitShare.of(1, 10, 1, 0);
        share.onLimitChange(10, 10, 5000);

        assertThat(share.hasPermit(5499)).isFalse();
        assertThat(share.hasPermit(5500)).isTrue();
    }

    @Test
    void targetWithZeroLimitIsProbedPeriodically() {
        RateLimitShare share = RateLimitShare.of(0, 1, 1, 0);

        assertThat(share.hasPermit(9999)).isFalse();
        assertThat(share.hasPermit(10_000)).isTrue();
    }

    @Test
    void eachTargetIsSharedByAnotherSetOfInstances() {
        for (int instances : List.of(1, 3, 5, 11, 87, 300)) {
            Set<Integer> users = new HashSet<>();
            for (long target = -500; target < 500; target++) {
                int sharers = 0;
                for (int rank = 0; rank < instances; rank++) {
                    if (new InstanceRank(rank, instances).isSharer(target)) {
                        sharers++;
                        users.add(rank);
                    }
                }
                assertThat(sharers).isEqualTo(Math.min(MAX_SHARERS, instances));
            }
            assertThat(users).hasSize(instances);
        }
        assertThat(InstanceRank.UNKNOWN.isSharer(7)).isFalse();
    }

    @Test
    void sharersTogetherStayWithinTheLimit() {
        for (int sharers = 1; sharers <= MAX_SHARERS; sharers++) {
            for (double limit : List.of(0.0, 0.3, 1.2, 1.9, 5.0, 40.0)) {
                for (int seed = 1; seed <= 20; seed++) {
                    int allowed = (int) (1.5 * limit * WINDOW_MILLIS / 1000) + MAX_SHARERS;
                    assertThat(maxSentInWindow(sharers, limit, 0, seed)).isAtMost(allowed);
                    assertThat(maxSentInWindow(sharers, limit, RUN_MILLIS / 2, seed))
                            .isAtMost(allowed);
                }
            }
        }
    }

    /**
     * Returns the most requests sent in a window if all shares are used continuously from {@code
     * startMillis} on.
     */
    private static int maxSentInWindow(int sharers, double limit, long startMillis, int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<RateLimitShare> shares = new ArrayList<>();
        for (int i = 0; i < sharers; i++) {
            shares.add(RateLimitShare.of(limit, sharers, random.nextDouble(), 0));
        }
        List<Long> sent = new ArrayList<>();
        int first = 0;
        int max = 0;
        for (long now = startMillis; now < RUN_MILLIS; now += STEP_MILLIS) {
            for (RateLimitShare share : shares) {
                if (share.hasPermit(now)) {
                    share.consumePermit(now);
                    sent.add(now);
                }
            }
            while (first < sent.size() && sent.get(first) <= now - WINDOW_MILLIS) {
                first++;
            }
            max = Math.max(max, sent.size() - first);
        }
        return max;
    }
}
