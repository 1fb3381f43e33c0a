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

/** What is a crash, as against a connection that was closed. */
class LostRunsTest {
    private static final RequestFingerprint ONE = new RequestFingerprint(1, 1);
    private static final RequestFingerprint TWO = new RequestFingerprint(2, 2);

    private final LostRuns mLost = LostRuns.create();

    @Test
    void targetThatEndsRightAfterItClosedRunsHasCrashed() {
        mLost.onLost("a", ONE, 100);
        mLost.onLost("a", TWO, 104);
        mLost.onLost("b", TWO, 104);

        TargetCrash crash = mLost.onEnded("a", 130).orElseThrow();

        assertThat(crash.requests()).containsExactly(ONE, TWO);
        assertThat(crash.at()).isEqualTo(100);
    }

    @Test
    void targetThatEndsMuchLaterHasNotCrashedByThem() {
        mLost.onLost("a", ONE, 100);

        assertThat(mLost.onEnded("a", 101 + LostRuns.KEPT_MILLIS)).isEmpty();
    }

    @Test
    void targetThatClosedNothingOrHasLeftHasNotCrashed() {
        mLost.onLost("a", ONE, 100);
        mLost.onLeft("a");

        assertThat(mLost.onEnded("a", 110)).isEmpty();
        assertThat(mLost.onEnded("b", 110)).isEmpty();
    }
}
