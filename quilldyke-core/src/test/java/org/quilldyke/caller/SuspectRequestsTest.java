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

import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.quilldyke.ResultCode;

/** How an instance treats requests that are reported to crash targets. */
class SuspectRequestsTest {
    private static final RequestFingerprint REQUEST = new RequestFingerprint(1, 1);
    private static final long REFUSED_UNTIL = 5000;

    private final SuspectRequests mSuspects = SuspectRequests.create();

    @Test
    void refusedRequestMayBeRetriedOnceItsRefusalExpires() {
        reportSuspect(Suspect.Standing.REFUSED);

        assertThat(mSuspects.maySend(REQUEST, 0, REFUSED_UNTIL - 1)).isFalse();
        assertThat(mSuspects.refusal(REQUEST, REFUSED_UNTIL - 700).retryAfterMillis())
                .isEqualTo(700);
        assertThat(mSuspects.refusal(REQUEST, 0).code()).isEqualTo(ResultCode.CRASHES_TARGETS);
        assertThat(mSuspects.maySend(REQUEST, 0, REFUSED_UNTIL)).isTrue();
        assertThat(mSuspects.maySend(REQUEST, 1, REFUSED_UNTIL)).isFalse();
    }

    @Test
    void watchedRequestIsForwarded() {
        reportSuspect(Suspect.Standing.WATCHED);

        assertThat(mSuspects.maySend(REQUEST, 1, 0)).isTrue();
    }

    @Test
    void clearedRequestIsNoSuspect() {
        reportSuspect(Suspect.Standing.REFUSED);
        reportSuspect(Suspect.Standing.CLEARED);

        assertThat(mSuspects.maySend(REQUEST, 1, 0)).isTrue();
        assertThat(mSuspects.suspects()).isEmpty();
    }

    @Test
    void numberOfSuspectsIsBounded() {
        for (int i = 0; i < 2 * SuspectRequests.MAX_SUSPECTS; i++) {
            RequestFingerprint request = new RequestFingerprint(i, 0);
            mSuspects.onSuspect(
                    new Suspect(request, Suspect.Standing.REFUSED, Set.of("a"), REFUSED_UNTIL, 1));
        }

        assertThat(mSuspects.suspects()).hasSize(SuspectRequests.MAX_SUSPECTS);
    }

    @Test
    void completionOfASuspectIsReported() {
        assertThat(mSuspects.onCompleted(REQUEST, 40)).isFalse();
        assertThat(
                        mSuspects.hasCompletedRecently(
                                REQUEST, 40 + PoisonRequestDetector.RECENT_COMPLETION_MILLIS))
                .isTrue();
        assertThat(
                        mSuspects.hasCompletedRecently(
                                REQUEST, 41 + PoisonRequestDetector.RECENT_COMPLETION_MILLIS))
                .isFalse();

        assertThat(reportSuspect(Suspect.Standing.WATCHED).getAsLong()).isEqualTo(40);
        assertThat(mSuspects.onCompleted(REQUEST, 60)).isTrue();
    }

    private OptionalLong reportSuspect(Suspect.Standing standing) {
        return mSuspects.onSuspect(new Suspect(REQUEST, standing, Set.of("a"), REFUSED_UNTIL, 1));
    }
}
