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
 * One instance's share of the request rate that a target accepts from all instances together.
 *
 * <p>The limit is divided evenly among the instances that use the target. Each has at most one
 * permit at a time, and the interval to the next permit starts when the last one is used. So in any
 * period all instances together send at most what the limit allows for it, plus one request each.
 */
final class RateLimitShare {
    /**
     * Rate at which targets with a lower limit are probed, to learn whether that limit still holds.
     */
    private static final double MIN_PER_SECOND = 0.1;

    private static final int MILLIS_PER_SECOND = 1000;

    private double mIntervalMillis;
    private double mNextPermitAt;

    private RateLimitShare(double intervalMillis, double nextPermitAt) {
        mIntervalMillis = intervalMillis;
        mNextPermitAt = nextPermitAt;
    }

    /**
     * Returns a share that has no permit yet.
     *
     * @param perSecond the rate that the target accepts from all instances
     * @param sharers how many instances share it
     * @param phase fraction of the interval after which the first permit is available; it differs
     *     between instances
     */
    static RateLimitShare of(double perSecond, int sharers, double phase, long now) {
        double intervalMillis = intervalMillis(perSecond, sharers);
        return new RateLimitShare(intervalMillis, now + phase * intervalMillis);
    }

    /**
     * Applies another limit or number of sharers; a remaining wait is scaled to the new interval.
     */
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

    void consumePermit(long now) {
        mNextPermitAt = now + mIntervalMillis;
    }

    private static double intervalMillis(double perSecond, int sharers) {
        return MILLIS_PER_SECOND * sharers / Math.max(MIN_PER_SECOND, perSecond);
    }
}
