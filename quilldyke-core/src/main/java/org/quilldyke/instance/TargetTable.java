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
package org.quilldyke.instance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.quilldyke.engine.TargetRecord;

/**
 * The targets with a valid lease, which they may renew at any instance.
 *
 * <p>Of two records of a target, the one with the higher incarnation, then sequence, wins. A target
 * whose lease has lapsed is removed; its last record is kept so that a late, older record cannot
 * restore it.
 */
public final class TargetTable {
    private final String mCell;
    private final Map<String, Entry> mEntries = new HashMap<>();
    private final Map<String, TargetRecord> mLapsed = new HashMap<>();

    private TargetTable(String cell) {
        mCell = cell;
    }

    /** Returns an empty table for the targets of {@code cell}. */
    public static TargetTable create(String cell) {
        return new TargetTable(cell);
    }

    /**
     * Processes a record from the target itself or from another instance.
     *
     * @param record the target's record
     * @param expiresAt end of its lease, in milliseconds of this instance's clock
     * @return the effect on the table
     */
    public Change accept(TargetRecord record, long expiresAt) {
        if (!mCell.equals(record.cell())) {
            return Change.NONE;
        }
        Entry known = mEntries.get(record.id());
        TargetRecord last = known == null ? mLapsed.get(record.id()) : known.record();
        if (last != null && !record.isNewerThan(last)) {
            return Change.NONE;
        }
        mEntries.put(record.id(), new Entry(record, expiresAt));
        mLapsed.remove(record.id());
        if (known == null) {
            return Change.JOINED;
        }
        if (known.record().incarnation() != record.incarnation()) {
            return Change.RESTARTED;
        }
        return known.record().equalsExceptSequence(record) ? Change.RENEWED : Change.UPDATED;
    }

    /**
     * Renews the lease of a target whose record is otherwise unchanged.
     *
     * @return false if the target's record is not known, so that the full record is needed
     */
    public boolean renew(String id, long incarnation, long sequence, long expiresAt) {
        Entry known = mEntries.get(id);
        TargetRecord last = known == null ? mLapsed.get(id) : known.record();
        if (last == null || last.incarnation() < incarnation) {
            return false;
        }
        if (last.incarnation() > incarnation || last.sequence() >= sequence) {
            return true;
        }
        if (known == null) {
            return false;
        }
        mEntries.put(id, new Entry(last.withSequence(sequence), expiresAt));
        return true;
    }

    /** Removes and returns the targets whose lease has lapsed at {@code now}. */
    public List<TargetRecord> expire(long now) {
        List<TargetRecord> lapsed = new ArrayList<>();
        for (Entry entry : mEntries.values()) {
            if (entry.expiresAt() <= now) {
                lapsed.add(entry.record());
            }
        }
        for (TargetRecord record : lapsed) {
            mEntries.remove(record.id());
            mLapsed.put(record.id(), record);
        }
        return lapsed;
    }

    /** Returns the live targets with the expiry times of their leases. */
    public Collection<Entry> entries() {
        return List.copyOf(mEntries.values());
    }

    /** Returns a live target's record, or null if there is none. */
    public TargetRecord find(String id) {
        Entry entry = mEntries.get(id);
        return entry == null ? null : entry.record();
    }

    /**
     * A live target.
     *
     * @param record its latest record
     * @param expiresAt end of its lease, in milliseconds of this instance's clock
     */
    public record Entry(TargetRecord record, long expiresAt) {}

    /** The effect of a record on the table. */
    public enum Change {
        /** None: the record was outdated, a duplicate or of another cell. */
        NONE,
        /** Only the lease's expiry has changed. */
        RENEWED,
        /** The target's content has changed, such as its leaving flag. */
        UPDATED,
        /** The target was not in the table. */
        JOINED,
        /** The target has a new incarnation: state of the old one is obsolete. */
        RESTARTED;

        /** Returns whether the change has to be sent to other instances immediately. */
        public boolean needsPropagation() {
            return this == UPDATED || this == JOINED || this == RESTARTED;
        }
    }
}
