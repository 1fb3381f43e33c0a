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

/**
 * Whether a replica that hears no leader asks to be elected.
 *
 * <p>A voter does. A replica that was a voter until a change that it doesn't know to be committed
 * stands in: if it alone still holds that change, its log is the newest, and no voter can be
 * elected against it. It leaves the voters time to elect one of themselves first.
 */
final class ElectionEligibility {
    /** A stand-in lets this many of its timeouts pass: some election time and a half. */
    private static final int FORMER_VOTER_TIMEOUTS = 8;

    private final String mSelf;
    private final StoredLog mStoredLog;
    private int mTimeoutsWithoutLeader;

    ElectionEligibility(String self, StoredLog storedLog) {
        mSelf = self;
        mStoredLog = storedLog;
    }

    /** Notes a timeout; returns whether to ask. */
    boolean onTimeout() {
        mTimeoutsWithoutLeader++;
        return isVoter()
                || isVoterBeforeUncommittedChange()
                        && mTimeoutsWithoutLeader > FORMER_VOTER_TIMEOUTS;
    }

    /** Notes that there is a leader. */
    void onLeaderContact() {
        mTimeoutsWithoutLeader = 0;
    }

    /** Returns whether the replica is a voter by its own log. */
    boolean isVoter() {
        return mStoredLog.log().membership().isVoter(mSelf);
    }

    private boolean isVoterBeforeUncommittedChange() {
        long membershipIndex = mStoredLog.log().membershipIndex();
        return membershipIndex > mStoredLog.commitIndex()
                && mStoredLog.log().membershipAt(membershipIndex - 1).isVoter(mSelf);
    }
}
