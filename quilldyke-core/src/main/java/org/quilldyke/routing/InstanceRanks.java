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
package org.quilldyke.routing;

/**
 * The ranks of this instance that control processes have sent.
 *
 * <p>A control process that has just started counts only the instances that have connected since.
 * So a smaller number of instances applies only when no larger one was received for some time.
 */
final class InstanceRanks {
    /** Control processes know all instances within less than this time after a start. */
    static final long FEWER_MILLIS = 3000;

    private InstanceRank mRank = InstanceRank.UNKNOWN;
    private long mToldAt;

    /** Returns the rank that applies. */
    InstanceRank current() {
        return mRank;
    }

    /** Applies a rank that a control process has sent; returns whether another one applies now. */
    boolean onTold(InstanceRank rank, long now) {
        if (rank.instances() < mRank.instances() && now - mToldAt < FEWER_MILLIS) {
            return false;
        }
        mToldAt = now;
        boolean isChanged = !rank.equals(mRank);
        mRank = rank;
        return isChanged;
    }
}
