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
import org.junit.jupiter.api.Test;

/**
 * A leader demotes a voter and then loses its disk, when only the demoted replica has received the
 * change. The demoted replica's log is then the newest, so no other replica can be elected, but by
 * that log it isn't a voter itself.
 */
class DemotedVoterTest {
    private static final int SEEDS = 50;
    private static final int ELECTED_BY_MILLIS = 4000;
    private static final int SETTLED_BY_MILLIS = 8000;
    private static final Membership THREE = Membership.ofIds(List.of("lost", "b", "c"));
    private static final Membership.Member DEMOTED = new Membership.Member("d", "d");
    private static final Membership FOUR = THREE.withStandby(DEMOTED).withPromoted(DEMOTED);

    private final ReplicaCluster mCluster = new ReplicaCluster();

    @Test
    void leaderIsElectedWhenOnlyTheDemotedVoterHoldsTheNewestEntry() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            startWithoutTheFormerLeader(seed);
            long now = 1;
            while (mCluster.leaderWithCommittedTerm() == null && now < ELECTED_BY_MILLIS) {
                mCluster.step(now++);
            }
            assertWithMessage("seed " + seed).that(mCluster.leaderWithCommittedTerm()).isNotNull();

            for (; now < SETTLED_BY_MILLIS; now++) {
                mCluster.step(now);
            }
            Replica leader = mCluster.leaderWithCommittedTerm();
            assertWithMessage("seed " + seed).that(leader).isNotNull();
            assertThat(leader.commitIndex()).isEqualTo(leader.lastIndex());
            assertThat(leader.lastIndex()).isGreaterThan(4);
            assertThat(leader.membership().isVoter(leader.leader())).isTrue();
            assertThat(leader.mayChangeMembership()).isTrue();
        }
    }

    /**
     * The demoted replica isn't a voter: its own vote doesn't count, and it doesn't start an
     * election before the voters.
     */
    @Test
    void demotedVoterIsNotElectedWhileAVoterCanBe() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            mCluster.clear();
            List<LogEntry> log = List.of(entry(1), promotion(), entry(2), demotion());
            for (String id : List.of("b", "c", "d")) {
                add(id, log, seed);
            }
            for (long now = 1; now < ELECTED_BY_MILLIS; now++) {
                mCluster.step(now);
                assertWithMessage("seed " + seed).that(mCluster.get("d").isLeader()).isFalse();
            }
            assertThat(mCluster.leaderWithCommittedTerm()).isNotNull();
        }
    }

    private void startWithoutTheFormerLeader(int seed) {
        mCluster.clear();
        add("b", List.of(entry(1), promotion(), entry(2)), seed);
        add("c", List.of(entry(1)), seed);
        add("d", List.of(entry(1), promotion(), entry(2), demotion()), seed);
    }

    private static LogEntry entry(int term) {
        return new LogEntry(term, new byte[] {1});
    }

    private static LogEntry promotion() {
        return LogEntry.ofMembership(2, FOUR);
    }

    private static LogEntry demotion() {
        return LogEntry.ofMembership(2, FOUR.withDemoted(DEMOTED));
    }

    private void add(String id, List<LogEntry> log, int seed) {
        mCluster.add(ReplicaSettings.of(id, THREE), log, seed);
    }
}
