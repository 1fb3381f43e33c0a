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

class LatestIncarnationsTest {
    private final LatestIncarnations mLatest = LatestIncarnations.create();

    @Test
    void laterPutsAnEndToEarlierAndNeverTheOtherWay() {
        assertThat(mLatest.note(new Incarnation("a", 5))).isEmpty();
        assertThat(mLatest.note(new Incarnation("a", 5))).isEmpty();
        assertThat(mLatest.note(new Incarnation("a", 7))).hasValue(new Incarnation("a", 5));
        assertThat(mLatest.note(new Incarnation("a", 5))).isEmpty();

        assertThat(mLatest.isPast(new Incarnation("a", 5))).isTrue();
        assertThat(mLatest.isPast(new Incarnation("a", 7))).isFalse();
        assertThat(mLatest.isPast(new Incarnation("a", 8))).isFalse();
        assertThat(mLatest.of("a")).hasValue(new Incarnation("a", 7));
    }

    /** Clocks of engines may be off. */
    @Test
    void birthsOfTwoIdsAreNotCompared() {
        mLatest.note(new Incarnation("a", 7));

        assertThat(mLatest.isPast(new Incarnation("b", 5))).isFalse();
    }

    @Test
    void whoTellsNoBirthIsEarlierThanAnyWhoDoes() {
        mLatest.note(Incarnation.withoutBirth("a"));

        assertThat(mLatest.isPast(Incarnation.withoutBirth("a"))).isFalse();
        assertThat(mLatest.note(new Incarnation("a", -3))).hasValue(Incarnation.withoutBirth("a"));
        assertThat(mLatest.isPast(Incarnation.withoutBirth("a"))).isTrue();
    }

    @Test
    void whoWasHeardOfLongestAgoYields() {
        for (int i = 0; i < LatestIncarnations.MAX_IDS; i++) {
            mLatest.note(new Incarnation("i" + i, 7));
        }
        mLatest.note(new Incarnation("i0", 7));
        mLatest.note(new Incarnation("one more", 7));

        assertThat(mLatest.of("i0")).isPresent();
        assertThat(mLatest.of("i1")).isEmpty();
    }
}
