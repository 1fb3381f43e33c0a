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

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class EventCountEstimatorTest {
    private static final int MAX_TOKENS = 844;

    private final EventCountEstimator mEstimator = new EventCountEstimator();

    @Test
    void noEstimateBeforeEnoughSamples() {
        addAnswers(7, 100);

        assertThat(mEstimator.likelyEvents(MAX_TOKENS, 10)).isEqualTo(OptionalInt.empty());
    }

    /**
     * A stream that has just started is most likely short; one that has lasted is one of the long
     * ones.
     */
    @Test
    void estimateGrowsWithEventsReceived() {
        addAnswers(30, 50);
        addAnswers(6, 120);
        addAnswers(8, 211);

        assertThat(mEstimator.likelyEvents(MAX_TOKENS, 5)).isEqualTo(OptionalInt.of(120));
        assertThat(mEstimator.likelyEvents(MAX_TOKENS, 60)).isEqualTo(OptionalInt.of(211));
        assertThat(mEstimator.likelyEvents(MAX_TOKENS, 211)).isEqualTo(OptionalInt.empty());
    }

    @Test
    void estimateScalesWithMaxTokens() {
        addAnswers(40, 211);

        assertThat(mEstimator.likelyEvents(MAX_TOKENS / 2, 5)).isEqualTo(OptionalInt.of(106));
    }

    @Test
    void oldSamplesAreDropped() {
        addAnswers(300, 20);
        addAnswers(256, 100);

        assertThat(mEstimator.likelyEvents(MAX_TOKENS, 5)).isEqualTo(OptionalInt.of(100));
    }

    private void addAnswers(int answers, int events) {
        for (int i = 0; i < answers; i++) {
            mEstimator.onCompleted(MAX_TOKENS, events);
        }
    }
}
