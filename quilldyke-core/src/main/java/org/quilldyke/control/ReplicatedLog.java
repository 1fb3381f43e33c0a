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
import java.util.Map;
import java.util.TreeMap;

/**
 * The entries that a replica holds in memory: those after its last snapshot.
 *
 * <p>The base is the last entry that the snapshot covers. Indexes start at 1; index 0 with term 0
 * stands for the empty log.
 */
final class ReplicatedLog {
    private final ArrayList<LogEntry> mEntries = new ArrayList<>();
    private final TreeMap<Long, Membership> mMemberships = new TreeMap<>();
    private long mBaseIndex;
    private long mBaseTerm;
    private Membership mBaseMembership;

    ReplicatedLog(
            long baseIndex, long baseTerm, Membership baseMembership, List<LogEntry> entries) {
        mBaseIndex = baseIndex;
        mBaseTerm = baseTerm;
        mBaseMembership = baseMembership;
        entries.forEach(this::append);
    }

    long baseIndex() {
        return mBaseIndex;
    }

    long baseTerm() {
        return mBaseTerm;
    }

    /** Returns the membership as of the snapshot at the log's base. */
    Membership baseMembership() {
        return mBaseMembership;
    }

    /** Returns the membership as of the last entry. */
    Membership membership() {
        return mMemberships.isEmpty() ? mBaseMembership : mMemberships.lastEntry().getValue();
    }

    /** Returns the membership as of the entry at {@code index}. */
    Membership membershipAt(long index) {
        Map.Entry<Long, Membership> change = mMemberships.floorEntry(index);
        return change == null ? mBaseMembership : change.getValue();
    }

    /** Returns the index of the last membership change, or the base index if none follows it. */
    long membershipIndex() {
        return mMemberships.isEmpty() ? mBaseIndex : mMemberships.lastKey();
    }

    long lastIndex() {
        return mBaseIndex + mEntries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    /** Returns the term of the entry at {@code index}, -1 if the log doesn't hold it. */
    long termAt(long index) {
        if (index == mBaseIndex) {
            return mBaseTerm;
        }
        if (index < mBaseIndex || index > lastIndex()) {
            return -1;
        }
        return entryAt(index).term();
    }

    LogEntry entryAt(long index) {
        return mEntries.get((int) (index - mBaseIndex - 1));
    }

    void append(LogEntry entry) {
        mEntries.add(entry);
        if (entry.membership() != null) {
            mMemberships.put(lastIndex(), entry.membership());
        }
    }

    /** Removes the entry at {@code index} and all after it. */
    void truncateFrom(long index) {
        mEntries.subList((int) (index - mBaseIndex - 1), mEntries.size()).clear();
        mMemberships.tailMap(index, true).clear();
    }

    /** Discards the entries up to {@code index}, which a snapshot now covers. */
    void compactTo(long index) {
        long term = termAt(index);
        mBaseMembership = membershipAt(index);
        mMemberships.headMap(index, true).clear();
        mEntries.subList(0, (int) (index - mBaseIndex)).clear();
        mBaseIndex = index;
        mBaseTerm = term;
    }

    /** Discards all entries and continues after a snapshot. */
    void resetTo(long index, long term, Membership membership) {
        mEntries.clear();
        mMemberships.clear();
        mBaseMembership = membership;
        mBaseIndex = index;
        mBaseTerm = term;
    }

    /**
     * Returns the entries from {@code index} on, up to a size of {@code bytes}, but at least one if
     * there is any. Each counts with the size of its payload and 16 bytes.
     */
    List<LogEntry> entriesFrom(long index, int bytes) {
        List<LogEntry> batch = new ArrayList<>();
        int size = 0;
        for (long i = index; i <= lastIndex(); i++) {
            LogEntry entry = entryAt(i);
            size += entry.payload().length + 16;
            if (!batch.isEmpty() && size > bytes) {
                break;
            }
            batch.add(entry);
        }
        return batch;
    }

    /** Returns whether a log that ends in the given entry is at least as up-to-date as this one. */
    boolean isNotNewerThan(long otherLastIndex, long otherLastTerm) {
        if (otherLastTerm != lastTerm()) {
            return otherLastTerm > lastTerm();
        }
        return otherLastIndex >= lastIndex();
    }
}
