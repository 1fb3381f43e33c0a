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
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;

/** The followers of a leader during its term: what each has stored, and what to send next. */
final class Followers {
    private final ReplicaSettings mSettings;
    private final ReplicatedLog mLog;
    private final long mTerm;
    private final MinimumVotersWait mMinimumVotersWait;
    private final Map<String, FollowerProgress> mProgress = new HashMap<>();

    private Followers(ReplicaSettings settings, ReplicatedLog log, long term, long now) {
        mSettings = settings;
        mLog = log;
        mTerm = term;
        mMinimumVotersWait = new MinimumVotersWait(settings.minVoters(), now);
    }

    static Followers of(ReplicaSettings settings, ReplicatedLog log, long term, long now) {
        Followers followers = new Followers(settings, log, term, now);
        followers.onMembershipChange();
        return followers;
    }

    /**
     * Applies the log's membership: starts tracking new members and stops tracking removed ones.
     */
    void onMembershipChange() {
        List<String> others = mLog.membership().others(mSettings.self());
        mProgress.keySet().retainAll(others);
        for (String other : others) {
            mProgress.computeIfAbsent(other, id -> new FollowerProgress(mLog.lastIndex() + 1));
        }
    }

    /** Returns whether commands may be appended, see {@link MinimumVotersWait}. */
    boolean mayAcceptCommands() {
        return mMinimumVotersWait.isOver(mLog.membership());
    }

    boolean isFollower(String id) {
        return mProgress.containsKey(id);
    }

    /** Returns the status of each other member. */
    List<FollowerStatus> status() {
        List<FollowerStatus> all = new ArrayList<>();
        mProgress.forEach(
                (id, progress) ->
                        all.add(
                                new FollowerStatus(
                                        id, progress.matchIndex(), progress.ackedSentAt())));
        return all;
    }

    /** Returns the other voter whose log is the most complete. */
    Optional<String> mostUpToDateVoter() {
        return status().stream()
                .filter(status -> mLog.membership().isVoter(status.id()))
                .max(
                        Comparator.comparingLong(FollowerStatus::matchIndex)
                                .thenComparingLong(FollowerStatus::lastContactAt))
                .map(FollowerStatus::id);
    }

    /**
     * Sends entries, or an empty heartbeat, to each follower that was sent nothing for a heartbeat
     * interval.
     */
    List<ReplicaAction> sendHeartbeats(byte[] snapshot, long commitIndex, long now) {
        mMinimumVotersWait.update(now);
        List<ReplicaAction> actions = new ArrayList<>();
        mProgress.forEach(
                (id, progress) -> {
                    if (progress.isHeartbeatDue(now, mSettings.heartbeatMillis())) {
                        progress.rewind();
                        actions.add(sendNext(id, progress, snapshot, commitIndex, now));
                    }
                });
        return actions;
    }

    /** Sends entries that were not sent yet, as far as each follower's window allows. */
    List<ReplicaAction> sendEntries(byte[] snapshot, long commitIndex, long now) {
        List<ReplicaAction> actions = new ArrayList<>();
        mProgress.forEach(
                (id, progress) -> {
                    while (progress.maySend() && progress.nextIndex() <= mLog.lastIndex()) {
                        actions.add(sendNext(id, progress, snapshot, commitIndex, now));
                    }
                });
        return actions;
    }

    void onAppendReply(String from, PeerMessage.AppendReply m) {
        FollowerProgress progress = mProgress.get(from);
        progress.onReply(m.sentAt());
        if (m.matched()) {
            progress.onMatched(m.index(), m.learner());
        } else {
            progress.onMismatch(m.index(), m.learner());
        }
    }

    void onSnapshotReply(String from, PeerMessage.SnapshotReply m) {
        FollowerProgress progress = mProgress.get(from);
        progress.onReply(m.sentAt());
        progress.onChunkReply(m.index(), m.nextOffset());
    }

    /** Returns the last index that a majority of the voters has synced; learners don't count. */
    long majorityIndex(long ownSyncedIndex) {
        return majorityValue(ownSyncedIndex, 0, FollowerProgress::matchIndex);
    }

    /**
     * Returns the time, by the leader's clock, up to which a majority of the voters, the leader
     * included, is known to have received messages from the leader; {@link Long#MIN_VALUE} if too
     * few have answered yet. Learners don't count.
     */
    long quorumContactAt(long now) {
        return majorityValue(now, Long.MIN_VALUE, FollowerProgress::ackedSentAt);
    }

    private long majorityValue(
            long ownValue, long learnerValue, ToLongFunction<FollowerProgress> value) {
        List<Membership.Member> voters = mLog.membership().voters();
        long[] values = new long[voters.size()];
        int n = 0;
        for (Membership.Member voter : voters) {
            FollowerProgress progress = mProgress.get(voter.id());
            if (voter.id().equals(mSettings.self())) {
                values[n++] = ownValue;
            } else {
                values[n++] = progress.isLearner() ? learnerValue : value.applyAsLong(progress);
            }
        }
        Arrays.sort(values);
        return values[values.length - mLog.membership().quorum()];
    }

    private ReplicaAction sendNext(
            String to, FollowerProgress progress, byte[] snapshot, long commitIndex, long now) {
        if (progress.nextIndex() <= mLog.baseIndex()) {
            return sendSnapshotChunk(to, progress, snapshot, now);
        }
        long previous = progress.nextIndex() - 1;
        List<LogEntry> entries = mLog.entriesFrom(progress.nextIndex(), mSettings.batchBytes());
        progress.onSent(previous + entries.size(), now);
        return new ReplicaAction.Send(
                to,
                new PeerMessage.AppendRequest(
                        mTerm,
                        previous,
                        mLog.termAt(previous),
                        entries,
                        commitIndex,
                        mLog.lastIndex(),
                        now));
    }

    private ReplicaAction sendSnapshotChunk(
            String to, FollowerProgress progress, byte[] snapshot, long now) {
        int offset = progress.snapshotOffset(mLog.baseIndex());
        int end = Math.min(snapshot.length, offset + mSettings.snapshotChunkBytes());
        progress.onChunkSent(now);
        return new ReplicaAction.Send(
                to,
                new PeerMessage.SnapshotRequest(
                        mTerm,
                        mLog.baseIndex(),
                        mLog.baseTerm(),
                        offset,
                        snapshot.length,
                        mLog.baseMembership(),
                        Arrays.copyOfRange(snapshot, offset, end),
                        now));
    }
}
