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
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quilldyke.ResultCode;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.manifest.RequestKind;
import org.quilldyke.manifest.Route;
import org.quilldyke.routing.TargetSelector;

/** Successors: when one may be asked while a run is kept, and the outcome of both. */
class SuccessorTest {
    private static final AnswerHead STREAM = new AnswerHead(200, false, false, true, true);
    private static final AnswerHead REFUSED = new AnswerHead(503, true, false, false, false);
    private static final int TIMEOUT_MILLIS = 15_000;

    private final TargetSelector mTargets =
            TargetSelector.create("z", 7500, new SplittableRandom(1));
    private final ServiceRetryBudget mRetryBudget = ServiceRetryBudget.create(0, 1000, 100_000, 1);

    @BeforeEach
    void addTargets() {
        List.of("a", "b").forEach(this::add);
    }

    /**
     * A target is reported unresponsive while a connection to it is still being established. When
     * that failed, the request failed too, although its successor was working on it.
     */
    @Test
    void failedConnectionDoesNotFailRequestWithPendingSuccessor() {
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 2);
        forwarding.start(0);

        forwarding.onTargetUnresponsive(10).ifPresent(asked -> forwarding.onSuccessorSending());

        assertThat(forwarding.onUnreachable(300)).isInstanceOf(Step.Send.class);
    }

    /**
     * A stream that was to resume at its second target, which had not started, was sent to a third.
     */
    @Test
    void unstartedRunCountsAsAttemptWhenItsTargetWaitsToLoad() {
        add("c");
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 2);
        startStream(forwarding);
        send(forwarding.onAnswerFailed(ResultCode.TARGET_LOST, 50), forwarding);

        assertThat(forwarding.onLoadPending(60)).isEqualTo(Optional.empty());
    }

    /** Control reported the loss while the connection was being established: nothing had run. */
    @Test
    void unsentRequestGoesToAnotherTargetWhenControlReportsTheLoss() {
        Forwarding forwarding = forwarding(RequestKind.NON_IDEMPOTENT, 1);
        String first = ((Step.Send) forwarding.start(0)).choice().target();

        Step next = forwarding.onTargetLost(CutCause.CONTROL, 10);

        assertThat(send(next, forwarding)).isNotEqualTo(first);
    }

    /**
     * A target sent data once more and then became unresponsive permanently; the discarded
     * successor was not asked again.
     */
    @Test
    void discardedSuccessorMayBeAskedAgain() {
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 2);
        startStream(forwarding);
        String second = forwarding.onTargetUnresponsive(2000).get().choice().target();
        forwarding.onSuccessorSending();
        forwarding.onSuccessorDiscarded();
        forwarding.onEventRelayed(5);

        Optional<Step.Send> again = forwarding.onTargetUnresponsive(4000);

        assertThat(again.map(send -> send.choice().target())).isEqualTo(Optional.of(second));
    }

    /** The target to which a stream may return was excluded permanently once it had been full. */
    @Test
    void streamWaitsForItsOldTargetIfThatRefusesOnce() {
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 2);
        startStream(forwarding);
        forwarding.onLoadPending(20).get();
        forwarding.onSuccessorSending();
        forwarding.onSuccessorStarted();
        forwarding.onAnswerHead(STREAM, 30);
        forwarding.onEventRelayed(5);
        String first = send(forwarding.onAnswerFailed(ResultCode.TARGET_LOST, 40), forwarding);

        Step step = forwarding.onAnswerHead(REFUSED, 50);
        assertThat(step).isInstanceOf(Step.Wait.class);
        while (step instanceof Step.Wait wait) {
            step = forwarding.onWaitElapsed(wait.until());
        }

        assertThat(send(step, forwarding)).isEqualTo(first);
    }

    /** The request was sent, but is known not to have run. */
    @Test
    void refusalByRunAndSuccessorIsARefusal() {
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 2);
        send(forwarding.start(0), forwarding);
        forwarding.onTargetUnresponsive(900).get();
        forwarding.onSuccessorSending();
        forwarding.onSuccessorRefused(REFUSED, 910);

        assertThat(forwarding.onAnswerHead(REFUSED, 920)).isInstanceOf(Step.Refuse.class);
    }

    /** Each refusal was followed by the next retry 20 ms later. */
    @Test
    void refusedBrokenStreamDoesNotExhaustTheRetryBudget() {
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 2);
        startStream(forwarding);
        Step step = forwarding.onAnswerFailed(ResultCode.TARGET_LOST, 30);

        int attempts = 0;
        long now = 30;
        while (!(step instanceof Step.Abort)) {
            if (step instanceof Step.Wait wait) {
                now = wait.until();
                step = forwarding.onWaitElapsed(now);
            } else {
                attempts++;
                send(step, forwarding);
                now += 2;
                step = forwarding.onAnswerHead(REFUSED, now);
            }
        }

        assertWithMessage("attempts").that(attempts).isAtMost(12);
        assertThat(now).isAtLeast(3500);
    }

    private void add(String id) {
        mTargets.onReport(
                new TargetReport(id, "s", id + ":1", "z", "v1", 4, false, 0, Map.of("m", 1L), 1));
    }

    private static void startStream(Forwarding forwarding) {
        send(forwarding.start(0), forwarding);
        forwarding.onAnswerHead(STREAM, 10);
        forwarding.onEventRelayed(4);
    }

    private static String send(Step step, Forwarding forwarding) {
        assertThat(step).isInstanceOf(Step.Send.class);
        forwarding.onSending();
        return ((Step.Send) step).choice().target();
    }

    private Forwarding forwarding(RequestKind kind, int maxAttempts) {
        boolean resumable = kind == RequestKind.STREAMING;
        List<Route.Share> shares = List.of(new Route.Share("s", 1));
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        kind,
                        TIMEOUT_MILLIS,
                        500,
                        500,
                        1,
                        shares,
                        maxAttempts,
                        false,
                        false,
                        resumable);
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
                        TIMEOUT_MILLIS,
                        new RequestFingerprint(1, 1),
                        -1,
                        0);
        return Forwarding.of(
                request,
                mTargets,
                mRetryBudget,
                ShutdownAdmission.create(),
                SuspectRequests.create());
    }
}
