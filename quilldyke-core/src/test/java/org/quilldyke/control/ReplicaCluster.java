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

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** Replicas on a network with a delay of one millisecond, in virtual time. */
final class ReplicaCluster {
    private static final long INITIAL_TERM = 2;

    private final Map<String, Replica> mReplicas = new TreeMap<>();
    private Deque<Delivery> mDeliveries = new ArrayDeque<>();

    void clear() {
        mReplicas.clear();
        mDeliveries.clear();
    }

    /** Adds a replica that starts in term 2 with the given log. */
    void add(ReplicaSettings settings, List<LogEntry> log, int seed) {
        DurableState disk =
                new DurableState(
                        new Ballot(INITIAL_TERM, "", true),
                        0,
                        0,
                        new byte[0],
                        Membership.empty(),
                        log);
        SplittableRandom random = new SplittableRandom(seed * 31L + settings.self().hashCode());
        mReplicas.put(settings.self(), Replica.restore(settings, disk, random, 0, 0));
    }

    Replica get(String id) {
        return mReplicas.get(id);
    }

    /** Returns the leader that has committed an entry of its term, or null. */
    Replica leaderWithCommittedTerm() {
        return mReplicas.values().stream()
                .filter(Replica::isLeader)
                .filter(replica -> replica.termAt(replica.commitIndex()) == replica.term())
                .findFirst()
                .orElse(null);
    }

    /** Proposes a membership change to a leader; the resulting messages are delivered later. */
    void propose(Replica leader, Membership next, long now) throws Exception {
        leader.proposeMembership(next);
        perform(leader.leader(), leader.tick(now), now);
    }

    /**
     * Advances the time by a millisecond, in which each message arrives and each write is synced.
     */
    void step(long now) throws Exception {
        Deque<Delivery> due = mDeliveries;
        mDeliveries = new ArrayDeque<>();
        for (Delivery delivery : due) {
            Replica to = mReplicas.get(delivery.to());
            if (to != null) {
                perform(delivery.to(), to.receive(delivery.from(), delivery.message(), now), now);
            }
        }
        for (Map.Entry<String, Replica> replica : mReplicas.entrySet()) {
            perform(replica.getKey(), replica.getValue().tick(now), now);
        }
    }

    private void perform(String id, List<ReplicaAction> actions, long now) throws Exception {
        Replica replica = mReplicas.get(id);
        List<ReplicaAction> followUps = new ArrayList<>();
        for (ReplicaAction action : actions) {
            if (action instanceof ReplicaAction.Send send) {
                mDeliveries.add(new Delivery(id, send.to(), send.message()));
            } else if (action instanceof ReplicaAction.SaveBallot save) {
                replica.onBallotStored(save.ballot(), now);
            } else if (action instanceof ReplicaAction.AppendLog) {
                followUps.addAll(replica.onSynced(replica.lastIndex(), replica.truncationEpoch()));
            }
        }
        if (!followUps.isEmpty()) {
            perform(id, followUps, now);
        }
    }

    private record Delivery(String from, String to, PeerMessage message) {}
}
