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

/**
 * Upper bound for the duration of a stream of one service: the maximum number of events at the
 * longest event interval seen.
 */
final class StreamDurationBound {
    /**
     * A pause of some hundred milliseconds says little about the interval of a short stream, so its
     * duration is divided by at least this number of events.
     */
    private static final int MIN_INTERVAL_EVENTS = 10;

    private final RunDurationBound mIntervalBound = new RunDurationBound();
    private final EventCountBound mEventCountBound = new EventCountBound();
    private final EventCountEstimator mEventCountEstimator = new EventCountEstimator();

    /** Records a complete stream, from its first event to its end. */
    void onCompleted(int maxTokens, int events, long millis) {
        mEventCountBound.onAnswer(maxTokens, events);
        mEventCountEstimator.onCompleted(maxTokens, events);
        mIntervalBound.onCompleted(eventIntervalMillis(events, millis));
    }

    /** Records an interrupted stream, from its first event to its last. */
    void onInterrupted(int maxTokens, int events, long millis) {
        mEventCountBound.onAnswer(maxTokens, events);
        mIntervalBound.onInterrupted(eventIntervalMillis(events, millis));
    }

    /** Returns the maximum number of events in a stream with the given token limit. */
    int maxEvents(int maxTokens) {
        return mEventCountBound.maxEvents(maxTokens);
    }

    /**
     * Returns the likely number of events of a stream after those received so far; the maximum if
     * it cannot be estimated.
     */
    int likelyEvents(int maxTokens, int events) {
        return mEventCountEstimator.likelyEvents(maxTokens, events).orElse(maxEvents(maxTokens));
    }

    /**
     * Returns the maximum duration of a stream with the given token limit; empty if too few were
     * seen.
     */
    OptionalDouble maxMillis(int maxTokens) {
        OptionalDouble maxIntervalMillis = mIntervalBound.upperBound();
        return maxIntervalMillis.isEmpty()
                ? maxIntervalMillis
                : OptionalDouble.of(
                        maxIntervalMillis.getAsDouble()
                                * Math.max(MIN_INTERVAL_EVENTS, maxEvents(maxTokens)));
    }

    private static double eventIntervalMillis(int events, long millis) {
        return (double) millis / Math.max(MIN_INTERVAL_EVENTS, events);
    }
}
