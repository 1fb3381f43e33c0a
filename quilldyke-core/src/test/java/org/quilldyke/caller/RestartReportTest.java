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

class RestartReportTest {
    private static final long RECEIVED_AT = 10_000;
    private static final long VERIFICATION_MILLIS = RestartReport.VERIFICATION_MILLIS;
    private final RestartReport mReport = new RestartReport(RECEIVED_AT);

    @Test
    void timeWithoutDataBeforeTheReportDoesNotCount() {
        assertThat(mReport.acceptedAt(0)).isEqualTo(RECEIVED_AT + VERIFICATION_MILLIS);
        assertThat(mReport.acceptedAt(RECEIVED_AT)).isEqualTo(RECEIVED_AT + VERIFICATION_MILLIS);
    }

    @Test
    void dataInTransitPostponesAcceptance() {
        long lastDataAt = RECEIVED_AT + VERIFICATION_MILLIS - 1;

        assertThat(mReport.isRefuted(lastDataAt)).isFalse();
        assertThat(mReport.acceptedAt(lastDataAt)).isEqualTo(lastDataAt + VERIFICATION_MILLIS);
    }

    @Test
    void isRefutedIfTheTargetContinuesTheAnswer() {
        assertThat(mReport.isRefuted(0)).isFalse();
        assertThat(mReport.isRefuted(RECEIVED_AT + VERIFICATION_MILLIS)).isTrue();
    }
}
