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

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * A leader that loses its disk had just demoted a voter, and only that voter had heard of it: its
 * log is the newest, so nobody else can be elected, and by that log it is no voter itself.
 */
class DemotedVoterTest {
    private static final int SEEDS = 50;
    private static final int ELECTED_BY_MILLIS = 4000;
    private static final int SETTLED_BY_MILLIS = 8000;
    private static final Membership THREE = Membership.ofIds(List.of("lost", "b", "c"));
    private static final Membership.Member DEMOTED = new Membership.Member("d", "d");
    private static final Membership FOUR = THREE.withStandby(DEMOTED).withPromoted(DEMOTED);

    private final Map<String, Replica> mReplicas = new TreeMap<>();
    private Deque<Mail> mMail = new ArrayDeque<>();

    @Test
    void groupGoesOnThoughOnlyTheDemotedOneHoldsTheNewestEntry() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            startAfterTheLoss(seed);
            long now = 1;
            while (leaderWithItsTermCommitted() == null && now < ELECTED_BY_MILLIS) {
                step(now++);
            }
            assertWithMessage("seed " + seed).that(leaderWithItsTermCommitted()).isNotNull();

            for (; now < SETTLED_BY_MILLIS; now++) {
                step(now);
            }
            Replica leader = leaderWithItsTermCommitted();
            assertWithMessage("seed " + seed).that(leader).isNotNull();
            assertThat(leader.commitIndex()).isEqualTo(leader.lastIndex());
            assertThat(leader.lastIndex()).isGreaterThan(4);
            assertThat(leader.membership().isVoter(leader.leader())).isTrue();
            assertThat(leader.mayChangeMembership()).isTrue();
        }
    }

    /** The demoted one is not a voter: its own vote doesn't count, nor is it asked first. */
    @Test
    void demotedOneLeavesElectionsToTheVotersWhileTheyCanHoldThem() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            mReplicas.clear();
            mMail.clear();
            List<LogEntry> log = List.of(entry(1), ofFour(), entry(2), ofThree());
            for (String id : List.of("b", "c", "d")) {
                add(id, log, seed);
            }
            for (long now = 1; now < ELECTED_BY_MILLIS; now++) {
                step(now);
                assertWithMessage("seed " + seed).that(mReplicas.get("d").isLeader()).isFalse();
            }
            assertThat(leaderWithItsTermCommitted()).isNotNull();
        }
    }

    private void startAfterTheLoss(int seed) {
        mReplicas.clear();
        mMail.clear();
        add("b", List.of(entry(1), ofFour(), entry(2)), seed);
        add("c", List.of(entry(1)), seed);
        add("d", List.of(entry(1), ofFour(), entry(2), ofThree()), seed);
    }

    private static LogEntry entry(int term) {
        return new LogEntry(term, new byte[] {1});
    }

    private static LogEntry ofFour() {
        return LogEntry.ofMembership(2, FOUR);
    }

    private static LogEntry ofThree() {
        return LogEntry.ofMembership(2, FOUR.withDemoted(DEMOTED));
    }

    private void add(String id, List<LogEntry> log, int seed) {
        DurableState disk =
                new DurableState(
                        new Ballot(2, "", true), 0, 0, new byte[0], Membership.empty(), log);
        SplittableRandom random = new SplittableRandom(seed * 31L + id.hashCode());
        ReplicaSettings settings = ReplicaSettings.of(id, THREE);
        mReplicas.put(id, Replica.restore(settings, disk, random, 0, 0));
    }

    private Replica leaderWithItsTermCommitted() {
        return mReplicas.values().stream()
                .filter(Replica::isLeader)
                .filter(replica -> replica.termAt(replica.commitIndex()) == replica.term())
                .findFirst()
                .orElse(null);
    }

    /** Lets a millisecond pass, in which each message arrives and each write is synced. */
    private void step(long now) throws Exception {
        Deque<Mail> due = mMail;
        mMail = new ArrayDeque<>();
        for (Mail mail : due) {
            Replica to = mReplicas.get(mail.to());
            if (to != null) {
                carryOut(mail.to(), to.receive(mail.from(), mail.message(), now), now);
            }
        }
        for (Map.Entry<String, Replica> replica : mReplicas.entrySet()) {
            carryOut(replica.getKey(), replica.getValue().tick(now), now);
        }
    }

    private void carryOut(String id, List<ReplicaAction> actions, long now) throws Exception {
        Replica replica = mReplicas.get(id);
        List<ReplicaAction> more = new ArrayList<>();
        for (ReplicaAction action : actions) {
            if (action instanceof ReplicaAction.Send send) {
                mMail.add(new Mail(id, send.to(), send.message()));
            } else if (action instanceof ReplicaAction.SaveBallot save) {
                replica.onBallotStored(save.ballot(), now);
            } else if (action instanceof ReplicaAction.AppendLog) {
                more.addAll(replica.onSynced(replica.lastIndex(), replica.storeEpoch()));
            }
        }
        if (!more.isEmpty()) {
            carryOut(id, more, now);
        }
    }

    private record Mail(String from, String to, PeerMessage message) {}
}
