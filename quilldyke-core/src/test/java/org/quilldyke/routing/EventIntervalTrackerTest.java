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

class EventIntervalTrackerTest {
    private final EventIntervalTracker mTracker = new EventIntervalTracker();
    private long mNow = 5000;

    @Test
    void intervalIsUnknownBelowTheMinimumOfEvents() {
        addEvents(2, 50);
        assertThat(mTracker.intervalMillis(mNow).isPresent()).isFalse();

        addEvents(1, 50);
        assertThat(mTracker.intervalMillis(mNow).getAsDouble()).isWithin(0.001).of(50);
    }

    @Test
    void recentEventsWeighMore() {
        addEvents(100, 20);
        addEvents(30, 100);

        assertThat(mTracker.intervalMillis(mNow).getAsDouble()).isAtLeast(50.0);
        addEvents(300, 20);
        assertThat(mTracker.intervalMillis(mNow).getAsDouble()).isAtMost(25.0);
    }

    /**
     * Each of several concurrent streams observes the pause during the prefill of a long prompt.
     */
    @Test
    void concurrentStreamsYieldOneInterval() {
        for (int i = 0; i < 20; i++) {
            mNow += 80;
            mTracker.onEvent(80, mNow);
            mTracker.onEvent(80, mNow);
        }

        assertThat(mTracker.intervalMillis(mNow).getAsDouble()).isWithin(0.001).of(80);
    }

    @Test
    void oldIntervalExpires() {
        addEvents(100, 20);
        mNow += 10_001;
        assertThat(mTracker.intervalMillis(mNow).isPresent()).isFalse();

        addEvents(3, 90);
        assertThat(mTracker.intervalMillis(mNow).getAsDouble()).isWithin(0.001).of(90);
    }

    /** An instance that shuts down receives fewer events, which must not make its estimate jump. */
    @Test
    void intervalConvergesToTheExpectedOne() {
        addEvents(100, 20);
        assertThat(mTracker.intervalMillis(40, mNow)).isWithin(0.001).of(20);
        assertThat(mTracker.intervalMillis(40, mNow + 4000)).isWithin(0.001).of(30);
        for (long later = 0; later < 12_000; later += 100) {
            double interval = mTracker.intervalMillis(40, mNow + later);
            assertThat(mTracker.intervalMillis(40, mNow + later + 100)).isWithin(4).of(interval);
        }
        assertThat(mTracker.intervalMillis(40, mNow + 11_000)).isEqualTo(40.0);
    }

    private void addEvents(int events, long millis) {
        for (int i = 0; i < events; i++) {
            mNow += millis;
            mTracker.onEvent(millis, mNow);
        }
    }
}
