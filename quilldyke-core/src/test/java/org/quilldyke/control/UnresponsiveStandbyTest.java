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
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * A leader must not promote a standby that has never answered it. The last contact with such a
 * standby is {@link Long#MIN_VALUE}, and the time since then overflowed and looked recent.
 *
 * <p>The failure came about when two machines and their disks were replaced, one after the other.
 * The first was a standby, and its id stayed in the membership. The second was a voter and the
 * leader. After its failure another replica was elected, and 2.5 s later promoted the dead standby
 * in its place. With two of four voters alive, the new leader lost its leadership at once, no other
 * was elected, and the group accepted no further command.
 */
class UnresponsiveStandbyTest {
    private static final int SEEDS = 20;
    private static final int TOLERATED_LOSSES = 1;
    private static final int RUN_MILLIS = 8000;
    private static final Membership THREE = Membership.ofIds(List.of("gone", "b", "c"));
    private static final Membership THREE_AND_STANDBYS =
            THREE.withStandby(new Membership.Member("dead", "dead"))
                    .withStandby(new Membership.Member("live", "live"));

    private final ReplicaCluster mCluster = new ReplicaCluster();

    @Test
    void unresponsiveStandbyDoesNotReplaceAFailedVoter() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            runCluster(seed);
            Replica leader = mCluster.leaderWithCommittedTerm();
            assertWithMessage("leader, seed " + seed).that(leader).isNotNull();
            assertThat(leader.membership().isVoter("live")).isTrue();
            assertThat(leader.membership().isVoter("dead")).isFalse();
            assertThat(leader.membership().isVoter("gone")).isFalse();
        }
    }

    private void runCluster(int seed) throws Exception {
        mCluster.clear();
        List<LogEntry> log =
                List.of(LogEntry.noOp(1), LogEntry.ofMembership(2, THREE_AND_STANDBYS));
        for (String id : List.of("b", "c", "live")) {
            mCluster.add(ReplicaSettings.of(id, THREE), log, seed);
        }
        MembershipPlanner planner = MembershipPlanner.create(TOLERATED_LOSSES);
        Replica previousLeader = null;
        long leaderSince = 0;
        for (long now = 1; now < RUN_MILLIS; now++) {
            mCluster.step(now);
            Replica leader = mCluster.leaderWithCommittedTerm();
            leaderSince = leader == previousLeader ? leaderSince : now;
            previousLeader = leader;
            if (leader != null) {
                Optional<Membership> next =
                        planner.nextMembership(leader, leader.leader(), leaderSince, now);
                if (next.isPresent()) {
                    mCluster.propose(leader, next.get(), now);
                }
            }
        }
    }
}
