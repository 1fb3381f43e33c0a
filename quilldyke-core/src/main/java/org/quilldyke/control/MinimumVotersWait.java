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
 * Decides when a new leader accepts commands: once there are enough voters for committed entries to
 * survive the losses that the group tolerates.
 *
 * <p>A group that tolerates the loss of {@code f} disks needs {@code 2f + 1} voters, but may start
 * with fewer. Entries committed by a majority of fewer voters may be lost with {@code f} disks, and
 * if half of the voters or more are lost, no leader can be elected again. A membership is in force
 * from its own log entry on. So once a large enough membership is in the log, all later entries are
 * committed by a majority of it, never by a majority of a smaller membership.
 *
 * <p>A machine that never starts is itself one of the tolerated losses, so the wait is limited.
 */
final class MinimumVotersWait {
    /**
     * A machine that has just started counts as failed until its catch-up time has passed; this is
     * the largest catch-up time that deployments specify.
     */
    static final long MAX_WAIT_MILLIS = 6000;

    private final int mMinVoters;
    private final long mElectedAt;
    private boolean mTimedOut;

    MinimumVotersWait(int minVoters, long electedAt) {
        mMinVoters = minVoters;
        mElectedAt = electedAt;
    }

    /** Ends the wait if {@link #MAX_WAIT_MILLIS} have passed since the election. */
    void update(long now) {
        mTimedOut = now - mElectedAt >= MAX_WAIT_MILLIS;
    }

    /** Returns whether commands may be appended while the given membership is in force. */
    boolean isOver(Membership membership) {
        return membership.voters().size() >= mMinVoters || mTimedOut;
    }
}
