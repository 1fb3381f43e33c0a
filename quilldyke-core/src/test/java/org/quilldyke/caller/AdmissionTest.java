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

import com.google.common.collect.Range;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.quilldyke.manifest.RequestKind;
import org.quilldyke.manifest.Route;

/**
 * Under load, urgent prompts waited behind less urgent ones, and running requests were delayed by
 * prefill.
 */
final class AdmissionTest {
    private static final long TIMEOUT_MILLIS = 4000;
    private static final long OBJECTIVE_MILLIS = 600;

    @Test
    void lessUrgentPromptsLeaveRoomForUrgentOnes() {
        assertThat(Admission.admits(request(0, TIMEOUT_MILLIS), 590)).isTrue();
        assertThat(Admission.admits(request(1, TIMEOUT_MILLIS), 400)).isFalse();
        assertThat(Admission.admits(request(1, TIMEOUT_MILLIS), 380)).isTrue();
        assertThat(Admission.admits(request(0, TIMEOUT_MILLIS), 610)).isFalse();
    }

    @Test
    void mostOfTheOwnPrefillOfLargePromptsIsDiscounted() {
        assertThat(Admission.discountedPrefillMillis(request(1, TIMEOUT_MILLIS), 100))
                .isEqualTo(0.0);
        assertThat(Admission.discountedPrefillMillis(request(1, TIMEOUT_MILLIS), 600))
                .isEqualTo(480.0);
    }

    @Test
    void requestsWithoutPromptAreAlwaysAdmitted() {
        ForwardRequest plain =
                new ForwardRequest(
                        "id",
                        route(1),
                        "s",
                        Optional.empty(),
                        "",
                        Optional.empty(),
                        0,
                        0,
                        1,
                        new RequestFingerprint(1, 1),
                        -1,
                        0);
        assertThat(Admission.admits(plain, 100_000)).isTrue();
    }

    @Test
    void retryDelaysAreSpreadWithinAThirdOfTheRemainingTime() {
        SplittableRandom random = new SplittableRandom(1);
        long shortest = Long.MAX_VALUE;
        long longest = 0;
        for (int i = 0; i < 1000; i++) {
            long delay = Admission.retryAfterMillis(request(1, TIMEOUT_MILLIS), random, 100);
            shortest = Math.min(shortest, delay);
            longest = Math.max(longest, delay);
        }
        assertThat(shortest).isIn(Range.closed(600L, 620L));
        assertThat(longest).isIn(Range.closed(1180L, 1200L));
    }

    @Test
    void callerWithLittleTimeLeftRetriesSoon() {
        SplittableRandom random = new SplittableRandom(1);
        assertThat(Admission.retryAfterMillis(request(1, 300), random, 0)).isAtMost(100);
        assertThat(Admission.retryAfterMillis(request(1, 300), random, 400)).isEqualTo(1);
    }

    private static ForwardRequest request(int priority, long deadline) {
        Prompt prompt = new Prompt("m", 9000, 10, List.of(new Prompt.Part(1, 9000)));
        return new ForwardRequest(
                "id",
                route(priority),
                "s",
                Optional.empty(),
                "",
                Optional.of(prompt),
                0,
                0,
                deadline,
                new RequestFingerprint(1, 1),
                -1,
                0);
    }

    private static Route route(int priority) {
        return new Route(
                "r",
                "h",
                "/",
                RequestKind.STREAMING,
                TIMEOUT_MILLIS,
                OBJECTIVE_MILLIS,
                500,
                priority,
                List.of(new Route.Share("s", 1)),
                1,
                false,
                true,
                false);
    }
}
