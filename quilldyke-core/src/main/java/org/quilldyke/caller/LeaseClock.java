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
 * Clock for leases: monotonic time plus the time for which the machine was suspended.
 *
 * <p>The monotonic clock stops during a suspension, the wall clock does not. A jump of the wall
 * clock may also be due to an adjustment, which cannot be distinguished from a suspension, so each
 * forward jump relative to the monotonic clock counts as elapsed time. At worst a lease then ends
 * too early and is renewed. This class is thread-safe.
 */
public final class LeaseClock {
    /** Smaller jumps are due to gradual clock adjustment or to the time between two readings. */
    static final long MIN_JUMP_MILLIS = 100;

    private long mSuspendedMillis;
    private long mWallClockOffset;
    private boolean mInitialized;

    private LeaseClock() {}

    /** Returns a clock that has seen no suspension. */
    public static LeaseClock create() {
        return new LeaseClock();
    }

    /**
     * Returns the current time in milliseconds; it never decreases.
     *
     * @param monotonicMillis the time of the monotonic clock
     * @param wallClockMillis the time of the wall clock, read after it
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
