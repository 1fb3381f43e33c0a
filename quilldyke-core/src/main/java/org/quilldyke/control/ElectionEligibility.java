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
 * Decides whether a replica without a leader may start an election.
 *
 * <p>A voter may. A replica that was a voter until a membership change that it doesn't know to be
 * committed may, too: if it alone holds that change, the others may still need its vote, which it
 * doesn't grant since its own log is the newest. It waits longer, so that the voters can elect one
 * of themselves first, and as the leader it steps down once it has committed an entry of its term.
 */
final class ElectionEligibility {
    /**
     * A former voter lets this many timeouts pass without a pre-vote. At the pre-vote delay of
     * {@link ElectionTimer} they take about one and a half election timeouts in all.
     */
    private static final int FORMER_VOTER_TIMEOUTS = 8;

    private final String mSelf;
    private final StoredLog mStoredLog;
    private int mTimeoutsWithoutLeader;

    ElectionEligibility(String self, StoredLog storedLog) {
        mSelf = self;
        mStoredLog = storedLog;
    }

    /** Counts a timeout; returns whether to start a pre-vote. */
    boolean onTimeout() {
        mTimeoutsWithoutLeader++;
        return isVoter()
                || wasVoterBeforeUncommittedChange()
                        && mTimeoutsWithoutLeader > FORMER_VOTER_TIMEOUTS;
    }

    /** Resets the count of timeouts, since there is a leader. */
    void onLeaderContact() {
        mTimeoutsWithoutLeader = 0;
    }

    /** Returns whether the replica is a voter in the last membership of its own log. */
    boolean isVoter() {
        return mStoredLog.log().membership().isVoter(mSelf);
    }

    private boolean wasVoterBeforeUncommittedChange() {
        long membershipIndex = mStoredLog.log().membershipIndex();
        return membershipIndex > mStoredLog.commitIndex()
                && mStoredLog.log().membershipAt(membershipIndex - 1).isVoter(mSelf);
    }
}
