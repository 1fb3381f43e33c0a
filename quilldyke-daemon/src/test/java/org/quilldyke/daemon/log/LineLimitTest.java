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
package org.quilldyke.daemon.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class LineLimitTest {
    private final LineLimit mLimit = LineLimit.of(2, 1000);

    @Test
    void floodLeavesSoManyLinesASpan() {
        int written = 0;
        for (long now = 0; now < 10_000; now++) {
            written += mLimit.admit("a", now).isPresent() ? 1 : 0;
        }

        assertThat(written).isEqualTo(20);
    }

    @Test
    void nextLineTellsHowManyWereLeftOut() {
        assertThat(mLimit.admit("a", 0)).isEqualTo(OptionalLong.of(0));
        assertThat(mLimit.admit("a", 1)).isEqualTo(OptionalLong.of(0));
        assertThat(mLimit.admit("a", 2)).isEqualTo(OptionalLong.empty());
        assertThat(mLimit.admit("a", 999)).isEqualTo(OptionalLong.empty());

        assertThat(mLimit.admit("a", 1000)).isEqualTo(OptionalLong.of(2));
        assertThat(mLimit.admit("a", 1001)).isEqualTo(OptionalLong.of(0));
    }

    @Test
    void kindsDoNotCrowdEachOther() {
        for (int i = 0; i < 50; i++) {
            mLimit.admit("a", 0);
        }

        assertThat(mLimit.admit("b", 0)).isEqualTo(OptionalLong.of(0));
    }
}
