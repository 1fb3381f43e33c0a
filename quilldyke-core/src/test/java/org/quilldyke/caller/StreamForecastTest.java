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
import org.quilldyke.routing.Choice;
import org.quilldyke.routing.SuccessorChoice;

/**
 * When a stream of up to 211 events moves to another engine before a shutdown deadline at 7.8 s.
 */
class StreamForecastTest {
    private static final long DEADLINE = 7800;
    private static final int FIRST_EVENT_MILLIS = 200;

    @Test
    void streamThatEndsInTimeStays() {
        StreamForecast forecast = StreamForecast.of(100, 60);

        assertThat(forecast.maxRemainingMillis()).isEqualTo(6000.0);
        assertThat(forecast.mustMove(other(10), DEADLINE, 1800)).isFalse();
    }

    /**
     * Most streams end before their maximum; moving each immediately would process many prompts
     * twice.
     */
    @Test
    void streamStaysAsLongAsItMayBeMovedLater() {
        StreamForecast initial = StreamForecast.of(184, 58);
        assertThat(initial.mustMove(other(25), DEADLINE, 0)).isFalse();

        StreamForecast later = StreamForecast.of(184 - 3000 / 58, 58);
        assertThat(later.mustMove(other(25), DEADLINE, 3000)).isTrue();
    }

    /** For any event interval of the other target, a check every 100 ms leaves enough time. */
    @Test
    void streamIsMovedWhileTheOtherTargetCanCompleteItInTime() {
        for (int otherInterval = 10; otherInterval <= 30; otherInterval++) {
            long now = 0;
            while (!forecastAt(now).mustMove(other(otherInterval), DEADLINE, now)) {
                now += 100;
            }
            double end = now + other(otherInterval).remainingMillis(forecastAt(now).eventsLeft());
            assertThat(end).isAtMost(DEADLINE - StreamForecast.HANDOVER_MARGIN_MILLIS + 100.0);
        }
    }

    /**
     * Event intervals and ages of streams that were aborted at the shutdown deadline, assumed to
     * use their whole token limit. Some of them would reach their own deadline before that, but not
     * at the faster engine.
     */
    @Test
    void slowStreamsEndInTimeGivenAFastEngine() {
        int[][] intervalAndAge = {
            {41, 181}, {50, 163}, {58, 1569}, {67, 156}, {95, 1845}, {104, 320}
        };
        for (int[] stream : intervalAndAge) {
            for (int otherInterval = 20; otherInterval <= 32; otherInterval++) {
                assertThat(endMillis(stream[0], stream[1], otherInterval))
                        .isAtMost((double) DEADLINE);
            }
        }
    }

    /**
     * Returns when a stream of 211 events ends that is checked every 100 ms from the shutdown
     * signal.
     */
    private static double endMillis(int interval, int age, int otherInterval) {
        for (long now = 0; now < DEADLINE; now += 100) {
            int left = (int) (211 - (now + age) / interval);
            if (StreamForecast.of(left, interval).mustMove(other(otherInterval), DEADLINE, now)) {
                return now + other(otherInterval).remainingMillis(left);
            }
        }
        return 211.0 * interval - age;
    }

    @Test
    void streamThatCannotEndInTimeMovesOnlyToAClearlyFasterTarget() {
        StreamForecast forecast = StreamForecast.of(200, 100);

        assertThat(forecast.mustMove(other(50), DEADLINE, 0)).isTrue();
        assertThat(forecast.mustMove(other(80), DEADLINE, 0)).isFalse();
    }

    /** Processing the prompt again takes longer than the last events at the current target. */
    @Test
    void streamStaysForItsLastEvents() {
        StreamForecast forecast = StreamForecast.of(2, 100);

        assertThat(forecast.mustMove(other(10), DEADLINE, 7700)).isFalse();
    }

    @Test
    void streamOfUnknownLengthMayLastUntilItsDeadline() {
        StreamForecast forecast = StreamForecast.untilDeadline(3000, 50);

        assertThat(forecast.eventsLeft()).isEqualTo(60);
        assertThat(forecast.mustMove(other(10), DEADLINE, 4700)).isFalse();
        assertThat(forecast.mustMove(other(10), DEADLINE, 6700)).isTrue();
    }

    private static StreamForecast forecastAt(long now) {
        return StreamForecast.of((int) (190 - now / 70), 70);
    }

    private static SuccessorChoice other(double eventIntervalMillis) {
        return new SuccessorChoice(
                new Choice("b", "b:1", 1, "", 0, 0, 0, "", "", 0, FIRST_EVENT_MILLIS, "", 0, false),
                eventIntervalMillis);
    }
}
