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
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

class RoomShareTest {
    private static final int MAX_REFUSALS = 6;
    private static final double OVERLOAD = 3;

    @Test
    void partsOfAllInstancesAddUpToTheSlots() {
        for (int instances : new int[] {1, 6, 11, 84}) {
            for (int slots : new int[] {1, 6, 64}) {
                int sum = 0;
                for (int rank = 0; rank < instances; rank++) {
                    sum += new InstanceRank(rank, instances).part(slots, 12_345);
                }
                assertThat(sum).isEqualTo(slots);
            }
        }
    }

    @Test
    void refusalPausesAndHalvesThePart() {
        RoomShare share = RoomShare.of(64, 10, 6, MAX_REFUSALS, 0);
        share.onRefused(8, 0.5, 0);

        assertThat(share.admits(0, 0, 2499)).isFalse();
        assertThat(share.admits(3, 0, 2500)).isTrue();
        assertThat(share.admits(5, 0, 2500)).isFalse();
    }

    @Test
    void instanceWithoutAPartUsesNearlyIdleTargetsOnly() {
        RoomShare share = RoomShare.of(6, 0, 84, MAX_REFUSALS, 0);

        assertThat(share.admits(0, 1, 0)).isTrue();
        assertThat(share.admits(1, 1, 0)).isFalse();
        assertThat(share.admits(0, 2, 0)).isFalse();
    }

    @Test
    void targetsSurviveAnOverload() {
        for (int instances : new int[] {6, 11, 84}) {
            for (BrittleTargets.Kind kind : BrittleTargets.Kind.values()) {
                BrittleTargets backOff = BrittleTargets.of(kind, instances, MAX_REFUSALS, false);
                BrittleTargets shares = BrittleTargets.of(kind, instances, MAX_REFUSALS, true);

                int failuresBackingOff = backOff.play(OVERLOAD);
                int failures = shares.play(OVERLOAD);

                System.out.printf(
                        "brittle %s, %d instances: failures %d and %d, served %d and %d%n",
                        kind,
                        instances,
                        failuresBackingOff,
                        failures,
                        backOff.served(),
                        shares.served());
                assertWithMessage("%s, %s instances", kind, instances)
                        .that(failures)
                        .isAtMost(2 + kind.targets() / 10);
                assertThat(failuresBackingOff).isGreaterThan(failures);
            }
        }
    }
}
