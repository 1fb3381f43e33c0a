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

class EventCountBoundTest {
    private static final int MAX_TOKENS = 844;

    private final EventCountBound mBound = new EventCountBound();

    @Test
    void oneTokenPerEventIsAssumedUntilAnswersNearTheirLimit() {
        addAnswers(100, MAX_TOKENS, 21);
        assertThat(mBound.maxEvents(MAX_TOKENS)).isEqualTo(MAX_TOKENS);

        addAnswers(1, MAX_TOKENS, 211);
        assertThat(mBound.maxEvents(MAX_TOKENS)).isEqualTo(MAX_TOKENS);

        addAnswers(1, MAX_TOKENS, 211);
        assertThat(mBound.maxEvents(MAX_TOKENS)).isEqualTo(211);
        assertThat(mBound.maxEvents(81)).isEqualTo(21);
    }

    @Test
    void answersOfHalfTheLimitAreIgnored() {
        addAnswers(100, MAX_TOKENS, 105);

        assertThat(mBound.maxEvents(MAX_TOKENS)).isEqualTo(MAX_TOKENS);
    }

    @Test
    void answersOfFourFifthsOfTheLimitGiveTheSameBound() {
        addAnswers(2, MAX_TOKENS, 170);

        assertThat(mBound.maxEvents(MAX_TOKENS)).isEqualTo(211);
    }

    @Test
    void singleAnswerWithMoreEventsRaisesTheBound() {
        addAnswers(50, MAX_TOKENS, 130);
        addAnswers(1, MAX_TOKENS, 169);
        addAnswers(1, MAX_TOKENS, 211);

        assertThat(mBound.maxEvents(MAX_TOKENS)).isAtLeast(211);
    }

    /**
     * The last event of an answer may have fewer tokens than the others, which matters in answers
     * of few events.
     */
    @Test
    void smallAnswersDontReduceTokensPerEvent() {
        addAnswers(10, MAX_TOKENS, 211);
        addAnswers(10, 6, 2);
        addAnswers(10, 1, 1);

        assertThat(mBound.maxEvents(MAX_TOKENS)).isEqualTo(211);
    }

    @Test
    void eventsMayHaveOneToken() {
        addAnswers(2, 10, 10);

        assertThat(mBound.maxEvents(110)).isEqualTo(110);
    }

    private void addAnswers(int answers, int maxTokens, int events) {
        for (int i = 0; i < answers; i++) {
            mBound.onAnswer(maxTokens, events);
        }
    }
}
