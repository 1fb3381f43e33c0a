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
 * One instance's part of the requests that a target takes from all instances together.
 *
 * <p>The limit is divided evenly among those that use the target. Each has one turn at a time, and
 * the time until the next one runs from its use. So in any span of time all together send what the
 * limit allows for that span and one request each.
 */
final class RateLimitShare {
    /** A target that takes hardly anything is asked this often, to hear whether that holds. */
    private static final double MIN_PER_SECOND = 0.1;

    private static final int MILLIS_PER_SECOND = 1000;

    private double mIntervalMillis;
    private double mNextPermitAt;

    private RateLimitShare(double intervalMillis, double nextPermitAt) {
        mIntervalMillis = intervalMillis;
        mNextPermitAt = nextPermitAt;
    }

    /**
     * Returns a share that has no turn yet.
     *
     * @param perSecond what the target takes from all
     * @param sharers how many share it
     * @param phase the part of the time between two turns until the first one, different at each
     *     instance
     */
    static RateLimitShare of(double perSecond, int sharers, double phase, long now) {
        double intervalMillis = intervalMillis(perSecond, sharers);
        return new RateLimitShare(intervalMillis, now + phase * intervalMillis);
    }

    /** Takes another limit, or another number of sharers: of a wait the part that is left stays. */
    void onLimitChange(double perSecond, int sharers, long now) {
        double intervalMillis = intervalMillis(perSecond, sharers);
        if (mNextPermitAt > now) {
            mNextPermitAt = now + (mNextPermitAt - now) * intervalMillis / mIntervalMillis;
        }
        mIntervalMillis = intervalMillis;
    }

    /** Returns whether a request may be sent. */
    boolean hasPermit(long now) {
        return now >= mNextPermitAt;
    }

    /** Uses the turn. */
    void consumePermit(long now) {
        mNextPermitAt = now + mIntervalMillis;
    }

    private static double intervalMillis(double perSecond, int sharers) {
        return MILLIS_PER_SECOND * sharers / Math.max(MIN_PER_SECOND, perSecond);
    }
}
