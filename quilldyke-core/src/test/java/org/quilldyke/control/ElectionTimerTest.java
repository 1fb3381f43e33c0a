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
package org.quilldyke.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * A replica must start a pre-vote soon after its start: after a power loss of all replicas, half a
 * second passed before the first one did.
 */
final class ElectionTimerTest {
    private static final long ELECTION_MILLIS = 400;

    @Test
    void firstPreVoteIsDueSoonAfterStart() {
        ElectionTimer timer = timer(0);
        assertThat(timer.isDue(49)).isFalse();
        assertThat(timer.isDue(100)).isTrue();
    }

    @Test
    void waitsAFullTimeoutAfterLeaderContact() {
        ElectionTimer timer = timer(0);
        timer.restartOnLeaderContact(50);
        assertThat(timer.isDue(50 + ELECTION_MILLIS - 1)).isFalse();
        assertThat(timer.isDue(50 + 2 * ELECTION_MILLIS)).isTrue();
    }

    @Test
    void backsOffAfterEachFailedElection() {
        ElectionTimer timer = timer(0);
        timer.restartAfterFailedElection(0);
        assertThat(timer.isDue(2 * ELECTION_MILLIS - 1)).isFalse();
        timer.restartAfterFailedElection(0);
        assertThat(timer.isDue(4 * ELECTION_MILLIS - 1)).isFalse();
        assertThat(timer.isDue(8 * ELECTION_MILLIS)).isTrue();
    }

    @Test
    void repeatedPreVotesAreSoonAndRandomized() {
        ElectionTimer first = timer(1);
        ElectionTimer second = timer(2);
        first.restartForPreVote(0);
        second.restartForPreVote(0);
        long firstDue = dueAt(first);
        long secondDue = dueAt(second);
        assertThat(firstDue).isAtMost(ELECTION_MILLIS / 4);
        assertThat(secondDue).isAtMost(ELECTION_MILLIS / 4);
        assertThat(firstDue).isNotEqualTo(secondDue);
    }

    private static long dueAt(ElectionTimer timer) {
        long now = 0;
        while (!timer.isDue(now)) {
            now++;
        }
        return now;
    }

    private static ElectionTimer timer(long seed) {
        return new ElectionTimer(ELECTION_MILLIS, new SplittableRandom(seed), 0);
    }
}
