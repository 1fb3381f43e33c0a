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
package org.quilldyke.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.quilldyke.engine.TargetReport;

/** Whether a target that names a limit takes requests of this instance. */
class LimitedStateTest {
    private static final InstanceRank ALONE = new InstanceRank(0, 1);

    private final TargetState mState =
            new TargetState(
                    new TargetReport("a", "s", "a:1", "z", "v1", 4, false, 0, Map.of("m", 1L), 1));

    @Test
    void sharerUsesItsTurnsAndOthersNone() {
        hear(1, ALONE, 0);
        assertThat(mState.serves("s", 499)).isFalse();
        assertThat(mState.serves("s", 500)).isTrue();

        mState.onRank(InstanceRank.UNKNOWN, 0.5, 600);
        assertThat(mState.serves("s", 5000)).isFalse();
    }

    @Test
    void limitEndsWithAnAnswerThatNamesNone() {
        hear(1, InstanceRank.UNKNOWN, 0);
        assertThat(mState.serves("s", 100)).isFalse();

        assertThat(hear(NamedLimit.NONE, InstanceRank.UNKNOWN, 200)).isTrue();

        assertThat(mState.serves("s", 200)).isTrue();
    }

    @Test
    void earlierWordThatComesLateChangesNothing() {
        hear(1, InstanceRank.UNKNOWN, 100);

        assertThat(hear(NamedLimit.NONE, InstanceRank.UNKNOWN, 90)).isFalse();

        assertThat(mState.serves("s", 200)).isFalse();
    }

    @Test
    void limitThatNobodyHearsAnyMoreEnds() {
        hear(1, InstanceRank.UNKNOWN, 0);

        assertThat(mState.serves("s", NamedLimit.KEPT_MILLIS - 1)).isFalse();
        assertThat(mState.serves("s", NamedLimit.KEPT_MILLIS)).isTrue();
    }

    @Test
    void limitIsToldWhenItChangesAndNowAndThen() {
        assertThat(hear(2, ALONE, 0)).isTrue();
        assertThat(hear(2.1, ALONE, 100)).isFalse();
        assertThat(hear(3, ALONE, 200)).isTrue();
        assertThat(hear(3, ALONE, 200 + NamedLimit.RENEWED_MILLIS - 1)).isFalse();
        assertThat(hear(3, ALONE, 200 + NamedLimit.RENEWED_MILLIS)).isTrue();
        assertThat(hear(NamedLimit.NONE, ALONE, 30_000)).isTrue();
        assertThat(hear(NamedLimit.NONE, ALONE, 90_000)).isFalse();
    }

    private boolean hear(double perSecond, InstanceRank rank, long at) {
        return mState.onLimit(new NamedLimit("a", perSecond, at), rank, 0.5, at);
    }
}
