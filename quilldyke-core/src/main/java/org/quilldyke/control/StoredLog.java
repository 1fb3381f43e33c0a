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
import java.util.function.Consumer;
import org.quilldyke.Invariant;
import org.quilldyke.QuilldykeException;

/**
 * The log and its synced, committed and applied indexes; requests the actions that store and apply
 * its entries.
 */
final class StoredLog {
    private final ReplicatedLog mLog;
    private final Consumer<ReplicaAction> mActions;
    private byte[] mSnapshot;
    private long mCommitIndex;
    private long mAppliedIndex;
    private long mSyncedIndex;
    private long mTruncationEpoch;

    private StoredLog(ReplicatedLog log, byte[] snapshot, Consumer<ReplicaAction> actions) {
        mLog = log;
        mActions = actions;
        mSnapshot = snapshot;
        mCommitIndex = log.baseIndex();
        mAppliedIndex = log.baseIndex();
        mSyncedIndex = log.lastIndex();
    }

    /** Returns the log loaded from a disk. */
    static StoredLog restore(
            ReplicaSettings settings, DurableState disk, Consumer<ReplicaAction> actions) {
        Membership baseMembership =
                disk.snapshotIndex() == 0
                        ? settings.initialMembership()
                        : disk.snapshotMembership();
        ReplicatedLog log =
                new ReplicatedLog(
                        disk.snapshotIndex(), disk.snapshotTerm(), baseMembership, disk.entries());
        return new StoredLog(log, disk.snapshot(), actions);
    }

    ReplicatedLog log() {
        return mLog;
    }

    byte[] snapshot() {
        return mSnapshot;
    }

    long commitIndex() {
        return mCommitIndex;
    }

    long appliedIndex() {
        return mAppliedIndex;
    }

    long syncedIndex() {
        return mSyncedIndex;
    }

    /** Returns a number that changes whenever stored entries are to be removed. */
    long truncationEpoch() {
        return mTruncationEpoch;
    }

    /**
     * Records that the log is synced up to {@code index}. Returns false and records nothing if
     * entries were removed since the sync started.
     */
    boolean onSynced(long index, long epoch) {
        if (epoch != mTruncationEpoch) {
            return false;
        }
        mSyncedIndex = Math.min(index, mLog.lastIndex());
        return true;
    }

    /** Appends an entry that this replica created as the leader. */
    void append(LogEntry entry) {
        mLog.append(entry);
        mActions.accept(new ReplicaAction.AppendLog(mLog.lastIndex(), List.of(entry)));
    }

    /**
     * Appends a leader's entries: skips those already held and replaces those that differ.
     *
     * @return the first index that was replaced, or {@link Long#MAX_VALUE} if none was
     */
    long appendFromLeader(long firstIndex, List<LogEntry> entries) throws QuilldykeException {
        int heldCount = 0;
        while (heldCount < entries.size()
                && mLog.termAt(firstIndex + heldCount) == entries.get(heldCount).term()) {
            heldCount++;
        }
        if (heldCount == entries.size()) {
            return Long.MAX_VALUE;
        }
        long firstNew = firstIndex + heldCount;
        long firstReplaced = Long.MAX_VALUE;
        if (firstNew <= mLog.lastIndex()) {
            Invariant.check(firstNew > mCommitIndex, "a committed entry is never removed");
            mLog.truncateFrom(firstNew);
            mSyncedIndex = Math.min(mSyncedIndex, firstNew - 1);
            mTruncationEpoch++;
            firstReplaced = firstNew;
            mActions.accept(new ReplicaAction.TruncateLog(firstNew));
        }
        List<LogEntry> added = List.copyOf(entries.subList(heldCount, entries.size()));
        added.forEach(mLog::append);
        mActions.accept(new ReplicaAction.AppendLog(firstNew, added));
        return firstReplaced;
    }

    /** Replaces the log by a leader's snapshot. */
    void installSnapshot(PeerMessage.SnapshotRequest m, byte[] snapshot) {
        mLog.resetTo(m.index(), m.indexTerm(), m.membership());
        mSnapshot = snapshot;
        mSyncedIndex = Math.min(mSyncedIndex, mCommitIndex);
        mTruncationEpoch++;
        mCommitIndex = m.index();
        mAppliedIndex = m.index();
        mActions.accept(
                new ReplicaAction.InstallSnapshot(
                        m.index(), m.indexTerm(), m.membership(), snapshot));
    }

    /** Marks the entries up to {@code index} as committed and requests their application. */
    void commitTo(long index) throws QuilldykeException {
        Invariant.check(index <= mLog.lastIndex(), "only held entries are committed");
        mCommitIndex = Math.max(mCommitIndex, index);
        while (mAppliedIndex < mCommitIndex) {
            mAppliedIndex++;
            mActions.accept(new ReplicaAction.Apply(mAppliedIndex, mLog.entryAt(mAppliedIndex)));
        }
    }

    /** Replaces the applied entries by a snapshot of the state. */
    Compaction compact(byte[] snapshot) {
        long term = mLog.termAt(mAppliedIndex);
        mLog.compactTo(mAppliedIndex);
        mSnapshot = snapshot;
        return new Compaction(
                mAppliedIndex,
                term,
                mLog.baseMembership(),
                snapshot,
                mLog.entriesFrom(mAppliedIndex + 1, Integer.MAX_VALUE));
    }
}
