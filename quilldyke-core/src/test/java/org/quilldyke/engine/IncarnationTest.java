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
package org.quilldyke.engine;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class IncarnationTest {
    @Test
    void keyNamesIdAndBirth() {
        Incarnation told = new Incarnation("i-1", 1_700_000_000_123L);

        assertThat(told.key()).isNotEqualTo(new Incarnation("i-1", 1_700_000_000_124L).key());
        assertThat(Incarnation.ofKey(told.key())).isEqualTo(told);
        Incarnation before1970 = new Incarnation("i-1", -5);
        assertThat(Incarnation.ofKey(before1970.key())).isEqualTo(before1970);
    }

    @Test
    void withoutABirthTheKeyIsTheId() {
        assertThat(Incarnation.withoutBirth("i-1").key()).isEqualTo("i-1");
        assertThat(Incarnation.ofKey("10.0.0.1:80"))
                .isEqualTo(Incarnation.withoutBirth("10.0.0.1:80"));
        assertThat(Incarnation.ofKey("i#x")).isEqualTo(Incarnation.withoutBirth("i#x"));
    }

    @Test
    void answerOfAnotherIncarnationIsNotItsOwn() {
        Incarnation present = new Incarnation("i-1", 7);

        assertThat(present.mayHaveSaid(7)).isTrue();
        assertThat(present.mayHaveSaid(5)).isFalse();
        assertThat(present.mayHaveSaid(9)).isFalse();
        assertThat(present.isOutlivedBy(5)).isFalse();
        assertThat(present.isOutlivedBy(7)).isFalse();
        assertThat(present.isOutlivedBy(9)).isTrue();
    }

    @Test
    void whereNoBirthIsToldAnAnswerIsTakenAsBefore() {
        assertThat(Incarnation.withoutBirth("i-1").mayHaveSaid(9)).isTrue();
        assertThat(Incarnation.withoutBirth("i-1").isOutlivedBy(9)).isFalse();
        assertThat(new Incarnation("i-1", 7).mayHaveSaid(Incarnation.UNTOLD)).isTrue();
    }
}
