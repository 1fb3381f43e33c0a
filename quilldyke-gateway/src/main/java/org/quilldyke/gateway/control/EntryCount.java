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

import java.util.function.IntSupplier;
import org.quilldyke.caller.RetryShare;

/**
 * The number of entries as the leader counts them, which all entries use to divide what they share.
 *
 * <p>A control process that has started recently, or that is partitioned from some others, sees
 * only some of the entries. The leader learns of all entries whose control processes it confirms.
 */
final class EntryCount {
    /** The leader has led too briefly to know all entries. */
    static final int UNKNOWN = 0;

    private final ReplicaGroup mGroup;
    private final IntSupplier mSeenHere;
    private int mAtLeader = UNKNOWN;

    /**
     * @param seenHere the number of entries that this process has seen recently or that others have
     *     reported to it
     */
    EntryCount(ReplicaGroup group, IntSupplier seenHere) {
        mGroup = group;
        mSeenHere = seenHere;
    }

    /** Returns what the leader, which is this process, sends to others. */
    int countAsLeader() {
        // By then, no entry relies on a count of the former leader.
        boolean isSettled = mGroup.node().leadingFor() >= RetryShare.LEASE_MILLIS;
        return isSettled ? mSeenHere.getAsInt() : UNKNOWN;
    }

    /** Handles the count that the leader has sent with a confirmation. */
    void onLeaderCount(int count) {
        mAtLeader = count;
    }

    /** Returns the count to be sent to an entry; call it after a confirmation only. */
    int count() {
        if (mGroup.leads()) {
            return countAsLeader();
        }
        return mAtLeader == UNKNOWN ? UNKNOWN : Math.max(mAtLeader, mSeenHere.getAsInt());
    }
}
