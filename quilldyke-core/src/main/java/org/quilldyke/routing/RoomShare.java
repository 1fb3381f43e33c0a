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
 * This instance's part of the requests that a target can run at the same time, for a target that
 * fails when it has to refuse too many.
 *
 * <p>The parts of all instances add up to the target's slots, so that none is refused for want of
 * room while that many fit. If fewer do, refusals halve the part, which recovers slowly enough for
 * all instances together to stay well below the number of refusals that the target survives. An
 * instance without a part sends one request at a time while the target is nearly idle.
 */
final class RoomShare {
    /** Refusals of all instances in a second, as a fraction of those that the target survives. */
    private static final double REFUSALS_FRACTION = 0.4;

    /** An instance without a part may use a target of which this fraction is in use. */
    private static final double IDLE_FRACTION = 0.25;

    private static final double DECREASE = 0.5;
    private static final double MILLIS_PER_SECOND = 1000;

    private final int mSlots;
    private final double mPart;

    /** The time in which one refusal at this instance is within its part of the refusals. */
    private final double mRefusalMillis;

    private double mCurrentPart;
    private long mUpdatedAt;
    private long mPausedUntil;

    private RoomShare(int slots, double part, double refusalMillis, long now) {
        mSlots = slots;
        mPart = part;
        mRefusalMillis = refusalMillis;
        mCurrentPart = part;
        mUpdatedAt = now;
        mPausedUntil = now;
    }

    /**
     * Returns the share of an instance.
     *
     * @param slots how many requests the target runs at the same time
     * @param part how many of them are this instance's
     * @param instances the number of instances that send requests
     * @param maxRefusals how many refusals in a second the target survives
     */
    static RoomShare of(int slots, int part, int instances, int maxRefusals, long now) {
        double refusalsPerSecond = REFUSALS_FRACTION * Math.max(1, maxRefusals);
        return new RoomShare(slots, part, MILLIS_PER_SECOND * instances / refusalsPerSecond, now);
    }

    /**
     * Returns whether one more request may be sent.
     *
     * @param own how many requests of this instance are open at the target
     * @param others how many of other instances are, as far as known
     */
    boolean admits(int own, int others, long now) {
        if (now < mPausedUntil) {
            return false;
        }
        return mPart == 0 ? own == 0 && others < mSlots * IDLE_FRACTION : own < currentPart(now);
    }

    /**
     * Records that the target has refused a request.
     *
     * @param own how many requests of this instance were open there, with that one
     * @param random from 0 to 1; it differs between instances
     */
    void onRefused(int own, double random, long now) {
        mCurrentPart = Math.max(Math.min(1, mPart), own * DECREASE);
        mUpdatedAt = now;
        mPausedUntil = now + Math.round(mRefusalMillis * (DECREASE + random));
    }

    private int currentPart(long now) {
        mCurrentPart = Math.min(mPart, mCurrentPart + (now - mUpdatedAt) / mRefusalMillis);
        mUpdatedAt = now;
        return (int) mCurrentPart;
    }
}
