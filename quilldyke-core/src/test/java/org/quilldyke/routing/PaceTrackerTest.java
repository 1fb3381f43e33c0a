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
package org.quilldyke.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class PaceTrackerTest {
    private final PaceTracker mPace = new PaceTracker();
    private long mNow = 5000;

    @Test
    void nothingIsKnownOfFewEvents() {
        see(2, 50);
        assertThat(mPace.millis(mNow).isPresent()).isFalse();

        see(1, 50);
        assertThat(mPace.millis(mNow).getAsDouble()).isWithin(0.001).of(50);
    }

    @Test
    void recentEventsWeighMore() {
        see(100, 20);
        see(30, 100);

        assertThat(mPace.millis(mNow).getAsDouble()).isAtLeast(50.0);
        see(300, 20);
        assertThat(mPace.millis(mNow).getAsDouble()).isAtMost(25.0);
    }

    /** Streams side by side each see the pause in which a long prompt is read. */
    @Test
    void streamsSideBySideSeeOnePace() {
        for (int i = 0; i < 20; i++) {
            mNow += 80;
            mPace.onEvent(80, mNow);
            mPace.onEvent(80, mNow);
        }

        assertThat(mPace.millis(mNow).getAsDouble()).isWithin(0.001).of(80);
    }

    @Test
    void oldPaceIsForgotten() {
        see(100, 20);
        mNow += 10_001;
        assertThat(mPace.millis(mNow).isPresent()).isFalse();

        see(3, 90);
        assertThat(mPace.millis(mNow).getAsDouble()).isWithin(0.001).of(90);
    }

    /** An instance that shuts down sees fewer events of others: what it knows mustn't jump. */
    @Test
    void paceFadesTowardsTheExpectedOne() {
        see(100, 20);
        assertThat(mPace.millis(40, mNow)).isWithin(0.001).of(20);
        assertThat(mPace.millis(40, mNow + 4000)).isWithin(0.001).of(30);
        for (long later = 0; later < 12_000; later += 100) {
            double now = mPace.millis(40, mNow + later);
            assertThat(mPace.millis(40, mNow + later + 100)).isWithin(4).of(now);
        }
        assertThat(mPace.millis(40, mNow + 11_000)).isEqualTo(40.0);
    }

    private void see(int events, long millis) {
        for (int i = 0; i < events; i++) {
            mNow += millis;
            mPace.onEvent(millis, mNow);
        }
    }
}
