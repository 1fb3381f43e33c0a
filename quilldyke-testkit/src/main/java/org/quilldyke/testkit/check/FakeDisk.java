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
package org.quilldyke.testkit.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.quilldyke.control.Ballot;
import org.quilldyke.control.Compaction;
import org.quilldyke.control.DurableState;
import org.quilldyke.control.LogEntry;
import org.quilldyke.control.Membership;
import org.quilldyke.control.ReplicaAction;

/** A replica's disk: what was synced survives a crash, of the rest a part may. */
final class FakeDisk {
    private final List<ReplicaAction> mUnsynced = new ArrayList<>();
    private Ballot mBallot = Ballot.empty();
    private long mSnapshotIndex;
    private long mSnapshotTerm;
    private byte[] mSnapshot = new byte[0];
    private Membership mMembership = Membership.empty();
    private List<LogEntry> mEntries = new ArrayList<>();

    void write(ReplicaAction action) {
        mUnsynced.add(action);
    }

    void sync() {
        mUnsynced.forEach(this::apply);
        mUnsynced.clear();
    }

    /** Loses what wasn't synced, but for the first few writes, as a disk under power loss may. */
    void crash(Random random) {
        int kept = mUnsynced.isEmpty() ? 0 : random.nextInt(mUnsynced.size() + 1);
        for (int i = 0; i < kept; i++) {
            apply(mUnsynced.get(i));
        }
        mUnsynced.clear();
    }

    void wipe() {
        mUnsynced.clear();
        mBallot = Ballot.empty();
        mSnapshotIndex = 0;
        mSnapshotTerm = 0;
        mSnapshot = new byte[0];
        mMembership = Membership.empty();
        mEntries = new ArrayList<>();
    }

    void saveSnapshot(Compaction compaction) {
        mEntries = new ArrayList<>(compaction.remainingEntries());
        mSnapshotIndex = compaction.index();
        mSnapshotTerm = compaction.term();
        mSnapshot = compaction.snapshot();
        mMembership = compaction.membership();
    }

    DurableState load() {
        return new DurableState(
                mBallot,
                mSnapshotIndex,
                mSnapshotTerm,
                mSnapshot,
                mMembership,
                new ArrayList<>(mEntries));
    }

    long snapshotIndex() {
        return mSnapshotIndex;
    }

    /** Returns the term of a synced entry, -1 if it isn't there. */
    long termAt(long index) {
        if (index == mSnapshotIndex) {
            return mSnapshotTerm;
        }
        long at = index - mSnapshotIndex - 1;
        return at >= 0 && at < mEntries.size() ? mEntries.get((int) at).term() : -1;
    }

    Ballot syncedBallot() {
        return mBallot;
    }

    private void apply(ReplicaAction action) {
        if (action instanceof ReplicaAction.SaveBallot save) {
            mBallot = save.ballot();
        } else if (action instanceof ReplicaAction.TruncateLog truncate) {
            int kept = (int) (truncate.fromIndex() - 1 - mSnapshotIndex);
            if (kept < mEntries.size()) {
                mEntries = new ArrayList<>(mEntries.subList(0, Math.max(0, kept)));
            }
        } else if (action instanceof ReplicaAction.AppendLog append) {
            long skip = mSnapshotIndex + mEntries.size() + 1 - append.firstIndex();
            List<LogEntry> added = append.entries();
            if (skip >= 0 && skip < added.size()) {
                mEntries.addAll(added.subList((int) skip, added.size()));
            }
        } else if (action instanceof ReplicaAction.InstallSnapshot install) {
            mSnapshotIndex = install.index();
            mSnapshotTerm = install.term();
            mSnapshot = install.snapshot();
            mMembership = install.membership();
            mEntries = new ArrayList<>();
        }
    }
}
