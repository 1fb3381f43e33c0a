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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.ToLongFunction;
import org.junit.jupiter.api.Test;

/**
 * After its start a replica grants no vote for as long as a lease that it granted before may be
 * valid. That time counts from the start of its process: after a failure of all processes a leader
 * was elected only 0.41 s after the replicas were connected, since each waited a whole election
 * timeout from when it was created.
 */
class StartUpVoteDelayTest {
    private static final long STARTED_AT = 1000;
    private static final List<String> IDS = List.of("a", "b", "c");
    private static final DurableState DISK =
            new DurableState(
                    new Ballot(1, "b", true),
                    0,
                    0,
                    new byte[0],
                    Membership.empty(),
                    List.of(LogEntry.noOp(1)));

    /** The delay is the lease of 350 ms and 17 ms for clock drift. */
    @Test
    void noVoteWhileALeaseMayBeHeld() throws Exception {
        Replica replica = replica("a", 1, STARTED_AT + 300);
        assertThat(grantsPreVote(replica, STARTED_AT + 349)).isFalse();
        assertThat(grantsPreVote(replica, STARTED_AT + 366)).isFalse();
        assertThat(grantsPreVote(replica, STARTED_AT + 367)).isTrue();
    }

    @Test
    void noVoteForAFullTimeoutAfterLeaderContact() throws Exception {
        Replica replica = replica("a", 1, STARTED_AT + 300);
        replica.receive(
                "b", new PeerMessage.AppendRequest(1, 1, 1, List.of(), 0, 1, 0), STARTED_AT + 310);
        assertThat(grantsPreVote(replica, STARTED_AT + 310 + 449)).isFalse();
        assertThat(grantsPreVote(replica, STARTED_AT + 310 + 450)).isTrue();
    }

    @Test
    void leaderIsElectedSoonAfterTheVoteDelay() throws Exception {
        // The first of three pre-votes starts after 56 to 112 ms; two round trips follow. With a
        // whole election timeout from when the replicas were created it took 435 ms.
        assertThat(millisToElectLeader(String::hashCode)).isAtMost(120);
    }

    /**
     * Three replicas that were all granted their pre-votes each voted for themselves, and none led
     * after 1 s.
     */
    @Test
    void simultaneousPreVotesDoNotSplitTheVote() throws Exception {
        assertThat(millisToElectLeader(id -> 1)).isAtMost(120);
    }

    private static long millisToElectLeader(ToLongFunction<String> seed) throws Exception {
        long connectedAt = STARTED_AT + 400;
        Map<String, Replica> replicas = new HashMap<>();
        for (String id : IDS) {
            replicas.put(id, replica(id, seed.applyAsLong(id), connectedAt));
        }
        long now = connectedAt;
        List<Delivery> deliveries = new ArrayList<>();
        while (replicas.values().stream().noneMatch(Replica::isLeader)
                && now < connectedAt + 1000) {
            now++;
            List<Delivery> due = deliveries;
            deliveries = new ArrayList<>();
            for (Delivery m : due) {
                Replica to = replicas.get(m.to());
                deliveries.addAll(perform(m.to(), to, to.receive(m.from(), m.message(), now), now));
            }
            for (String id : IDS) {
                Replica replica = replicas.get(id);
                deliveries.addAll(perform(id, replica, replica.tick(now), now));
            }
        }
        return now - connectedAt;
    }

    private static List<Delivery> perform(
            String id, Replica replica, List<ReplicaAction> actions, long now) {
        List<Delivery> deliveries = new ArrayList<>();
        for (ReplicaAction action : actions) {
            if (action instanceof ReplicaAction.Send send) {
                deliveries.add(new Delivery(id, send.to(), send.message()));
            } else if (action instanceof ReplicaAction.SaveBallot save) {
                replica.onBallotStored(save.ballot(), now);
            }
        }
        return deliveries;
    }

    private static boolean grantsPreVote(Replica replica, long now) throws Exception {
        PeerMessage request = new PeerMessage.VoteRequest(5, 9, 4, true, false);
        return replica.receive("c", request, now).stream()
                .filter(action -> action instanceof ReplicaAction.Send)
                .map(action -> ((ReplicaAction.Send) action).message())
                .anyMatch(m -> m instanceof PeerMessage.VoteReply reply && reply.granted());
    }

    private static Replica replica(String self, long seed, long now) {
        List<String> others = IDS.stream().filter(id -> !id.equals(self)).toList();
        ReplicaSettings settings = ReplicaSettings.of(self, others).withTimes(80, 450, 350);
        return Replica.restore(settings, DISK, new SplittableRandom(seed), STARTED_AT, now);
    }

    private record Delivery(String from, String to, PeerMessage message) {}
}
