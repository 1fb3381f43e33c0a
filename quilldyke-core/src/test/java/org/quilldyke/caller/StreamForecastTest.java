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

/** When a stream with up to 211 events leaves an engine, by an instance that ends at 7.8 s. */
class StreamForecastTest {
    private static final long DEADLINE = 7800;
    private static final int FIRST_EVENT_MILLIS = 200;

    @Test
    void streamThatEndsInTimeStays() {
        StreamForecast forecast = StreamForecast.of(100, 60);

        assertThat(forecast.maxRemainingMillis()).isEqualTo(6000.0);
        assertThat(forecast.mustMove(other(10), DEADLINE, 1800)).isFalse();
    }

    /** Most end long before they might: to move each at once would read many prompts twice. */
    @Test
    void streamStaysAsLongAsItMayBeMovedLater() {
        StreamForecast initial = StreamForecast.of(184, 58);
        assertThat(initial.mustMove(other(25), DEADLINE, 0)).isFalse();

        StreamForecast later = StreamForecast.of(184 - 3000 / 58, 58);
        assertThat(later.mustMove(other(25), DEADLINE, 3000)).isTrue();
    }

    /** Whatever the pace there, a check every 100 ms finds a moment with time to spare. */
    @Test
    void streamIsMovedWhileTheOtherTargetCanCompleteItInTime() {
        for (int otherPace = 10; otherPace <= 30; otherPace++) {
            long now = 0;
            while (!forecastAt(now).mustMove(other(otherPace), DEADLINE, now)) {
                now += 100;
            }
            double end = now + other(otherPace).remainingMillis(forecastAt(now).eventsLeft());
            assertThat(end).isAtMost(DEADLINE - StreamForecast.HANDOVER_MARGIN_MILLIS + 100.0);
        }
    }

    /**
     * Paces and ages of streams that were cut at the limit, each taken to use all it may: also such
     * that their own time would end before all that, which it doesn't at the quick engine.
     */
    @Test
    void slowStreamsEndInTimeGivenAFastEngine() {
        int[][] paceAndAge = {{41, 181}, {50, 163}, {58, 1569}, {67, 156}, {95, 1845}, {104, 320}};
        for (int[] stream : paceAndAge) {
            for (int otherPace = 20; otherPace <= 32; otherPace++) {
                assertThat(endOf(stream[0], stream[1], otherPace)).isAtMost((double) DEADLINE);
            }
        }
    }

    /** Returns when a stream of 211 events ends that is looked at each 100 ms from the signal. */
    private static double endOf(int pace, int age, int otherPace) {
        for (long now = 0; now < DEADLINE; now += 100) {
            int left = (int) (211 - (now + age) / pace);
            if (StreamForecast.of(left, pace).mustMove(other(otherPace), DEADLINE, now)) {
                return now + other(otherPace).remainingMillis(left);
            }
        }
        return 211.0 * pace - age;
    }

    @Test
    void streamThatCannotEndInTimeMovesOnlyToAClearlyFasterTarget() {
        StreamForecast forecast = StreamForecast.of(200, 100);

        assertThat(forecast.mustMove(other(50), DEADLINE, 0)).isTrue();
        assertThat(forecast.mustMove(other(80), DEADLINE, 0)).isFalse();
    }

    /** The prompt is read again there: that takes longer than the last events here. */
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

    private static SuccessorChoice other(double paceMillis) {
        return new SuccessorChoice(
                new Choice("b", "b:1", 1, "", 0, 0, 0, "", "", 0, FIRST_EVENT_MILLIS, "", 0),
                paceMillis);
    }
}
