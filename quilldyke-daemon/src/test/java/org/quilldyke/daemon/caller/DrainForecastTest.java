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
package org.quilldyke.daemon.caller;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class DrainForecastTest {
    private static final long NEVER = Long.MAX_VALUE;

    private final DrainForecast mForecast = DrainForecast.create();

    @Test
    void runningInstanceTakesEverything() {
        assertThat(mForecast.admits(1_000_000, NEVER, 0)).isTrue();
    }

    @Test
    void nothingLearntCountsEachTokenAsSlow() {
        mForecast.onShutdown(8000);

        assertThat(mForecast.admits(100, NEVER, 0)).isTrue();
        assertThat(mForecast.admits(101, NEVER, 0)).isFalse();
        assertThat(mForecast.admits(100, NEVER, 1)).isFalse();
    }

    @Test
    void requestWhoseOwnTimeEndsBeforeIsTaken() {
        mForecast.onShutdown(8000);

        assertThat(mForecast.admits(1000, 8000, 0)).isTrue();
        assertThat(mForecast.admits(1000, 8001, 0)).isFalse();
    }

    @Test
    void slowestOfTheLastAnswersCountsWithAMargin() {
        answers(39, 5);
        answers(1, 8);
        mForecast.onShutdown(1200);

        assertThat(mForecast.admits(100, NEVER, 0)).isTrue();
        assertThat(mForecast.admits(101, NEVER, 0)).isFalse();
    }

    @Test
    void fewAnswersAndShortOnesTeachNothing() {
        answers(39, 5);
        mForecast.onAnswered(15, 1);
        mForecast.onShutdown(8000);

        assertThat(mForecast.admits(100, NEVER, 0)).isTrue();
        assertThat(mForecast.admits(101, NEVER, 0)).isFalse();
    }

    @Test
    void slowAnswerIsForgottenWithTheOthers() {
        answers(1, 1000);
        answers(256, 10);
        mForecast.onShutdown(1500);

        assertThat(mForecast.admits(100, NEVER, 0)).isTrue();
    }

    private void answers(int count, long tokenMillis) {
        for (int i = 0; i < count; i++) {
            mForecast.onAnswered(100, 100 * tokenMillis);
        }
    }
}
