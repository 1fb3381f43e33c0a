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
 * A replica's id, first members, timeouts and message sizes.
 *
 * @param self this replica's id
 * @param initialMembership the membership before the first change in the log; empty for a replica
 *     that joins later
 * @param heartbeatMillis interval of a leader's messages to each follower
 * @param electionMillis minimum time that a follower waits for its leader; the maximum is twice
 *     that
 * @param leaseMillis how long a leader may rely on the last contact with a quorum; shorter than
 *     {@code electionMillis} by more than clocks drift in that time
 * @param batchBytes maximum size of the entries in a message, in bytes
 * @param snapshotChunkBytes maximum size of a snapshot chunk, in bytes
 * @param minVoters number of voters required before a leader accepts commands
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

    /**
     * Two machines' clocks drift apart by less than the elapsed time divided by this. Real clocks
     * drift by about 1/20,000 of it.
     */
    private static final int CLOCK_DRIFT_DIVISOR = 20;

    /** Returns settings with default times, for network delays of a few milliseconds. */
    public static ReplicaSettings of(String self, List<String> others) {
        List<String> all = new ArrayList<>(others);
        all.add(self);
        return of(self, Membership.ofIds(all));
    }

    /** Returns settings with default times. */
    public static ReplicaSettings of(String self, Membership initialMembership) {
        return new ReplicaSettings(
                self, initialMembership, 50, 300, 250, BATCH_BYTES, BATCH_BYTES, 1);
    }

    /**
     * Returns for how long after the start of its process a replica grants no vote, since it may
     * have granted a lease just before it stopped.
     *
     * <p>A control process on three quarters of a core can vote 0.4 s after its start, when this
     * delay has passed. So after a failure of all processes a leader is elected as soon as the
     * replicas are connected. With a delay of a whole election timeout, counted from when the
     * process can vote, a leader was elected only 0.41 s after that (three starts of four
     * replicas).
     */
    public long startUpVoteDelayMillis() {
        return leaseMillis + leaseMillis / CLOCK_DRIFT_DIVISOR;
    }

    /** Returns settings with other times, in milliseconds. */
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

    /** Returns settings with other message sizes, in bytes. */
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

    /** Returns settings of a group that tolerates the loss of the given number of disks at once. */
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
