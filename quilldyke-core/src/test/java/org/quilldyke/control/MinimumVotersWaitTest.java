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

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * A leader must not commit before there are enough voters: a manifest acknowledged by three voters
 * was lost with two disks, which the group had to tolerate.
 */
class MinimumVotersWaitTest {
    private static final Membership THREE = Membership.ofIds(List.of("a", "b", "c"));
    private static final Membership FIVE = Membership.ofIds(List.of("a", "b", "c", "d", "e"));

    @Test
    void waitsForEnoughVoters() {
        MinimumVotersWait wait = new MinimumVotersWait(5, 1000);
        wait.update(1000 + MinimumVotersWait.MAX_WAIT_MILLIS - 1);

        assertThat(wait.isOver(THREE)).isFalse();
        assertThat(wait.isOver(FIVE)).isTrue();
    }

    /**
     * Machines that never start count as lost, and the rest of the group continues without them.
     */
    @Test
    void waitTimesOutIfMachinesNeverStart() {
        MinimumVotersWait wait = new MinimumVotersWait(5, 1000);
        wait.update(1000 + MinimumVotersWait.MAX_WAIT_MILLIS);

        assertThat(wait.isOver(THREE)).isTrue();
    }

    /** A single replica leads at once, but accepts no command until the wait is over. */
    @Test
    void leaderRefusesCommandsUntilTheWaitIsOver() throws Exception {
        ReplicaSettings settings =
                ReplicaSettings.of("a", Membership.ofIds(List.of("a"))).withToleratedLosses(1);
        DurableState disk =
                new DurableState(
                        new Ballot(0, "", true), 0, 0, new byte[0], Membership.empty(), List.of());
        Replica replica = Replica.restore(settings, disk, new SplittableRandom(1), 0, 0);
        long now = 0;
        while (!replica.isLeader()) {
            replica.tick(now++);
        }

        assertThat(replica.propose(new byte[] {1})).isEqualTo(-1);

        replica.tick(now + MinimumVotersWait.MAX_WAIT_MILLIS);
        assertThat(replica.propose(new byte[] {1})).isGreaterThan(0);
    }
}
