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
import org.quilldyke.routing.PacedChoice;

/** When a stream with up to 211 events leaves an engine, by an instance that ends at 7.8 s. */
class StreamForecastTest {
    private static final long ENDS_AT = 7800;
    private static final long OWN_MILLIS = 15_000;
    private static final int FIRST_MILLIS = 200;

    @Test
    void streamThatEndsInTimeStays() {
        StreamForecast forecast = StreamForecast.of(100, 60, OWN_MILLIS);

        assertThat(forecast.restMillis()).isEqualTo(6000.0);
        assertThat(forecast.mustGoOn(other(10), ENDS_AT, 1800)).isFalse();
    }

    /** Most end long before they might: to move each at once would read many prompts twice. */
    @Test
    void streamStaysAsLongAsLaterIsEarlyEnough() {
        StreamForecast atFirst = StreamForecast.of(184, 58, OWN_MILLIS);
        assertThat(atFirst.mustGoOn(other(25), ENDS_AT, 0)).isFalse();

        StreamForecast later = StreamForecast.of(184 - 3000 / 58, 58, OWN_MILLIS);
        assertThat(later.mustGoOn(other(25), ENDS_AT, 3000)).isTrue();
    }

    /** Whatever the pace there, a check every 100 ms finds a moment with time to spare. */
    @Test
    void streamIsMovedWhileTheOtherTargetStillEndsItInTime() {
        for (int there = 10; there <= 30; there++) {
            long now = 0;
            while (!forecastAt(now).mustGoOn(other(there), ENDS_AT, now)) {
                now += 100;
            }
            double end = now + other(there).restMillis(forecastAt(now).eventsLeft());
            assertThat(end).isAtMost(ENDS_AT - StreamForecast.SPARE_MILLIS + 100.0);
        }
    }

    @Test
    void whereNobodyEndsInTimeOnlyAClearlyQuickerTargetIsTaken() {
        StreamForecast forecast = StreamForecast.of(200, 100, OWN_MILLIS);

        assertThat(forecast.mustGoOn(other(50), ENDS_AT, 0)).isTrue();
        assertThat(forecast.mustGoOn(other(80), ENDS_AT, 0)).isFalse();
    }

    /** The prompt is read again there: that takes longer than the last events here. */
    @Test
    void lastEventsAreWaitedFor() {
        StreamForecast forecast = StreamForecast.of(2, 100, OWN_MILLIS);

        assertThat(forecast.mustGoOn(other(10), ENDS_AT, 7700)).isFalse();
    }

    @Test
    void eventsForWhichTheStreamHasNoTimeItselfDontCount() {
        StreamForecast forecast = StreamForecast.of(Integer.MAX_VALUE, 50, 3000);

        assertThat(forecast.eventsLeft()).isEqualTo(60);
        assertThat(forecast.mustGoOn(other(10), ENDS_AT, 4700)).isFalse();
    }

    private static StreamForecast forecastAt(long now) {
        return StreamForecast.of((int) (190 - now / 70), 70, OWN_MILLIS);
    }

    private static PacedChoice other(double paceMillis) {
        return new PacedChoice(
                new Choice("b", "b:1", 1, "", 0, 0, 0, "", "", 0, FIRST_MILLIS, "", 0), paceMillis);
    }
}
