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
 * Time by which leases end: the steady clock's, and the time for which the machine was suspended.
 *
 * <p>The steady clock stands still during a suspension, and the time of day doesn't. But the time
 * of day may also be set, which can't be told from a suspension; so what it gains on the steady
 * clock at once always counts as time that has passed. A lease then ends too early at worst, and is
 * renewed. Used by several threads.
 */
public final class LeaseClock {
    /** A smaller gain is that of a clock that is adjusted, or of the time between two readings. */
    static final long MIN_JUMP_MILLIS = 100;

    private long mSuspendedMillis;
    private long mWallClockOffset;
    private boolean mInitialized;

    private LeaseClock() {}

    /** Returns a clock that knows of no suspension. */
    public static LeaseClock create() {
        return new LeaseClock();
    }

    /**
     * Returns the present time in milliseconds; it never goes back.
     *
     * @param monotonicMillis the steady clock's time
     * @param wallClockMillis the time of day, read after it
     */
    public synchronized long now(long monotonicMillis, long wallClockMillis) {
        long offset = wallClockMillis - monotonicMillis;
        long jump = offset - mWallClockOffset;
        if (mInitialized && jump >= MIN_JUMP_MILLIS) {
            mSuspendedMillis += jump;
        }
        mWallClockOffset = offset;
        mInitialized = true;
        return monotonicMillis + mSuspendedMillis;
    }
}
