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

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class LeaseClockTest {
    private static final long WALL_CLOCK_START = 1_780_000_000_000L;

    private final LeaseClock mClock = LeaseClock.create();

    @Test
    void followsTheMonotonicClockWithoutSuspension() {
        assertThat(mClock.now(10, WALL_CLOCK_START)).isEqualTo(10);
        assertThat(mClock.now(5010, WALL_CLOCK_START + 5000)).isEqualTo(5010);
    }

    @Test
    void suspensionCountsAsElapsedTime() {
        mClock.now(10, WALL_CLOCK_START);

        assertThat(mClock.now(20, WALL_CLOCK_START + 6010)).isEqualTo(6020);
        assertThat(mClock.now(30, WALL_CLOCK_START + 6020)).isEqualTo(6030);
    }

    @Test
    void settingTheWallClockBackDoesNotReduceTime() {
        mClock.now(10, WALL_CLOCK_START);

        assertThat(mClock.now(20, WALL_CLOCK_START - 60_000)).isEqualTo(20);
        assertThat(mClock.now(30, WALL_CLOCK_START - 59_000)).isEqualTo(1020);
    }

    @Test
    void gradualClockAdjustmentIsNotASuspension() {
        long adjustment = LeaseClock.MIN_JUMP_MILLIS / 2;
        for (int i = 0; i < 100; i++) {
            assertThat(mClock.now(1000L * i, WALL_CLOCK_START + (1000 + adjustment) * i))
                    .isEqualTo(1000L * i);
        }
    }
}
