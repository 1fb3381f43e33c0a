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

import java.util.ArrayList;
import java.util.List;

/**
 * Who takes part and how patient a replica is.
 *
 * @param self this replica's id
 * @param initialMembership the membership before the log's first change of it; empty for a replica
 *     that joins
 * @param heartbeatMillis how often a leader speaks to its followers
 * @param electionMillis how long a follower waits for its leader at least; twice that at most
 * @param leaseMillis how long a leader may act on what a quorum has heard; shorter than {@code
 *     electionMillis} by more than clocks drift in that time
 * @param batchBytes how many bytes of entries a message carries at most
 * @param snapshotChunkBytes how many bytes of a snapshot a message carries at most
 * @param minVoters how many voters there must be before a leader takes commands
 */
public record ReplicaSettings(
        String self,
        Membership initialMembership,
        long heartbeatMillis,
        long electionMillis,
        long leaseMillis,
        int batchBytes,
        int snapshotChunkBytes,
        int minVoters) {
    private static final int BATCH_BYTES = 256 << 10;

    /** Clocks of two machines drift by less than one part in this; real ones by some 20,000th. */
    private static final int CLOCK_DRIFT_DIVISOR = 20;

    /** Returns settings with the usual times, fit for delays of a few milliseconds. */
    public static ReplicaSettings of(String self, List<String> others) {
        List<String> all = new ArrayList<>(others);
        all.add(self);
        return of(self, Membership.ofIds(all));
    }

    /** Returns settings with the usual times. */
    public static ReplicaSettings of(String self, Membership initialMembership) {
        return new ReplicaSettings(
                self, initialMembership, 50, 300, 250, BATCH_BYTES, BATCH_BYTES, 1);
    }

    /**
     * Returns for how long after its start a replica grants no vote, since it may have granted a
     * lease just before its end. Counted from the start of the process: a control process of three
     * quarters of a core takes 0.4 s from there to its first vote, so that after a loss of all a
     * leader is elected as soon as its peers meet; counted a whole election timeout from its first
     * vote it came 0.41 s after (three starts of four replicas).
     */
    public long startUpVoteDelayMillis() {
        return leaseMillis + leaseMillis / CLOCK_DRIFT_DIVISOR;
    }

    /** Returns settings with other times. */
    public ReplicaSettings withTimes(long heartbeat, long election, long lease) {
        return new ReplicaSettings(
                self,
                initialMembership,
                heartbeat,
                election,
                lease,
                batchBytes,
                snapshotChunkBytes,
                minVoters);
    }

    /** Returns settings with other sizes of messages. */
    public ReplicaSettings withMessageSizes(int batch, int snapshotChunk) {
        return new ReplicaSettings(
                self,
                initialMembership,
                heartbeatMillis,
                electionMillis,
                leaseMillis,
                batch,
                snapshotChunk,
                minVoters);
    }

    /** Returns settings of a group that must bear the loss of so many disks at once. */
    public ReplicaSettings withToleratedLosses(int toleratedLosses) {
        return new ReplicaSettings(
                self,
                initialMembership,
                heartbeatMillis,
                electionMillis,
                leaseMillis,
                batchBytes,
                snapshotChunkBytes,
                2 * toleratedLosses + 1);
    }
}
