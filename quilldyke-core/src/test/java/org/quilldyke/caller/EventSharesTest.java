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

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** How long a stream is likely to go on, given how long it has. */
class EventSharesTest {
    private static final int TOKENS = 844;

    private final EventShares mShares = new EventShares();

    @Test
    void nothingIsLikelyBeforeEnoughWereSeen() {
        see(7, 100);

        assertThat(mShares.likelyEvents(TOKENS, 10)).isEqualTo(OptionalInt.empty());
    }

    /** What has just begun is most likely short; what has lasted belongs to the long ones. */
    @Test
    void streamThatHasLastedIsLikelyToLastLonger() {
        see(30, 50);
        see(6, 120);
        see(8, 211);

        assertThat(mShares.likelyEvents(TOKENS, 5)).isEqualTo(OptionalInt.of(120));
        assertThat(mShares.likelyEvents(TOKENS, 60)).isEqualTo(OptionalInt.of(211));
        assertThat(mShares.likelyEvents(TOKENS, 211)).isEqualTo(OptionalInt.empty());
    }

    @Test
    void otherAllowancesCountByTheirPart() {
        see(40, 211);

        assertThat(mShares.likelyEvents(TOKENS / 2, 5)).isEqualTo(OptionalInt.of(106));
    }

    @Test
    void oldOnesAreForgotten() {
        see(300, 20);
        see(256, 100);

        assertThat(mShares.likelyEvents(TOKENS, 5)).isEqualTo(OptionalInt.of(100));
    }

    private void see(int runs, int events) {
        for (int i = 0; i < runs; i++) {
            mShares.onEnded(TOKENS, events);
        }
    }
}
