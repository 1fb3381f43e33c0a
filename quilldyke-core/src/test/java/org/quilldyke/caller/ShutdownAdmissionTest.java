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

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quilldyke.ResultCode;
import org.quilldyke.manifest.RequestKind;
import org.quilldyke.manifest.Route;

/**
 * What an instance that shuts down still takes.
 *
 * <p>The figures are those of streams that were cut: five tokens an event, 37 ms an event, up to 70
 * beside long prompts; 7.8 s to shut down, and 955 tokens at most.
 */
class ShutdownAdmissionTest {
    private static final long ENDS_AT = 7800;
    private static final int TOKENS_PER_EVENT = 5;
    private static final int LONG_STREAM = 955;
    private static final int SHORT_STREAM = 205;

    private final ShutdownAdmission mAdmission = ShutdownAdmission.create();

    @BeforeEach
    void seeRuns() {
        for (int i = 1; i <= 40; i++) {
            int events = i * LONG_STREAM / TOKENS_PER_EVENT / 40;
            onEnded(LONG_STREAM, events, events * 37L, 0);
        }
    }

    @Test
    void runningInstanceTakesEverything() {
        assertThat(mAdmission.isShuttingDown()).isFalse();
        assertThat(mAdmission.admits(stream(LONG_STREAM, 60_000), 50, 0)).isTrue();
    }

    @Test
    void streamThatMayOutlastTheInstanceIsRefusedAndItsCallerComesBackAtOnce() {
        mAdmission.onShutdown(ENDS_AT);

        assertThat(mAdmission.admits(stream(LONG_STREAM, 15_000), 49, 0)).isTrue();
        onEnded(LONG_STREAM, 100, 5200, 715);
        assertThat(mAdmission.admits(stream(LONG_STREAM, 15_715), 49, 715)).isFalse();
        Step.Refuse refusal = mAdmission.refusal(715);
        assertThat(refusal.code()).isEqualTo(ResultCode.SHUTTING_DOWN);
        assertThat(refusal.retryAfterMillis()).isEqualTo(1);
    }

    @Test
    void streamThatEndsInTimeAtTheSlowestPaceIsTaken() {
        onEnded(LONG_STREAM, 100, 7000, 0);
        mAdmission.onShutdown(ENDS_AT);

        assertThat(mAdmission.admits(stream(SHORT_STREAM, 12_600), 250, 2600)).isTrue();
        assertThat(mAdmission.admits(stream(SHORT_STREAM, 12_600), 250, 6000)).isFalse();
    }

    /**
     * No run has ever more tokens than it may: short runs alone don't tell how few an event has.
     */
    @Test
    void shortRunsDontMakeTokensPerEventLarge() {
        ShutdownAdmission fresh = ShutdownAdmission.create();
        fresh.onStreamEnded(stream(LONG_STREAM, 15_000), 10, 370, 0);
        fresh.onShutdown(ENDS_AT);

        assertThat(fresh.admits(stream(SHORT_STREAM, 15_000), 20, 0)).isFalse();
    }

    /** One run that was slow long ago refuses nothing any more; an idle service has no pace 0. */
    @Test
    void paceFadesTowardsTheLastOneSeen() {
        onEnded(LONG_STREAM, 100, 20_000, 0);
        onEnded(LONG_STREAM, 100, 3700, 0);
        mAdmission.onShutdown(100 + ENDS_AT);
        assertThat(mAdmission.admits(stream(SHORT_STREAM, 99_000), 0, 100)).isFalse();

        mAdmission.onShutdown(60_000 + ENDS_AT);
        assertThat(mAdmission.admits(stream(SHORT_STREAM, 99_000), 0, 60_000)).isTrue();
        assertThat(mAdmission.admits(stream(LONG_STREAM, 999_000), 800, 60_000)).isFalse();
    }

    @Test
    void requestWhoseOwnTimeEndsBeforeIsTaken() {
        mAdmission.onShutdown(ENDS_AT);

        assertThat(mAdmission.admits(stream(LONG_STREAM, ENDS_AT), 50, 2600)).isTrue();
        assertThat(mAdmission.admits(plain(3200), 5, 2600)).isTrue();
        assertThat(mAdmission.admits(plain(ENDS_AT + 1), 5, 2600)).isFalse();
    }

    /** The events before the one that a stream goes on after were made in another time. */
    @Test
    void resumedStreamTellsItsOwnPace() {
        ForwardRequest resumed = request(LONG_STREAM, 15_000, 150);
        mAdmission.onStreamEnded(resumed, 160, 700, 0);
        mAdmission.onShutdown(ENDS_AT);

        assertThat(mAdmission.admits(stream(LONG_STREAM, 15_000), 50, 100)).isFalse();
    }

    private void onEnded(int maxTokens, long events, long millis, long now) {
        mAdmission.onStreamEnded(stream(maxTokens, now + 15_000), events, millis, now);
    }

    private static ForwardRequest stream(int maxTokens, long answerBy) {
        return request(maxTokens, answerBy, -1);
    }

    private static ForwardRequest request(int maxTokens, long answerBy, long lastEvent) {
        return request(
                Optional.of(new Prompt("m", 800, maxTokens, List.of())), answerBy, lastEvent);
    }

    private static ForwardRequest plain(long answerBy) {
        return request(Optional.empty(), answerBy, -1);
    }

    private static ForwardRequest request(Optional<Prompt> prompt, long answerBy, long lastEvent) {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        RequestKind.STREAMING,
                        15_000,
                        500,
                        500,
                        1,
                        List.of(new Route.Share("s", 1)),
                        2,
                        false,
                        true,
                        true);
        return new ForwardRequest(
                "id", route, "s", Optional.empty(), "", prompt, 0, 0, answerBy, lastEvent);
    }
}
