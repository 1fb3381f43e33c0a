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
package org.quilldyke;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class OutcomeTest {
    @Test
    void notRunOnlyIfNoAttemptMayHaveRun() {
        assertThat(Outcome.NOT_RUN.combinedWith(Outcome.NOT_RUN)).isEqualTo(Outcome.NOT_RUN);
        assertThat(Outcome.NOT_RUN.combinedWith(Outcome.UNKNOWN)).isEqualTo(Outcome.UNKNOWN);
        assertThat(Outcome.UNKNOWN.combinedWith(Outcome.NOT_RUN)).isEqualTo(Outcome.UNKNOWN);
        assertThat(Outcome.RAN.combinedWith(Outcome.UNKNOWN)).isEqualTo(Outcome.RAN);
        assertThat(Outcome.UNKNOWN.combinedWith(Outcome.RAN)).isEqualTo(Outcome.RAN);
        assertThat(Outcome.NOT_RUN.combinedWith(Outcome.RAN)).isEqualTo(Outcome.RAN);
    }

    @Test
    void possiblyRunRequestIsRetriedOnlyIfRepeatable() {
        assertThat(Outcome.NOT_RUN.mayRetry(false)).isTrue();
        assertThat(Outcome.RAN.mayRetry(false)).isFalse();
        assertThat(Outcome.UNKNOWN.mayRetry(false)).isFalse();
        assertThat(Outcome.UNKNOWN.mayRetry(true)).isTrue();
    }
}
