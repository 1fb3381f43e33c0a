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
    void keyContainsIdAndStart() {
        Incarnation incarnation = new Incarnation("i-1", 1_700_000_000_123L);

        assertThat(incarnation.key())
                .isNotEqualTo(new Incarnation("i-1", 1_700_000_000_124L).key());
        assertThat(Incarnation.ofKey(incarnation.key())).isEqualTo(incarnation);
        Incarnation before1970 = new Incarnation("i-1", -5);
        assertThat(Incarnation.ofKey(before1970.key())).isEqualTo(before1970);
    }

    @Test
    void keyWithoutStartIsId() {
        assertThat(Incarnation.withoutStart("i-1").key()).isEqualTo("i-1");
        assertThat(Incarnation.ofKey("10.0.0.1:80"))
                .isEqualTo(Incarnation.withoutStart("10.0.0.1:80"));
        assertThat(Incarnation.ofKey("i#x")).isEqualTo(Incarnation.withoutStart("i#x"));
    }

    @Test
    void answerOfOtherIncarnationDoesNotMatch() {
        Incarnation current = new Incarnation("i-1", 7);

        assertThat(current.mayMatch(7)).isTrue();
        assertThat(current.mayMatch(5)).isFalse();
        assertThat(current.mayMatch(9)).isFalse();
        assertThat(current.isSupersededBy(5)).isFalse();
        assertThat(current.isSupersededBy(7)).isFalse();
        assertThat(current.isSupersededBy(9)).isTrue();
    }

    @Test
    void unknownStartMatchesAnyAnswer() {
        assertThat(Incarnation.withoutStart("i-1").mayMatch(9)).isTrue();
        assertThat(Incarnation.withoutStart("i-1").isSupersededBy(9)).isFalse();
        assertThat(new Incarnation("i-1", 7).mayMatch(Incarnation.UNKNOWN_START)).isTrue();
    }
}
