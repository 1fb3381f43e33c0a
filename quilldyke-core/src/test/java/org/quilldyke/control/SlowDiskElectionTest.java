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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Runs elections with a timeout of 300 ms on disks that take 450 ms to sync a vote, in virtual
 * time. A replica may win while another one has already started the next election, but once all
 * follow a leader, slow disks must not cause it to be replaced.
 */
class SlowDiskElectionTest {
    private static final List<String> IDS = List.of("a", "b", "c");
    private static final int SYNC_MILLIS = 450;
    private static final int AGREED_BY_MILLIS = 20_000;
    private static final int END_MILLIS = 40_000;
    private static final int SEEDS = 300;

    private final Map<String, Node> mNodes = new HashMap<>();
    private List<Delivery> mDeliveries = new ArrayList<>();

    @Test
    void leaderFollowedByAllIsNotReplaced() throws Exception {
        int replacedFirstLeaders = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            mNodes.clear();
            mDeliveries.clear();
            for (String id : IDS) {
                mNodes.put(id, new Node(id, seed * 31L + id.hashCode()));
            }
            String agreedLeader = "";
            String firstLeader = "";
            for (long now = 1; now <= END_MILLIS; now++) {
                step(now);
                firstLeader = firstLeader.isEmpty() ? anyLeader() : firstLeader;
                agreedLeader = agreedLeader.isEmpty() ? commonLeader() : agreedLeader;
                if (!agreedLeader.isEmpty()) {
                    assertWithMessage("seed " + seed + " at " + now)
                            .that(mNodes.get(agreedLeader).mReplica.isLeader())
                            .isTrue();
                }
                boolean inTime = now < AGREED_BY_MILLIS || !agreedLeader.isEmpty();
                assertWithMessage("seed " + seed).that(inTime).isTrue();
            }
            replacedFirstLeaders += agreedLeader.equals(firstLeader) ? 0 : 1;
        }
        // An election that started before the first leader won may replace it; some seeds must
        // cover this.
        assertThat(replacedFirstLeaders).isGreaterThan(0);
    }

    private String anyLeader() {
        return mNodes.values().stream()
                .filter(node -> node.mReplica.isLeader())
                .map(node -> node.mId)
                .findFirst()
                .orElse("");
    }

    private void step(long now) throws Exception {
        List<Delivery> due = mDeliveries;
        mDeliveries = new ArrayList<>();
        for (Delivery delivery : due) {
            Node to = mNodes.get(delivery.to());
            to.perform(to.mReplica.receive(delivery.from(), delivery.message(), now), now);
        }
        for (Node node : mNodes.values()) {
            node.completeWrites(now);
            node.perform(node.mReplica.tick(now), now);
        }
    }

    /** Returns the leader that all replicas follow, empty if they disagree. */
    private String commonLeader() {
        String leader = mNodes.get(IDS.get(0)).mReplica.leader();
        boolean agreed = mNodes.values().stream().allMatch(n -> n.mReplica.leader().equals(leader));
        return agreed ? leader : "";
    }

    private record Delivery(String from, String to, PeerMessage message) {}

    private record Write(
            long doneAt, Ballot ballot, long index, long epoch, List<Delivery> heldDeliveries) {}

    /** A replica whose writes are completed one after the other, like those of a disk. */
    private final class Node {
        final String mId;
        final Replica mReplica;
        private final List<Write> mWrites = new ArrayList<>();

        Node(String id, long seed) {
            mId = id;
            List<String> others = IDS.stream().filter(other -> !other.equals(id)).toList();
            DurableState empty =
                    new DurableState(
                            new Ballot(0, "", true),
                            0,
                            0,
                            new byte[0],
                            Membership.empty(),
                            List.of());
            ReplicaSettings settings = ReplicaSettings.of(id, others);
            mReplica = Replica.restore(settings, empty, new SplittableRandom(seed), 0, 0);
            assertThat(settings.electionMillis()).isLessThan((long) SYNC_MILLIS);
        }

        void completeWrites(long now) throws Exception {
            while (!mWrites.isEmpty() && mWrites.get(0).doneAt() <= now) {
                Write write = mWrites.remove(0);
                if (write.ballot() != null) {
                    mReplica.onBallotStored(write.ballot(), now);
                }
                mDeliveries.addAll(write.heldDeliveries());
                perform(mReplica.onSynced(write.index(), write.epoch()), now);
            }
        }

        void perform(List<ReplicaAction> actions, long now) {
            Ballot ballot = null;
            boolean writes = false;
            for (ReplicaAction action : actions) {
                writes |= action instanceof ReplicaAction.AppendLog;
                if (action instanceof ReplicaAction.SaveBallot save) {
                    ballot = save.ballot();
                    writes = true;
                }
            }
            if (writes) {
                long startAt = mWrites.isEmpty() ? now : mWrites.get(mWrites.size() - 1).doneAt();
                mWrites.add(
                        new Write(
                                startAt + SYNC_MILLIS,
                                ballot,
                                mReplica.lastIndex(),
                                mReplica.truncationEpoch(),
                                new ArrayList<>()));
            }
            for (ReplicaAction action : actions) {
                if (action instanceof ReplicaAction.Send send) {
                    Delivery delivery = new Delivery(mId, send.to(), send.message());
                    queueFor(send).add(delivery);
                }
            }
        }

        /**
         * Returns the queue for a message: the network, or the write of a ballot that must complete
         * first.
         */
        private List<Delivery> queueFor(ReplicaAction.Send send) {
            for (int i = mWrites.size() - 1; send.needsStoredBallot() && i >= 0; i--) {
                if (mWrites.get(i).ballot() != null) {
                    return mWrites.get(i).heldDeliveries();
                }
            }
            return mDeliveries;
        }
    }
}
