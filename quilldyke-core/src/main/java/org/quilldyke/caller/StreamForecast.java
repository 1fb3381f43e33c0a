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
 * How long a stream under way lasts at most, and whether it has to go on elsewhere to end in time.
 *
 * <p>Most streams end long before they might: one that may be late stays as long as a quicker
 * target could still finish it later.
 *
 * @param eventsLeft how many events follow at most
 * @param paceMillis how long an event takes where the stream is
 */
public record StreamForecast(int eventsLeft, double paceMillis) {
    /**
     * Where nobody is sure to end in time, whoever lasts this much longer is left: paces of engines
     * that are equally busy differ by less.
     */
    static final double MIN_SPEEDUP = 1.5;

    /** A quicker target may become this much slower and still end in time. */
    static final double SLOWDOWN_MARGIN_FRACTION = 0.25;

    /** Enough to be refused by one target, to ask another one, and to look at it too late. */
    static final long HANDOVER_MARGIN_MILLIS = 400;

    private static final double MIN_PACE_MILLIS = 0.1;

    /** Returns the forecast of a stream of which it is known how many events follow at most. */
    public static StreamForecast of(int maxEventsLeft, double paceMillis) {
        return new StreamForecast(
                Math.max(0, maxEventsLeft), Math.max(MIN_PACE_MILLIS, paceMillis));
    }

    /** Returns the forecast of a stream that may go on until its own time is over. */
    public static StreamForecast untilDeadline(long millisLeft, double paceMillis) {
        double pace = Math.max(MIN_PACE_MILLIS, paceMillis);
        return of((int) Math.ceil(Math.max(0, millisLeft) / pace), pace);
    }

    /** Returns how long the rest lasts at most where the stream is. */
    public double maxRemainingMillis() {
        return eventsLeft * paceMillis;
    }

    /**
     * Returns whether the stream has to go on elsewhere now: it won't end in time where it is, and
     * later the other target wouldn't end it in time either; or if that is so by now, the other one
     * is clearly quicker.
     *
     * @param other the quickest other target
     * @param deadline when the stream has to be over
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
