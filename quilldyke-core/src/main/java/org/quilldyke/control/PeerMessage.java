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
 * A message between replicas of the control state. Times are milliseconds of the leader's clock.
 */
public sealed interface PeerMessage {

    /**
     * Requests a vote or a pre-vote.
     *
     * @param term the term of the election
     * @param lastIndex index of the last entry in the candidate's log
     * @param lastTerm that entry's term
     * @param preVote whether this only asks if the vote would be granted, which changes no state
     * @param leadershipTransfer whether the leader itself asked for this election, so that the vote
     *     may be granted although the leader was active just before
     */
    record VoteRequest(
            long term, long lastIndex, long lastTerm, boolean preVote, boolean leadershipTransfer)
            implements PeerMessage {}

    /**
     * Answers a {@link VoteRequest}.
     *
     * @param term the request's term if the vote is granted, otherwise the voter's current term
     * @param granted whether the vote is granted
     * @param preVote copied from the request
     */
    record VoteReply(long term, boolean granted, boolean preVote) implements PeerMessage {}

    /**
     * Sends entries to a follower, or none as a heartbeat.
     *
     * @param term the leader's term
     * @param previousIndex index of the entry before the first one sent
     * @param previousTerm that entry's term
     * @param entries the entries, in order
     * @param commitIndex index of the last entry that the leader knows to be committed
     * @param lastIndex index of the last entry in the leader's log
     * @param sentAt when the message was sent; returned in the reply
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
     * Answers an {@link AppendRequest} or the last chunk of a snapshot.
     *
     * @param term the follower's term
     * @param matched whether the logs agree up to {@code index}
     * @param index the last entry that is synced and matches; if not matched, the index from which
     *     to retry
     * @param learner whether the follower started with an empty disk and doesn't count towards
     *     majorities yet
     * @param sentAt copied from the request
     */
    record AppendReply(long term, boolean matched, long index, boolean learner, long sentAt)
            implements PeerMessage {}

    /**
     * Sends a chunk of a snapshot to a follower whose next entry the log no longer holds.
     *
     * @param term the leader's term
     * @param index the last entry that the snapshot covers
     * @param indexTerm that entry's term
     * @param offset the chunk's offset in the snapshot
     * @param totalBytes the snapshot's size in bytes
     * @param membership the membership as of the snapshot
     * @param chunk the bytes
     * @param sentAt when the message was sent; returned in the reply
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

    /** Acknowledges a chunk: the follower holds the snapshot's bytes up to {@code nextOffset}. */
    record SnapshotReply(long term, long index, int nextOffset, long sentAt)
            implements PeerMessage {}

    /**
     * Asks another voter for its term and the end of its log, after the loss of the sender's disk
     * or at its first start.
     */
    record StateRequest() implements PeerMessage {}

    /** Answers a {@link StateRequest}. */
    record StateReply(long term, long lastIndex) implements PeerMessage {}

    /** Asks the most up-to-date voter to start an election at once, since the leader steps down. */
    record ElectNow(long term) implements PeerMessage {}
}
