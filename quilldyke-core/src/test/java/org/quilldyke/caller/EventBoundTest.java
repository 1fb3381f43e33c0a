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

class EventBoundTest {
    private static final int ALLOWED = 844;

    private final EventBound mBound = new EventBound();

    @Test
    void eachTokenIsTakenForAnEventUntilAnswersCameNearTheirAllowance() {
        see(100, ALLOWED, 21);
        assertThat(mBound.mostEvents(ALLOWED)).isEqualTo(ALLOWED);

        see(2, ALLOWED, 211);
        assertThat(mBound.mostEvents(ALLOWED)).isEqualTo(ALLOWED);

        see(1, ALLOWED, 211);
        assertThat(mBound.mostEvents(ALLOWED)).isEqualTo(211);
        assertThat(mBound.mostEvents(81)).isEqualTo(21);
    }

    @Test
    void answersThatUsedFourFifthsTellTheSame() {
        see(3, ALLOWED, 170);

        assertThat(mBound.mostEvents(ALLOWED)).isEqualTo(211);
    }

    @Test
    void oneAnswerWithMoreEventsIsBelieved() {
        see(50, ALLOWED, 130);
        see(1, ALLOWED, 169);
        see(1, ALLOWED, 211);

        assertThat(mBound.mostEvents(ALLOWED)).isAtLeast(211);
    }

    /** The last event of a small answer bears what is left: no other one bears so little. */
    @Test
    void smallAnswersDontTellFewerTokensThanEventsBear() {
        see(10, ALLOWED, 211);
        see(10, 6, 2);
        see(10, 1, 1);

        assertThat(mBound.mostEvents(ALLOWED)).isEqualTo(211);
    }

    @Test
    void eventsOfOneToken() {
        see(3, 10, 10);

        assertThat(mBound.mostEvents(110)).isEqualTo(110);
    }

    private void see(int answers, int maxTokens, int events) {
        for (int i = 0; i < answers; i++) {
            mBound.onSeen(maxTokens, events);
        }
    }
}
