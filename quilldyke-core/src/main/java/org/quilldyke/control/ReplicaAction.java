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

import java.util.List;

/**
 * An action requested by a {@link Replica}. Actions are performed in order.
 *
 * <p>The caller stores ballots, entries and snapshots on disk. It delays a message that {@linkplain
 * Send#needsStoredBallot needs a stored ballot} until the ballots before it are on disk, and
 * reports finished writes to {@link Replica#onBallotStored} and {@link Replica#onSynced}.
 */
public sealed interface ReplicaAction {

    /** Store the ballot, replacing the last one. */
    record SaveBallot(Ballot ballot) implements ReplicaAction {}

    /** Remove the entry at {@code fromIndex} and all after it from the stored log. */
    record TruncateLog(long fromIndex) implements ReplicaAction {}

    /** Append entries to the stored log, the first of them at {@code firstIndex}. */
    record AppendLog(long firstIndex, List<LogEntry> entries) implements ReplicaAction {}

    /**
     * Store a received snapshot, discard the whole stored log, and load the state from the
     * snapshot.
     */
    record InstallSnapshot(long index, long term, Membership membership, byte[] snapshot)
            implements ReplicaAction {}

    /** Send a message to another replica; it may be lost. */
    record Send(String to, PeerMessage message) implements ReplicaAction {
        /** Returns whether the ballot must be on disk before the message is sent. */
        public boolean needsStoredBallot() {
            if (message instanceof PeerMessage.VoteRequest m) {
                return !m.preVote();
            }
            return message instanceof PeerMessage.VoteReply
                    || message instanceof PeerMessage.AppendReply
                    || message instanceof PeerMessage.SnapshotReply
                    || message instanceof PeerMessage.StateReply;
        }
    }

    /** Apply a committed entry to the state. */
    record Apply(long index, LogEntry entry) implements ReplicaAction {}

    /** This replica leads from now on; orders of earlier leaders may still arrive at targets. */
    record LeadershipWon(long term) implements ReplicaAction {}

    /** This replica leads no longer; proposals that aren't applied yet have an unknown outcome. */
    record LeadershipLost(long term) implements ReplicaAction {}
}
