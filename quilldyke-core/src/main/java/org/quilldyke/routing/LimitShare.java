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
final class LimitShare {
    /** A target that takes hardly anything is asked this often, to hear whether that holds. */
    private static final double LEAST_PER_SECOND = 0.1;

    private static final int MILLIS = 1000;

    private double mPeriod;
    private double mTurnAt;

    private LimitShare(double period, double turnAt) {
        mPeriod = period;
        mTurnAt = turnAt;
    }

    /**
     * Returns a share that has no turn yet.
     *
     * @param perSecond what the target takes from all
     * @param sharers how many share it
     * @param phase the part of the time between two turns until the first one, different at each
     *     instance
     */
    static LimitShare of(double perSecond, int sharers, double phase, long now) {
        double period = period(perSecond, sharers);
        return new LimitShare(period, now + phase * period);
    }

    /** Takes another limit, or another number of sharers: of a wait the part that is left stays. */
    void onChange(double perSecond, int sharers, long now) {
        double period = period(perSecond, sharers);
        if (mTurnAt > now) {
            mTurnAt = now + (mTurnAt - now) * period / mPeriod;
        }
        mPeriod = period;
    }

    /** Returns whether a request may be sent. */
    boolean hasTurn(long now) {
        return now >= mTurnAt;
    }

    /** Uses the turn. */
    void use(long now) {
        mTurnAt = now + mPeriod;
    }

    private static double period(double perSecond, int sharers) {
        return MILLIS * sharers / Math.max(LEAST_PER_SECOND, perSecond);
    }
}
