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
    void onlyLaterIncarnationSupersedes() {
        assertThat(mLatest.observe(new Incarnation("a", 5))).isEmpty();
        assertThat(mLatest.observe(new Incarnation("a", 5))).isEmpty();
        assertThat(mLatest.observe(new Incarnation("a", 7))).hasValue(new Incarnation("a", 5));
        assertThat(mLatest.observe(new Incarnation("a", 5))).isEmpty();

        assertThat(mLatest.isSuperseded(new Incarnation("a", 5))).isTrue();
        assertThat(mLatest.isSuperseded(new Incarnation("a", 7))).isFalse();
        assertThat(mLatest.isSuperseded(new Incarnation("a", 8))).isFalse();
        assertThat(mLatest.find("a")).hasValue(new Incarnation("a", 7));
    }

    /** Clocks of targets may be wrong, so start times only order incarnations of one id. */
    @Test
    void startsOfDifferentIdsAreNotCompared() {
        mLatest.observe(new Incarnation("a", 7));

        assertThat(mLatest.isSuperseded(new Incarnation("b", 5))).isFalse();
    }

    @Test
    void incarnationWithoutStartIsEarliest() {
        mLatest.observe(Incarnation.withoutStart("a"));

        assertThat(mLatest.isSuperseded(Incarnation.withoutStart("a"))).isFalse();
        assertThat(mLatest.observe(new Incarnation("a", -3)))
                .hasValue(Incarnation.withoutStart("a"));
        assertThat(mLatest.isSuperseded(Incarnation.withoutStart("a"))).isTrue();
    }

    @Test
    void leastRecentlyUsedIdIsEvicted() {
        for (int i = 0; i < LatestIncarnations.MAX_IDS; i++) {
            mLatest.observe(new Incarnation("i" + i, 7));
        }
        mLatest.observe(new Incarnation("i0", 7));
        mLatest.observe(new Incarnation("one more", 7));

        assertThat(mLatest.find("i0")).isPresent();
        assertThat(mLatest.find("i1")).isEmpty();
    }
}
