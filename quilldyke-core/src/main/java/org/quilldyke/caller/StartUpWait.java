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
 * Decides whether a request waits at an instance that has just started and has no configuration
 * yet.
 *
 * <p>Processes that were killed together have the configuration again within a second. A caller
 * that is refused in the meantime has used one of its few attempts; one that waits for a moment is
 * served.
 */
public final class StartUpWait {
    /** If an instance has no configuration after this time, its start-up is not the cause. */
    static final long MAX_WAIT_MILLIS = 700;

    /** Fraction of its remaining time that a request may wait. */
    static final double MAX_WAIT_FRACTION = 0.25;

    private StartUpWait() {}

    /**
     * Returns whether a request may continue to wait.
     *
     * @param arrivedAt when it arrived
     * @param millisLeftAtArrival how long after its arrival its caller waits for an answer
     * @param now the current time
     */
    public static boolean mayWait(long arrivedAt, long millisLeftAtArrival, long now) {
        return now - arrivedAt
                < Math.min(MAX_WAIT_MILLIS, Math.round(millisLeftAtArrival * MAX_WAIT_FRACTION));
    }
}
