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
 * How long a target takes for an event: the time between events over their number, of all streams
 * that this instance has open there, the older the less.
 */
final class EventIntervalTracker {
    /** Long prompts that are read beside it slow a target for a second or two. */
    private static final double HALF_LIFE_MILLIS = 1500;

    /** A pace that was seen this long ago is as near to the expected one as to itself. */
    private static final double BLEND_HALF_LIFE_MILLIS = 4000;

    private static final long EXPIRY_MILLIS = 10_000;

    private static final int MIN_EVENTS = 3;

    private double mWeightedMillis;
    private double mWeightedEvents;
    private int mEventCount;
    private long mLastEventAt;

    /** Takes an event that came so many milliseconds after the one before it. */
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

    /** Returns how many milliseconds an event takes; nothing if that isn't known. */
    OptionalDouble intervalMillis(long now) {
        return mEventCount < MIN_EVENTS || isExpired(now)
                ? OptionalDouble.empty()
                : OptionalDouble.of(mWeightedMillis / mWeightedEvents);
    }

    /** Returns the pace that was seen or, the longer ago that is, rather the expected one. */
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
