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
package org.quilldyke.gateway.instance;

/**
 * How often instances tell each other what changes all the time.
 *
 * <p>An instance pays for each frame, whatever is in it, so that more is told at once in a large
 * fleet. What waits is what all choose by.
 */
public final class TellingRates {
    /** Within this, an engine of a small site reads two thirds of a long prompt. */
    static final long LOADS_MILLIS = 100;

    /**
     * With many entries each is told less often. At 8 ms an entry, here and between control
     * processes, 100 entries knew of each other's requests 0.4 to 1.7 s late, and an engine starts
     * three prompts a second.
     */
    static final long LOADS_MILLIS_PER_ENTRY = 2;

    static final long MAX_LOADS_MILLIS = 400;

    /** News of caches wait at most so long; engines tell them after 80 ms themselves. */
    static final long NEWS_MILLIS = 50;

    private TellingRates() {}

    /** Returns how often an entry is told what all others have open. */
    public static long othersLoadsMillis(int entries) {
        return Math.min(MAX_LOADS_MILLIS, Math.max(LOADS_MILLIS, LOADS_MILLIS_PER_ENTRY * entries));
    }

    /** Returns how often an entry tells its loads, and control processes tell them each other. */
    public static long loadsMillis() {
        return LOADS_MILLIS;
    }

    /** Returns how long news of caches wait for others. */
    public static long newsMillis() {
        return NEWS_MILLIS;
    }
}
