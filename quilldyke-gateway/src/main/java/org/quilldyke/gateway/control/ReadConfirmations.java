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
package org.quilldyke.gateway.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quilldyke.gateway.instance.Peers;
import org.quilldyke.gateway.instance.proto.Confirm;
import org.quilldyke.gateway.instance.proto.Confirmed;
import org.quilldyke.gateway.instance.proto.PeerFrame;

/**
 * Confirms that this replica has applied all that was committed before a read arrived, as Raft's
 * ReadIndex does.
 *
 * <p>The leader confirms a read once a majority has responded to it after the read arrived. Other
 * replicas query the leader, with one query for all pending reads, and then wait until they have
 * applied all log entries that were committed by then.
 */
final class ReadConfirmations {
    /** Reads fail after this time without confirmation; callers wait for one second. */
    static final long TIMEOUT_MILLIS = 800;

    private final ReplicaGroup mGroup;
    private final Peers mPeers;
    private final EntryCount mEntryCount;
    private final LongSupplier mClock;
    private final List<PendingRead> mAwaitingMajority = new ArrayList<>();
    private final List<PendingRead> mUnsent = new ArrayList<>();
    private final Map<Long, LeaderQuery> mSentToLeader = new HashMap<>();
    private final List<AwaitingApply> mAwaitingApply = new ArrayList<>();
    private long mLastNumber;

    /** The number of the query that awaits the leader's response, or 0. */
    private long mPendingQueryNumber;

    ReadConfirmations(ReplicaGroup group, Peers peers, EntryCount entryCount, LongSupplier clock) {
        mGroup = group;
        mPeers = peers;
        mEntryCount = entryCount;
        mClock = clock;
    }

    /**
     * Requests a confirmation; {@code callback} receives the outcome within {@link
     * #TIMEOUT_MILLIS}.
     */
    void confirm(Consumer<Boolean> callback) {
        PendingRead read = new PendingRead(mClock.getAsLong(), callback);
        if (mGroup.leads()) {
            mAwaitingMajority.add(read);
        } else {
            mUnsent.add(read);
        }
        advance();
    }

    /** Handles another replica's query. */
    void onConfirm(String from, Confirm request) {
        if (!mGroup.leads()) {
            reply(from, request.getNumber(), false);
            return;
        }
        mAwaitingMajority.add(
                new PendingRead(
                        mClock.getAsLong(), leads -> reply(from, request.getNumber(), leads)));
        advance();
    }

    /** Handles the leader's response. */
    void onConfirmed(Confirmed answer) {
        LeaderQuery query = mSentToLeader.remove(answer.getNumber());
        if (query == null) {
            return;
        }
        mPendingQueryNumber = 0;
        mEntryCount.onLeaderCount(answer.getEntries());
        for (PendingRead read : query.reads()) {
            if (answer.getLeads()) {
                mAwaitingApply.add(new AwaitingApply(answer.getIndex(), read));
            } else {
                read.callback().accept(false);
            }
        }
        advance();
    }

    /** Completes the reads that can be completed; called after each message and periodically. */
    void advance() {
        boolean idle =
                mAwaitingMajority.isEmpty()
                        && mUnsent.isEmpty()
                        && mSentToLeader.isEmpty()
                        && mAwaitingApply.isEmpty();
        if (idle) {
            return;
        }
        long now = mClock.getAsLong();
        completeConfirmed();
        sendQueryToLeader(now);
        completeApplied();
        expire(now);
    }

    private void completeConfirmed() {
        long confirmedAt = mGroup.node().confirmedAt();
        List<PendingRead> confirmed =
                removeMatching(mAwaitingMajority, read -> read.receivedAt() < confirmedAt);
        confirmed.forEach(read -> read.callback().accept(true));
    }

    private void sendQueryToLeader(long now) {
        if (mUnsent.isEmpty() || mPendingQueryNumber != 0) {
            return;
        }
        if (mGroup.leads()) {
            mAwaitingMajority.addAll(mUnsent);
            mUnsent.clear();
            return;
        }
        Optional<String> leader = mGroup.leaderAddress();
        if (leader.isPresent()) {
            mPendingQueryNumber = ++mLastNumber;
            mSentToLeader.put(mLastNumber, new LeaderQuery(now, List.copyOf(mUnsent)));
            mUnsent.clear();
            mPeers.send(
                    leader.get(),
                    PeerFrame.newBuilder().setConfirm(Confirm.newBuilder().setNumber(mLastNumber)));
        }
    }

    private void completeApplied() {
        long applied = mGroup.node().appliedIndex();
        Iterator<AwaitingApply> all = List.copyOf(mAwaitingApply).iterator();
        mAwaitingApply.removeIf(awaiting -> awaiting.requiredIndex() <= applied);
        while (all.hasNext()) {
            AwaitingApply awaiting = all.next();
            if (awaiting.requiredIndex() <= applied) {
                awaiting.read().callback().accept(true);
            }
        }
    }

    private void expire(long now) {
        long limit = now - TIMEOUT_MILLIS;
        List<PendingRead> expired =
                removeMatching(mAwaitingMajority, read -> read.receivedAt() < limit);
        expired.addAll(removeMatching(mUnsent, read -> read.receivedAt() < limit));
        // An unanswered query delays all later reads, so it fails after half the time.
        List<Long> unanswered = new ArrayList<>();
        mSentToLeader.forEach(
                (number, query) -> {
                    if (query.sentAt() < now - TIMEOUT_MILLIS / 2) {
                        unanswered.add(number);
                        expired.addAll(query.reads());
                    }
                });
        for (long number : unanswered) {
            mSentToLeader.remove(number);
            mPendingQueryNumber = mPendingQueryNumber == number ? 0 : mPendingQueryNumber;
        }
        for (AwaitingApply awaiting : List.copyOf(mAwaitingApply)) {
            if (awaiting.read().receivedAt() < limit) {
                mAwaitingApply.remove(awaiting);
                expired.add(awaiting.read());
            }
        }
        expired.forEach(read -> read.callback().accept(false));
    }

    private void reply(String to, long number, boolean leads) {
        mPeers.send(
                to,
                PeerFrame.newBuilder()
                        .setConfirmed(
                                Confirmed.newBuilder()
                                        .setNumber(number)
                                        .setLeads(leads)
                                        .setEntries(leads ? mEntryCount.countAsLeader() : 0)
                                        .setIndex(mGroup.node().replica().commitIndex())));
    }

    private static List<PendingRead> removeMatching(
            List<PendingRead> from, java.util.function.Predicate<PendingRead> filter) {
        List<PendingRead> removed = new ArrayList<>();
        from.removeIf(
                read -> {
                    boolean matches = filter.test(read);
                    if (matches) {
                        removed.add(read);
                    }
                    return matches;
                });
        return removed;
    }

    private record PendingRead(long receivedAt, Consumer<Boolean> callback) {}

    private record LeaderQuery(long sentAt, List<PendingRead> reads) {}

    private record AwaitingApply(long requiredIndex, PendingRead read) {}
}
