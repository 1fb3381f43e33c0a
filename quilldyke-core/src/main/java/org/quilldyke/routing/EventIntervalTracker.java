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

import java.util.OptionalDouble;

/**
 * Average time between the events of a target's streams, over all streams that this instance has
 * open there. Older events count less.
 */
final class EventIntervalTracker {
    /** Prefill of long prompts slows a target's streams for one or two seconds. */
    private static final double HALF_LIFE_MILLIS = 1500;

    /**
     * This long after the last event, the result lies halfway between the measured and the expected
     * interval.
     */
    private static final double BLEND_HALF_LIFE_MILLIS = 4000;

    private static final long EXPIRY_MILLIS = 10_000;

    private static final int MIN_EVENTS = 3;

    private double mWeightedMillis;
    private double mWeightedEvents;
    private int mEventCount;
    private long mLastEventAt;

    /** Adds an event that arrived {@code intervalMillis} after the previous one of its stream. */
    void onEvent(long intervalMillis, long now) {
        if (isExpired(now)) {
            mEventCount = 0;
            mWeightedMillis = 0;
            mWeightedEvents = 0;
        }
        double decay = Math.pow(0.5, Math.max(0, now - mLastEventAt) / HALF_LIFE_MILLIS);
        mWeightedMillis = mWeightedMillis * decay + intervalMillis;
        mWeightedEvents = mWeightedEvents * decay + 1;
        mEventCount++;
        mLastEventAt = now;
    }

    /** Returns the average interval; empty if too few events arrived lately. */
    OptionalDouble intervalMillis(long now) {
        return mEventCount < MIN_EVENTS || isExpired(now)
                ? OptionalDouble.empty()
                : OptionalDouble.of(mWeightedMillis / mWeightedEvents);
    }

    /** Returns the measured interval, which approaches the expected one as it becomes older. */
    double intervalMillis(double expectedMillis, long now) {
        double measuredWeight = Math.pow(0.5, (now - mLastEventAt) / BLEND_HALF_LIFE_MILLIS);
        OptionalDouble measured = intervalMillis(now);
        return measured.isEmpty()
                ? expectedMillis
                : expectedMillis + measuredWeight * (measured.getAsDouble() - expectedMillis);
    }

    private boolean isExpired(long now) {
        return now - mLastEventAt > EXPIRY_MILLIS;
    }
}
