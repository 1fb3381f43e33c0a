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

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Distinguishes a crash of a target from a closed connection. */
class DisconnectedRunsTest {
    private static final RequestFingerprint ONE = new RequestFingerprint(1, 1);
    private static final RequestFingerprint TWO = new RequestFingerprint(2, 2);

    private final DisconnectedRuns mRuns = DisconnectedRuns.create();

    @Test
    void targetThatEndsRightAfterClosingConnectionsHasCrashed() {
        mRuns.onDisconnected("a", Set.of(ONE), 100);
        mRuns.onDisconnected("a", Set.of(TWO), 104);
        mRuns.onDisconnected("b", Set.of(TWO), 104);

        TargetCrash crash = mRuns.onTargetEnded("a", 130).orElseThrow();

        assertThat(crash.requests()).containsExactly(ONE, TWO);
        assertThat(crash.crashedAt()).isEqualTo(100);
    }

    @Test
    void targetThatEndsMuchLaterHasNotCrashed() {
        mRuns.onDisconnected("a", Set.of(ONE), 100);

        assertThat(mRuns.onTargetEnded("a", 101 + DisconnectedRuns.RETENTION_MILLIS)).isEmpty();
    }

    @Test
    void targetThatClosedNoConnectionOrShutsDownHasNotCrashed() {
        mRuns.onDisconnected("a", Set.of(ONE), 100);
        mRuns.onTargetLeft("a");

        assertThat(mRuns.onTargetEnded("a", 110)).isEmpty();
        assertThat(mRuns.onTargetEnded("b", 110)).isEmpty();
    }
}
