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
 * Whether a request waits at an instance that has just started and knows nothing yet.
 *
 * <p>Processes that were killed together know the configuration again within a second. A caller
 * that is refused meanwhile has used up one of its few tries; one that waits for a moment is
 * served.
 */
public final class StartUpWait {
    /** An instance that knows nothing after this has more in its way than a start. */
    static final long MAX_WAIT_MILLIS = 700;

    /** The part of its time that a request may spend on waiting. */
    static final double MAX_WAIT_FRACTION = 0.25;

    private StartUpWait() {}

    /**
     * Returns whether a request may wait on.
     *
     * @param arrivedAt when it came
     * @param millisLeft how long its caller waited then for an answer at the most
     * @param now the present time
     */
    public static boolean mayWait(long arrivedAt, long millisLeft, long now) {
        return now - arrivedAt
                < Math.min(MAX_WAIT_MILLIS, Math.round(millisLeft * MAX_WAIT_FRACTION));
    }
}
