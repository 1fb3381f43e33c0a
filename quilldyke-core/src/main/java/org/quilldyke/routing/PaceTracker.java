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
final class PaceTracker {
    /** Long prompts that are read beside it slow a target for a second or two. */
    private static final double HALF_LIFE_MILLIS = 1500;

    /** A pace that was seen this long ago is as near to the expected one as to itself. */
    private static final double OLD_MILLIS = 4000;

    private static final long KNOWN_MILLIS = 10_000;

    private static final int ENOUGH_EVENTS = 3;

    private double mMillis;
    private double mEvents;
    private int mCounted;
    private long mAt;

    /** Takes an event that came so many milliseconds after the one before it. */
    void onEvent(long millis, long now) {
        if (isForgotten(now)) {
            mCounted = 0;
            mMillis = 0;
            mEvents = 0;
        }
        double kept = Math.pow(0.5, Math.max(0, now - mAt) / HALF_LIFE_MILLIS);
        mMillis = mMillis * kept + millis;
        mEvents = mEvents * kept + 1;
        mCounted++;
        mAt = now;
    }

    /** Returns how many milliseconds an event takes; nothing if that isn't known. */
    OptionalDouble millis(long now) {
        return mCounted < ENOUGH_EVENTS || isForgotten(now)
                ? OptionalDouble.empty()
                : OptionalDouble.of(mMillis / mEvents);
    }

    /** Returns the pace that was seen or, the longer ago that is, rather the expected one. */
    double millis(double expected, long now) {
        double seenPart = Math.pow(0.5, (now - mAt) / OLD_MILLIS);
        OptionalDouble seen = millis(now);
        return seen.isEmpty() ? expected : expected + seenPart * (seen.getAsDouble() - expected);
    }

    private boolean isForgotten(long now) {
        return now - mAt > KNOWN_MILLIS;
    }
}
