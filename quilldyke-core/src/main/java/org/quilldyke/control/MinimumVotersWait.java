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
 * Whether a leader takes commands yet: once so many replicas vote that whatever it commits survives
 * the losses that the group must bear.
 *
 * <p>A group that must bear the loss of {@code f} disks needs {@code 2f + 1} voters, but may start
 * with fewer. What a majority of those commits may be held by lost disks only, and with more than a
 * minority of them lost no leader comes again. A membership is in force from its entry on, so all
 * that follows the entry of a large enough one is committed by a majority of that one, and never by
 * a smaller.
 *
 * <p>A machine that doesn't come is itself one of the losses to be borne, so the wait has an end.
 */
final class MinimumVotersWait {
    /** A machine counts as lost for up to so long after its start, in milliseconds (sheets). */
    static final long MAX_WAIT_MILLIS = 6000;

    private final int mMinVoters;
    private final long mElectedAt;
    private boolean mTimedOut;

    MinimumVotersWait(int minVoters, long electedAt) {
        mMinVoters = minVoters;
        mElectedAt = electedAt;
    }

    /** Notes the present time. */
    void update(long now) {
        mTimedOut = now - mElectedAt >= MAX_WAIT_MILLIS;
    }

    /** Returns whether commands may follow an entry with the given membership in force. */
    boolean isOver(Membership membership) {
        return membership.voters().size() >= mMinVoters || mTimedOut;
    }
}
