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
final class StreamTimes {
    /**
     * A pause of some hundred milliseconds says little of the pace: it counts as spread over so
     * many events, also where there were fewer.
     */
    private static final int LEAST_EVENTS = 10;

    private final RunTimes mEventMillis = new RunTimes();
    private final EventBound mEvents = new EventBound();

    /** Takes a whole stream, from its first event to its end. */
    void onEnded(int maxTokens, int events, long millis) {
        mEvents.onSeen(maxTokens, events);
        mEventMillis.onEnded(pace(events, millis));
    }

    /** Takes a part of a stream, from its first event to its last. */
    void onPart(int maxTokens, int events, long millis) {
        mEvents.onSeen(maxTokens, events);
        mEventMillis.onBrokenOff(pace(events, millis));
    }

    /** Returns how many events a stream with the given allowance has at most. */
    int mostEvents(int maxTokens) {
        return mEvents.mostEvents(maxTokens);
    }

    /** Returns how long such a stream lasts at most; nothing as long as too few were seen. */
    OptionalDouble mostMillis(int maxTokens) {
        OptionalDouble pace = mEventMillis.most();
        return pace.isEmpty()
                ? pace
                : OptionalDouble.of(
                        pace.getAsDouble() * Math.max(LEAST_EVENTS, mostEvents(maxTokens)));
    }

    private static double pace(int events, long millis) {
        return (double) millis / Math.max(LEAST_EVENTS, events);
    }
}
