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
package org.quilldyke.weights;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.quilldyke.engine.Incarnation;

class OrderOutcomeTest {
    @Test
    void answerOfAnotherIncarnationIsUnknown() {
        for (OrderOutcome outcome : OrderOutcome.values()) {
            assertThat(outcome.ifFrom("e#7", 5)).isEqualTo(OrderOutcome.UNKNOWN);
            assertThat(outcome.ifFrom("e#7", 9)).isEqualTo(OrderOutcome.UNKNOWN);
            assertThat(outcome.ifFrom("e#7", 7)).isEqualTo(outcome);
        }
    }

    @Test
    void answerWithoutAStartTimeIsAccepted() {
        assertThat(OrderOutcome.HOLDS.ifFrom("e#7", Incarnation.UNKNOWN_START))
                .isEqualTo(OrderOutcome.HOLDS);
        assertThat(OrderOutcome.HOLDS.ifFrom("e", 7)).isEqualTo(OrderOutcome.HOLDS);
    }
}
