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

/**
 * How long the streams of one service run at most, learnt from those that ended.
 *
 * <p>A caller tells how many tokens its stream may have, and events bear numbers, but an event may
 * hold several tokens. No run has more tokens than it may, so the smallest quotient of the two seen
 * bounds the tokens of an event, and comes close to them with the first run that nearly uses up
 * what it may.
 */
final class StreamTimes {
    /** Before so many runs were seen, nothing is taken as learnt. */
    private static final int ENOUGH_RUNS = 30;

    /** Fewer events than these say little of the pace. */
    private static final int ENOUGH_EVENTS = 8;

    /**
     * What an event is taken to last as long as nothing is learnt: the step of an engine of today
     * that reads a piece of a long prompt, 4,096 tokens at 57 a millisecond, and 8 ms for the rest.
     */
    private static final double UNKNOWN_EVENT_MILLIS = 80;

    /** Lines of engines change within seconds while other instances restart. */
    private static final double PACE_HALF_LIFE_MILLIS = 10_000;

    private final FadingMax mEventMillis = FadingMax.ofHalfLife(PACE_HALF_LIFE_MILLIS);
    private double mTokensPerEvent = Double.MAX_VALUE;
    private int mRuns;

    /**
     * Takes a run that ended.
     *
     * @param maxTokens how many tokens it might have had
     * @param lastEvent the number of its last event
     * @param events how many of its events came in the time that follows
     * @param millis from its first event to its end
     */
    void onEnded(int maxTokens, long lastEvent, long events, long millis, long now) {
        if (maxTokens <= 0 || lastEvent <= 0) {
            return;
        }
        mRuns++;
        mTokensPerEvent = Math.min(mTokensPerEvent, (double) maxTokens / lastEvent);
        if (events >= ENOUGH_EVENTS) {
            mEventMillis.onSeen((double) millis / events, now);
        }
    }

    /** Returns how long a stream of so many tokens at most runs from its first event, at most. */
    double millis(int maxTokens, long now) {
        if (mRuns < ENOUGH_RUNS) {
            return maxTokens * UNKNOWN_EVENT_MILLIS;
        }
        return maxTokens / Math.max(1, mTokensPerEvent) * mEventMillis.value(now);
    }
}
