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

import org.quilldyke.routing.SuccessorChoice;

/**
 * How long a started stream may last, and whether it has to move to another target to end in time.
 *
 * <p>Most streams end long before their maximum. So a stream that may be late stays as long as a
 * faster target could still complete it if it was moved later.
 *
 * @param eventsLeft the estimated number of remaining events; the maximum without an estimate
 * @param eventIntervalMillis the event interval at the current target
 */
public record StreamForecast(int eventsLeft, double eventIntervalMillis) {
    /**
     * If no target is certain to complete the stream in time, it moves only if another one is
     * faster by this factor: event intervals of equally loaded engines differ by less.
     */
    static final double MIN_SPEEDUP = 1.5;

    /** A faster target may become slower by this fraction and still complete the stream in time. */
    static final double SLOWDOWN_MARGIN_FRACTION = 0.25;

    /** Covers a refusal by one target, the request to another one, and a late check. */
    static final long HANDOVER_MARGIN_MILLIS = 400;

    private static final double MIN_EVENT_INTERVAL_MILLIS = 0.1;

    /** Returns the forecast of a stream for an estimate or a maximum of its remaining events. */
    public static StreamForecast of(int eventsLeft, double eventIntervalMillis) {
        return new StreamForecast(
                Math.max(0, eventsLeft), Math.max(MIN_EVENT_INTERVAL_MILLIS, eventIntervalMillis));
    }

    /** Returns the forecast of a stream that may last until its own deadline. */
    public static StreamForecast untilDeadline(long millisLeft, double eventIntervalMillis) {
        double interval = Math.max(MIN_EVENT_INTERVAL_MILLIS, eventIntervalMillis);
        return of((int) Math.ceil(Math.max(0, millisLeft) / interval), interval);
    }

    /** Returns how long the stream may still last at its current target. */
    public double maxRemainingMillis() {
        return eventsLeft * eventIntervalMillis;
    }

    /**
     * Returns whether the stream has to move now. That is so if it may not end in time where it is
     * and the other target could not complete it in time if it was moved later; or, if that target
     * cannot complete it in time now either, if the target is clearly faster.
     *
     * @param other the fastest other target
     * @param deadline when the stream has to end
     */
    public boolean mustMove(SuccessorChoice other, long deadline, long now) {
        long millisLeft = deadline - now;
        if (maxRemainingMillis() <= millisLeft) {
            return false;
        }
        double otherRemainingMillis = other.remainingMillis(eventsLeft);
        return otherRemainingMillis <= millisLeft
                ? otherRemainingMillis * (1 + SLOWDOWN_MARGIN_FRACTION) + HANDOVER_MARGIN_MILLIS
                        > millisLeft
                : maxRemainingMillis() >= otherRemainingMillis * MIN_SPEEDUP;
    }
}
