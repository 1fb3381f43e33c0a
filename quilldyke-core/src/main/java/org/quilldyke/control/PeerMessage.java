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

/** What replicas of the control state say to each other. Times are the sender's own clock. */
public sealed interface PeerMessage {

    /**
     * Asks for a vote.
     *
     * @param term the term to be elected for
     * @param lastIndex the end of the candidate's log
     * @param lastTerm its term
     * @param preVote whether only to tell if a vote would be given, which changes nothing
     * @param leadershipTransfer whether the leader itself has asked for this election, so that a
     *     vote may be given although the leader was heard just now
     */
    record VoteRequest(
            long term, long lastIndex, long lastTerm, boolean preVote, boolean leadershipTransfer)
            implements PeerMessage {}

    /** Answers a {@link VoteRequest}. */
    record VoteReply(long term, boolean granted, boolean preVote) implements PeerMessage {}

    /**
     * Carries entries, or none as a heartbeat.
     *
     * @param term the leader's term
     * @param previousIndex the entry before the first one carried
     * @param previousTerm its term
     * @param entries the entries, in order
     * @param commitIndex what the leader knows to be committed
     * @param lastIndex the end of the leader's log
     * @param sentAt the leader's clock, sent back in the reply
     */
    record AppendRequest(
            long term,
            long previousIndex,
            long previousTerm,
            List<LogEntry> entries,
            long commitIndex,
            long lastIndex,
            long sentAt)
            implements PeerMessage {}

    /**
     * Answers an {@link AppendRequest} or the last piece of a snapshot.
     *
     * @param term the follower's term
     * @param matched whether the logs agree up to {@code index}
     * @param index the last entry that is synced and agrees, or from where to try if not matched
     * @param learner whether the follower has lost its disk and doesn't count yet
     * @param sentAt from the request
     */
    record AppendReply(long term, boolean matched, long index, boolean learner, long sentAt)
            implements PeerMessage {}

    /**
     * Carries a piece of a snapshot to a follower whose next entry is compacted away.
     *
     * @param term the leader's term
     * @param index the last entry that the snapshot covers
     * @param indexTerm its term
     * @param offset where the piece starts
     * @param totalBytes the snapshot's size in bytes
     * @param membership who replicates the log as of the snapshot
     * @param chunk the bytes
     * @param sentAt the leader's clock, sent back in the reply
     */
    record SnapshotRequest(
            long term,
            long index,
            long indexTerm,
            int offset,
            int totalBytes,
            Membership membership,
            byte[] chunk,
            long sentAt)
            implements PeerMessage {}

    /** Answers a piece: the follower holds the snapshot's bytes up to {@code nextOffset}. */
    record SnapshotReply(long term, long index, int nextOffset, long sentAt)
            implements PeerMessage {}

    /** Asks, after the loss of a disk or at the first start, what others remember. */
    record StateRequest() implements PeerMessage {}

    /** Answers a {@link StateRequest}. */
    record StateReply(long term, long lastIndex) implements PeerMessage {}

    /** Asks the most complete follower of a leader that shuts down to be elected at once. */
    record ElectNow(long term) implements PeerMessage {}
}
