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
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quilldyke.ResultCode;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.manifest.RequestKind;
import org.quilldyke.manifest.Route;
import org.quilldyke.routing.TargetSelector;

/** Which answers of targets are relayed with a status that promises that nothing ran. */
class StatusPromiseTest {
    private static final AnswerHead REFUSED = new AnswerHead(503, true, false, false, false);
    private static final AnswerHead MISDIRECTED = new AnswerHead(421, false, true, false, false);

    private final TargetSelector mTargets =
            TargetSelector.create("z", 7500, new SplittableRandom(1));

    @BeforeEach
    void addTargets() {
        for (String id : List.of("a", "b", "c")) {
            mTargets.onReport(
                    new TargetReport(
                            id, "s", id + ":1", "z", "v1", 4, false, 0, Map.of("m", 1L), 1));
        }
    }

    /** Guards against callers that take the failure of a run for a promise that nothing ran. */
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void statusThatPromisesNoRunIsNotRelayedAfterARun(int status) {
        for (boolean signed : new boolean[] {false, true}) {
            AnswerHead head = new AnswerHead(status, false, false, signed, false);
            Forwarding forwarding = forwarding(RequestKind.NON_IDEMPOTENT);
            send(forwarding.start(0), forwarding);

            assertThat(forwarding.onAnswerHead(head, 5))
                    .isEqualTo(new Step.Fail(ResultCode.REFUSAL_UNCONFIRMED));
        }
    }

    /** Guards against the same for repeatable requests, which are sent to another target first. */
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void repeatableRequestIsSentToAnotherTarget(int status) {
        AnswerHead head = new AnswerHead(status, false, false, true, false);
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT);
        send(forwarding.start(0), forwarding);
        send(forwarding.onAnswerHead(head, 5), forwarding);

        assertThat(forwarding.onAnswerHead(head, 10))
                .isEqualTo(new Step.Fail(ResultCode.REFUSAL_UNCONFIRMED));
    }

    /** Guards against a promise that nothing ran, after a run at another target. */
    @Test
    void refusalsAfterAFailedRunAreNotReported() {
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT);
        send(forwarding.start(0), forwarding);
        AnswerHead failed = new AnswerHead(503, false, false, false, false);
        send(forwarding.onAnswerHead(failed, 5), forwarding);
        send(forwarding.onAnswerHead(REFUSED, 10), forwarding);

        assertThat(forwarding.onAnswerHead(MISDIRECTED, 15))
                .isEqualTo(new Step.Fail(ResultCode.TARGET_LOST));
    }

    /** Guards against failures of requests that their targets state not to have run. */
    @Test
    void statedRefusalsAreReported() {
        Forwarding forwarding = forwarding(RequestKind.NON_IDEMPOTENT);
        send(forwarding.start(0), forwarding);
        send(forwarding.onAnswerHead(REFUSED, 5), forwarding);
        send(forwarding.onAnswerHead(MISDIRECTED, 10), forwarding);

        assertThat(forwarding.onAnswerHead(REFUSED, 15)).isInstanceOf(Step.Refuse.class);
    }

    /** Guards against a successor whose failure replaces the answer of a run in progress. */
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void successorMayNotTakeOver(int status) {
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT);
        send(forwarding.start(0), forwarding);

        AnswerHead head = new AnswerHead(status, false, false, true, false);
        assertThat(forwarding.maySuccessorTakeOver(head)).isFalse();
    }

    /**
     * Guards against a second run of a request whose answer says that it ran and that it didn't.
     */
    @ParameterizedTest
    @ValueSource(ints = {200, 204, 500, 504})
    void refusalWithTheStatusOfARunIsNone(int status) {
        Forwarding forwarding = forwarding(RequestKind.NON_IDEMPOTENT);
        send(forwarding.start(0), forwarding);

        AnswerHead head = new AnswerHead(status, true, false, true, false);
        assertThat(forwarding.onAnswerHead(head, 5))
                .isEqualTo(new Step.Fail(ResultCode.ANSWER_SPOILED));
    }

    private static void send(Step step, Forwarding forwarding) {
        assertThat(step).isInstanceOf(Step.Send.class);
        forwarding.onSending();
    }

    private Forwarding forwarding(RequestKind kind) {
        List<Route.Share> shares = List.of(new Route.Share("s", 1));
        Route route =
                new Route("r", "h", "/", kind, 1000, 500, 500, 1, shares, 2, false, false, false);
        ForwardRequest request =
                new ForwardRequest(
                        "id",
                        route,
                        "s",
                        Optional.empty(),
                        "",
                        Optional.empty(),
                        0,
                        0,
                        1000,
                        new RequestFingerprint(1, 1),
                        -1,
                        0);
        return Forwarding.of(
                request,
                mTargets,
                ServiceRetryBudget.create(0.2, 100, 10_000, 1),
                ShutdownAdmission.create(),
                SuspectRequests.create());
    }
}
