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
package org.quilldyke.caller;

import java.util.OptionalDouble;

/** How long a stream of one service may last: the most events at the slowest pace seen. */
final class StreamDurationBound {
    /**
     * A pause of some hundred milliseconds says little of the pace: it counts as spread over so
     * many events, also where there were fewer.
     */
    private static final int MIN_PACE_EVENTS = 10;

    private final RunDurationBound mPaceBound = new RunDurationBound();
    private final EventCountBound mEventCountBound = new EventCountBound();
    private final EventCountEstimator mEventCountEstimator = new EventCountEstimator();

    /** Takes a whole stream, from its first event to its end. */
    void onCompleted(int maxTokens, int events, long millis) {
        mEventCountBound.onAnswer(maxTokens, events);
        mEventCountEstimator.onCompleted(maxTokens, events);
        mPaceBound.onCompleted(paceMillis(events, millis));
    }

    /** Takes a part of a stream, from its first event to its last. */
    void onInterrupted(int maxTokens, int events, long millis) {
        mEventCountBound.onAnswer(maxTokens, events);
        mPaceBound.onInterrupted(paceMillis(events, millis));
    }

    /** Returns how many events a stream with the given allowance has at most. */
    int maxEvents(int maxTokens) {
        return mEventCountBound.maxEvents(maxTokens);
    }

    /** Returns how many events a stream is likely to have that has had some, or else at most. */
    int likelyEvents(int maxTokens, int events) {
        return mEventCountEstimator.likelyEvents(maxTokens, events).orElse(maxEvents(maxTokens));
    }

    /** Returns how long such a stream lasts at most; nothing as long as too few were seen. */
    OptionalDouble maxMillis(int maxTokens) {
        OptionalDouble paceMillis = mPaceBound.upperBound();
        return paceMillis.isEmpty()
                ? paceMillis
                : OptionalDouble.of(
                        paceMillis.getAsDouble() * Math.max(MIN_PACE_EVENTS, maxEvents(maxTokens)));
    }

    private static double paceMillis(int events, long millis) {
        return (double) millis / Math.max(MIN_PACE_EVENTS, events);
    }
}
