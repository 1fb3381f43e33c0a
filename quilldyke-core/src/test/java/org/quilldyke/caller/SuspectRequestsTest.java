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

/** What an entry does with requests that are said to crash targets. */
class SuspectRequestsTest {
    private static final RequestFingerprint ONE = new RequestFingerprint(1, 1);
    private static final long UNTIL = 5000;

    private final SuspectRequests mSuspects = SuspectRequests.create();

    @Test
    void refusedRequestMayComeBackAtTheEndOfItsTime() {
        tell(Suspect.Standing.REFUSED);

        assertThat(mSuspects.maySendOn(ONE, 0, UNTIL - 1)).isFalse();
        assertThat(mSuspects.refusal(ONE, UNTIL - 700).retryAfterMillis()).isEqualTo(700);
        assertThat(mSuspects.refusal(ONE, 0).code()).isEqualTo(ResultCode.CRASHES_TARGETS);
        assertThat(mSuspects.maySendOn(ONE, 0, UNTIL)).isTrue();
        assertThat(mSuspects.maySendOn(ONE, 1, UNTIL)).isFalse();
    }

    @Test
    void watchedRequestIsSentOn() {
        tell(Suspect.Standing.WATCHED);

        assertThat(mSuspects.maySendOn(ONE, 1, 0)).isTrue();
    }

    @Test
    void clearedRequestIsNoSuspect() {
        tell(Suspect.Standing.REFUSED);
        tell(Suspect.Standing.CLEARED);

        assertThat(mSuspects.maySendOn(ONE, 1, 0)).isTrue();
        assertThat(mSuspects.suspects()).isEmpty();
    }

    @Test
    void suspectsAreKeptInBounds() {
        for (int i = 0; i < 2 * SuspectRequests.MAX_SUSPECTS; i++) {
            RequestFingerprint request = new RequestFingerprint(i, 0);
            mSuspects.onSuspect(
                    new Suspect(request, Suspect.Standing.REFUSED, Set.of("a"), UNTIL, 1));
        }

        assertThat(mSuspects.suspects()).hasSize(SuspectRequests.MAX_SUSPECTS);
    }

    @Test
    void whatSpeaksForASuspectIsTold() {
        assertThat(mSuspects.onCompleted(ONE, 40)).isFalse();
        assertThat(mSuspects.isHarmless(ONE, 40 + CrashLedger.HARMLESS_MILLIS)).isTrue();
        assertThat(mSuspects.isHarmless(ONE, 41 + CrashLedger.HARMLESS_MILLIS)).isFalse();

        assertThat(tell(Suspect.Standing.WATCHED).getAsLong()).isEqualTo(40);
        assertThat(mSuspects.onCompleted(ONE, 60)).isTrue();
    }

    private OptionalLong tell(Suspect.Standing standing) {
        return mSuspects.onSuspect(new Suspect(ONE, standing, Set.of("a"), UNTIL, 1));
    }
}
