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

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.engine.TargetReport;

/** Requests beyond this instance's share of the limits of targets. */
class PermitBorrowingTest {
    private static final InstanceRank ONE_OF_TWO = new InstanceRank(0, 2);
    private static final double PER_SECOND = 2;

    /** The first permit of a share is available after an interval at the latest. */
    private static final long START = 1000;

    private final TargetSelector mSelector =
            TargetSelector.create("z", 7500, new SplittableRandom(1));

    @BeforeEach
    void addTargets() {
        mSelector.onInstanceRank(ONE_OF_TWO, 0);
        for (String id : List.of("a", "b")) {
            mSelector.onReport(
                    new TargetReport(id, "s", id + ":1", "z", "v", 64, false, 0, Map.of(), 1));
            mSelector.onLimit(new AdvertisedLimit(id, PER_SECOND, 0), 0);
        }
    }

    @Test
    void ownPermitsAreUsedFirst() {
        mSelector.onRelayAvailable(true);

        assertThat(choose(START).orElseThrow().borrowsPermit()).isFalse();
        assertThat(choose(START).orElseThrow().borrowsPermit()).isFalse();
        assertThat(choose(START).orElseThrow().borrowsPermit()).isTrue();
    }

    @Test
    void nothingIsBorrowedWithoutARelay() {
        useOwnPermits();

        assertThat(choose(START)).isEmpty();
        assertThat(mSelector.borrowing().isWanted(START)).isTrue();
    }

    @Test
    void relaysAreNotRequestedWhileATargetHasAPermit() {
        choose(START);

        assertThat(mSelector.borrowing().isWanted(START)).isFalse();
    }

    @Test
    void targetIsNotTriedAgainRightAfterADenial() {
        mSelector.onRelayAvailable(true);
        useOwnPermits();
        mSelector.borrowing().onDenied("a", START);

        assertThat(choose(START).orElseThrow().target()).isEqualTo("b");
        mSelector.borrowing().onDenied("b", START);
        assertThat(choose(START)).isEmpty();
        assertThat(choose(START + PermitBorrowing.DENIED_MILLIS)).isPresent();
    }

    /** Guards against messages to relays for each target of a large service that is overloaded. */
    @Test
    void nothingIsBorrowedAfterManyDenials() {
        mSelector.onRelayAvailable(true);
        useOwnPermits();
        for (int i = 0; i < PermitBorrowing.MAX_DENIALS; i++) {
            assertThat(choose(START)).isPresent();
            mSelector.borrowing().onDenied("other-" + i, START);
        }

        assertThat(choose(START)).isEmpty();
        assertThat(choose(START + PermitBorrowing.DENIED_MILLIS)).isPresent();
    }

    @Test
    void lentPermitIsUsedUp() {
        assertThat(mSelector.lendPermit("a", START)).isTrue();
        assertThat(mSelector.lendPermit("a", START)).isFalse();
        assertThat(mSelector.lendPermit("unknown", START)).isFalse();

        assertThat(choose(START).orElseThrow().target()).isEqualTo("b");
        assertThat(choose(START)).isEmpty();
    }

    /** Guards against a limit that is exceeded by those that don't know it. */
    @Test
    void nothingIsLentWithoutAKnownLimit() {
        mSelector.onReport(new TargetReport("c", "s", "c:1", "z", "v", 64, false, 0, Map.of(), 1));

        assertThat(mSelector.lendPermit("c", START)).isFalse();
    }

    /** Guards against a permit that a borrowed one delays. */
    @Test
    void borrowingDoesNotDelayOwnPermits() {
        mSelector.onRelayAvailable(true);
        useOwnPermits();
        long next = START + 1000;
        for (long now = START; now < next; now += 100) {
            assertThat(choose(now).orElseThrow().borrowsPermit()).isTrue();
        }

        assertThat(choose(next).orElseThrow().borrowsPermit()).isFalse();
    }

    private void useOwnPermits() {
        choose(START);
        choose(START);
    }

    private Optional<Choice> choose(long now) {
        ForwardRequest request = ChoiceSequence.request("id", false, now);
        Optional<Choice> choice = mSelector.choose(request, Set.of(), now);
        choice.ifPresent(chosen -> mSelector.onDispatch(chosen, request, now));
        return choice;
    }
}
