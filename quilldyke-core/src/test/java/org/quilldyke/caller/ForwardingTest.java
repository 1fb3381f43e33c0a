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
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quilldyke.ResultCode;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.manifest.RequestKind;
import org.quilldyke.manifest.Route;
import org.quilldyke.routing.TargetSelector;

/** The caller gets the actual outcome, and a request runs no more often than allowed. */
class ForwardingTest {
    private static final AnswerHead OK = new AnswerHead(200, false, false, true, false);
    private static final AnswerHead STREAM = new AnswerHead(200, false, false, true, true);
    private static final AnswerHead REFUSED = new AnswerHead(503, true, false, false, false);
    private static final AnswerHead MISDIRECTED = new AnswerHead(421, false, true, false, false);
    private static final AnswerHead FAILED = new AnswerHead(500, false, false, true, false);
    private static final AnswerHead UNSIGNED = new AnswerHead(200, false, false, false, false);

    private final TargetSelector mTargets =
            TargetSelector.create("z", 7500, new SplittableRandom(1));
    private final ShutdownAdmission mShutdown = ShutdownAdmission.create();
    private final SuspectRequests mSuspects = SuspectRequests.create();
    private ServiceRetryBudget mRetryBudget = ServiceRetryBudget.create(0.2, 100, 10_000, 1);

    @BeforeEach
    void addTargets() {
        for (String id : List.of("a", "b", "c")) {
            mTargets.onReport(
                    new TargetReport(
                            id, "s", id + ":1", "z", "v1", 4, false, 0, Map.of("m", 1L), 1));
        }
    }

    @Test
    void nonIdempotentRequestIsNotRetriedOnceItMayHaveRun() {
        Forwarding forwarding = forwarding(RequestKind.NON_IDEMPOTENT, 3);
        send(forwarding.start(0), forwarding);

        assertThat(forwarding.onAnswerFailed(ResultCode.TARGET_LOST, 10))
                .isEqualTo(new Step.Fail(ResultCode.TARGET_LOST));
    }

    @Test
    void nonIdempotentRequestIsRetriedAfterRefusal() {
        Forwarding forwarding = forwarding(RequestKind.NON_IDEMPOTENT, 1);
        String first = send(forwarding.start(0), forwarding);

        String second = send(forwarding.onAnswerHead(REFUSED, 5), forwarding);
        String third = send(forwarding.onAnswerHead(MISDIRECTED, 8), forwarding);

        assertThat(List.of(first, second, third)).containsNoDuplicates();
        assertThat(forwarding.onAnswerHead(OK, 20)).isEqualTo(new Step.Relay());
    }

    @Test
    void refusalIsReportedOnlyIfNothingRan() {
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 3);
        send(forwarding.start(0), forwarding);
        send(forwarding.onAnswerFailed(ResultCode.TARGET_LOST, 5), forwarding);
        send(forwarding.onAnswerHead(REFUSED, 10), forwarding);

        assertThat(forwarding.onAnswerHead(REFUSED, 15))
                .isEqualTo(new Step.Fail(ResultCode.TARGET_LOST));
    }

    @Test
    void refusalByAllTargetsIsReportedAsNotRun() {
        Forwarding forwarding = forwarding(RequestKind.NON_IDEMPOTENT, 1);
        send(forwarding.start(0), forwarding);
        send(forwarding.onAnswerHead(REFUSED, 5), forwarding);
        send(forwarding.onAnswerHead(REFUSED, 10), forwarding);

        Step end = forwarding.onAnswerHead(REFUSED, 15);

        assertThat(end).isInstanceOf(Step.Refuse.class);
        assertThat(((Step.Refuse) end).retryAfterMillis()).isGreaterThan(0L);
    }

    @Test
    void poisonRequestIsRefusedWithoutRunning() {
        refuseUntil(700);

        Step.Refuse refusal = (Step.Refuse) forwarding(RequestKind.IDEMPOTENT, 2).start(0);

        assertThat(refusal.code()).isEqualTo(ResultCode.CRASHES_TARGETS);
        assertThat(refusal.retryAfterMillis()).isEqualTo(700);
    }

    @Test
    void requestFoundToBePoisonIsNotRetried() {
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 2);
        send(forwarding.start(0), forwarding);
        refuseUntil(700);

        assertThat(forwarding.onAnswerFailed(ResultCode.TARGET_LOST, 5))
                .isEqualTo(new Step.Fail(ResultCode.TARGET_LOST));
    }

    @Test
    void requestIsSentToOneTargetOnceItsRefusalExpires() {
        refuseUntil(10);
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 2);
        send(forwarding.start(20), forwarding);

        assertThat(forwarding.onAnswerFailed(ResultCode.TARGET_LOST, 25))
                .isEqualTo(new Step.Fail(ResultCode.TARGET_LOST));
    }

    @Test
    void attemptsAreBoundedByTheRoute() {
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 2);
        send(forwarding.start(0), forwarding);
        send(forwarding.onAnswerFailed(ResultCode.TARGET_LOST, 5), forwarding);

        assertThat(forwarding.onAnswerFailed(ResultCode.TARGET_LOST, 10))
                .isEqualTo(new Step.Fail(ResultCode.TARGET_LOST));
    }

    @Test
    void nothingIsRetriedWithoutRetryBudget() {
        mRetryBudget = ServiceRetryBudget.create(0, 0, 10_000, 1);
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 3);
        send(forwarding.start(0), forwarding);

        assertThat(forwarding.onAnswerFailed(ResultCode.TARGET_LOST, 5))
                .isEqualTo(new Step.Fail(ResultCode.TARGET_LOST));
    }

    @Test
    void unreachableTargetUsesNoAttempt() {
        mRetryBudget = ServiceRetryBudget.create(0, 0, 10_000, 1);
        Forwarding forwarding = forwarding(RequestKind.NON_IDEMPOTENT, 1);
        forwarding.start(0);
        Step next = forwarding.onUnreachable(3);

        assertThat(next).isInstanceOf(Step.Send.class);
    }

    @Test
    void unsignedAnswerIsNotRelayed() {
        Forwarding nonIdempotent = forwarding(RequestKind.NON_IDEMPOTENT, 1);
        send(nonIdempotent.start(0), nonIdempotent);
        assertThat(nonIdempotent.onAnswerHead(UNSIGNED, 5))
                .isEqualTo(new Step.Fail(ResultCode.ANSWER_SPOILED));

        Forwarding idempotent = forwarding(RequestKind.IDEMPOTENT, 2);
        send(idempotent.start(0), idempotent);
        send(idempotent.onAnswerHead(UNSIGNED, 5), idempotent);
    }

    @Test
    void targetErrorIsRelayedWhenNoAttemptIsLeft() {
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 2);
        send(forwarding.start(0), forwarding);
        send(forwarding.onAnswerHead(FAILED, 5), forwarding);

        assertThat(forwarding.onAnswerHead(FAILED, 10)).isEqualTo(new Step.Relay());
    }

    @Test
    void resumableStreamResumesAfterTheLastRelayedEvent() {
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 2);
        send(forwarding.start(0), forwarding);
        assertThat(forwarding.onAnswerHead(STREAM, 5)).isEqualTo(new Step.Relay());
        forwarding.onEventRelayed(7);

        Step next = forwarding.onAnswerFailed(ResultCode.TARGET_LOST, 50);

        assertThat(((Step.Send) next).resumeAfterEvent()).isEqualTo(7);
    }

    @Test
    void brokenStreamThatCannotResumeIsAborted() {
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 1);
        send(forwarding.start(0), forwarding);
        forwarding.onAnswerHead(STREAM, 5);
        forwarding.onEventRelayed(7);

        assertThat(forwarding.onAnswerFailed(ResultCode.TARGET_LOST, 50))
                .isEqualTo(new Step.Abort(ResultCode.TARGET_LOST, CutCause.TARGET));
    }

    /** Such an answer was relayed into the open stream, which then was neither ended nor closed. */
    @Test
    void resumedStreamIsAbortedIfTheNewAnswerIsNoStream() {
        AnswerHead badRequest = new AnswerHead(400, false, false, false, false);
        for (AnswerHead head : List.of(FAILED, badRequest, OK)) {
            Forwarding forwarding = forwarding(RequestKind.STREAMING, 2);
            send(forwarding.start(0), forwarding);
            forwarding.onAnswerHead(STREAM, 5);
            forwarding.onEventRelayed(7);
            send(forwarding.onAnswerFailed(ResultCode.TARGET_LOST, 50), forwarding);

            assertThat(forwarding.onAnswerHead(head, 60))
                    .isEqualTo(new Step.Abort(ResultCode.STREAM_BROKEN, CutCause.TARGET));
        }
    }

    /** The failure was to be reported by a plain answer, which cannot follow an open stream. */
    @Test
    void resumedStreamIsAbortedIfTheNewAnswerIsUnsigned() {
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 2);
        send(forwarding.start(0), forwarding);
        forwarding.onAnswerHead(STREAM, 5);
        forwarding.onEventRelayed(7);
        send(forwarding.onAnswerFailed(ResultCode.TARGET_LOST, 50), forwarding);

        assertThat(forwarding.onAnswerHead(UNSIGNED, 60))
                .isEqualTo(new Step.Abort(ResultCode.ANSWER_SPOILED, CutCause.TARGET));
    }

    @Test
    void streamResumesAtAThirdTargetIfTheSecondFails() {
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 3);
        String first = send(forwarding.start(0), forwarding);
        forwarding.onAnswerHead(STREAM, 5);
        forwarding.onEventRelayed(7);
        String second = send(forwarding.onAnswerFailed(ResultCode.TARGET_LOST, 50), forwarding);

        Step next = forwarding.onAnswerHead(FAILED, 60);

        assertThat(List.of(first, second, send(next, forwarding))).containsNoDuplicates();
        assertThat(((Step.Send) next).resumeAfterEvent()).isEqualTo(7);
    }

    @Test
    void deadlineIsARefusalOnlyIfNothingWasSent() {
        Forwarding sent = forwarding(RequestKind.NON_IDEMPOTENT, 1);
        send(sent.start(0), sent);
        assertThat(sent.onDeadline(1000)).isEqualTo(new Step.Fail(ResultCode.ROUTE_TIMEOUT));

        Forwarding unsent = forwarding(RequestKind.NON_IDEMPOTENT, 1);
        unsent.start(0);
        assertThat(unsent.onDeadline(1000)).isInstanceOf(Step.Refuse.class);
    }

    @Test
    void requestWithoutTargetWaitsBrieflyAndIsRefused() {
        List.of("a", "b", "c").forEach(mTargets::onRemoved);
        Forwarding forwarding = forwarding(RequestKind.NON_IDEMPOTENT, 1);

        assertThat(forwarding.start(0)).isInstanceOf(Step.Wait.class);
        assertThat(forwarding.onWaitElapsed(60)).isInstanceOf(Step.Wait.class);
        assertThat(forwarding.onWaitElapsed(95)).isInstanceOf(Step.Refuse.class);
    }

    /** When busy engines were abandoned, others processed the same prompts again, repeatedly. */
    @Test
    void busyTargetIsNotTreatedAsUnresponsive() {
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 2);
        String target = send(forwarding.start(0), forwarding);
        assertThat(forwarding.mayReplaceTarget(900)).isTrue();

        mTargets.onDataReceived(target, 800);

        assertThat(forwarding.mayReplaceTarget(900)).isFalse();
    }

    /** An engine waited 3 to 5 s for its longest stream before it loaded weights for 0.8 s. */
    @Test
    void resumableStreamMovesWhenItsTargetWaitsToLoad() {
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 2);
        String first = send(forwarding.start(0), forwarding);
        forwarding.onAnswerHead(STREAM, 10);
        forwarding.onEventRelayed(4);

        Step.Send second = forwarding.onLoadPending(20).get();

        assertThat(second.choice().target()).isNotEqualTo(first);
        assertThat(second.resumeAfterEvent()).isEqualTo(4);
        assertThat(forwarding.holdsEvents()).isTrue();
        forwarding.onSuccessorSending();
        forwarding.onSuccessorStarted();
        forwarding.onAnswerHead(STREAM, 30);
        forwarding.onEventRelayed(5);
        assertThat(forwarding.onLoadPending(40)).isEqualTo(Optional.empty());
    }

    @Test
    void otherRequestsStayWhenTheirTargetWaitsToLoad() {
        Forwarding notStarted = forwarding(RequestKind.STREAMING, 2);
        send(notStarted.start(0), notStarted);
        assertThat(notStarted.onLoadPending(20)).isEqualTo(Optional.empty());

        Forwarding nonIdempotent = forwarding(RequestKind.NON_IDEMPOTENT, 2);
        send(nonIdempotent.start(0), nonIdempotent);
        nonIdempotent.onAnswerHead(OK, 10);
        nonIdempotent.onEventRelayed(1);
        assertThat(nonIdempotent.onLoadPending(20)).isEqualTo(Optional.empty());
    }

    @Test
    void streamStaysWithoutAnotherTargetOrRetryBudget() {
        mRetryBudget = ServiceRetryBudget.create(0, 0, 10_000, 1);
        Forwarding withoutBudget = forwarding(RequestKind.STREAMING, 2);
        send(withoutBudget.start(0), withoutBudget);
        withoutBudget.onAnswerHead(STREAM, 10);
        withoutBudget.onEventRelayed(4);
        assertThat(withoutBudget.onLoadPending(20)).isEqualTo(Optional.empty());

        mRetryBudget = ServiceRetryBudget.create(0.2, 100, 10_000, 1);
        Forwarding singleTarget = forwarding(RequestKind.STREAMING, 2);
        String only = send(singleTarget.start(0), singleTarget);
        singleTarget.onAnswerHead(STREAM, 10);
        singleTarget.onEventRelayed(4);
        List.of("a", "b", "c").stream().filter(id -> !id.equals(only)).forEach(mTargets::onRemoved);
        assertThat(singleTarget.onLoadPending(20)).isEqualTo(Optional.empty());
    }

    /** A stream that was moved with the last retry was aborted if its new target refused it. */
    @Test
    void streamStaysIfItsSuccessorRefuses() {
        mRetryBudget = ServiceRetryBudget.create(0, 3.75, 10_000, 1);
        Forwarding stream = startedStream();
        stream.onLoadPending(20);

        stream.onSuccessorSending();
        stream.onSuccessorRefused(REFUSED, 30);

        assertThat(stream.onLoadPending(40)).isEqualTo(Optional.empty());
        assertThat(stream.holdsEvents()).isFalse();
        stream.onEventRelayed(5);
        assertThat(stream.lastRelayedEvent()).isEqualTo(5);
    }

    /** Events would be held back for too long, and the prompt would be processed in vain. */
    @Test
    void streamStaysIfAllOthersWouldStartTooLate() {
        Forwarding stream = startedStream();
        List.of("a", "b", "c").forEach(id -> mTargets.onOtherInstancesLoad(id, 1000, 0));

        assertThat(stream.onLoadPending(20)).isEqualTo(Optional.empty());
        assertThat(stream.onTargetUnresponsive(900)).isNotEqualTo(Optional.empty());
    }

    /** Two retries remain for answers whose target fails. */
    @Test
    void streamIsMovedOnlyIfRetriesAreLeftForFailures() {
        mRetryBudget = ServiceRetryBudget.create(0, 3.75, 10_000, 1);
        assertThat(startedStream().onLoadPending(20)).isNotEqualTo(Optional.empty());

        assertThat(startedStream().onLoadPending(60)).isEqualTo(Optional.empty());
    }

    /** A move from a working target used up the attempt that protects against a failure. */
    @Test
    void movedStreamReturnsToItsOldTargetIfTheNewOneFails() {
        Forwarding moved = forwarding(RequestKind.STREAMING, 2);
        String first = startStream(moved);
        moved.onLoadPending(20);
        moved.onSuccessorSending();
        moved.onSuccessorStarted();
        moved.onAnswerHead(STREAM, 30);
        moved.onEventRelayed(5);

        Step next = moved.onAnswerFailed(ResultCode.TARGET_LOST, 40);

        assertThat(send(next, moved)).isEqualTo(first);
        assertThat(((Step.Send) next).resumeAfterEvent()).isEqualTo(5);
    }

    /** The successor was asked for the events after the last relayed one, so it becomes the run. */
    @Test
    void successorTakesOverIfTheRunFails() {
        Forwarding moved = startedStream();
        moved.onLoadPending(20);
        moved.onSuccessorSending();

        assertThat(moved.onAnswerFailed(ResultCode.TARGET_LOST, 30))
                .isEqualTo(new Step.AwaitSuccessor());
        assertThat(moved.onAnswerHead(STREAM, 40)).isEqualTo(new Step.Relay());
    }

    /** A stream was aborted for lack of a retry that was available half a second later. */
    @Test
    void brokenStreamWaitsForRetryBudget() {
        mRetryBudget = ServiceRetryBudget.create(0, 1.25, 200, 1);
        Forwarding earlier = startedStream();
        send(earlier.onAnswerFailed(ResultCode.TARGET_LOST, 20), earlier);
        Forwarding waiting = startedStream();

        Step step = waiting.onAnswerFailed(ResultCode.TARGET_LOST, 30);
        assertThat(step).isInstanceOf(Step.Wait.class);
        while (step instanceof Step.Wait wait) {
            step = waiting.onWaitElapsed(wait.until());
        }

        send(step, waiting);
    }

    /** No target is available until the caller gives up; the cause is the failure of the target. */
    @Test
    void brokenStreamIsAbortedIfNoTargetIsFoundInTime() {
        Forwarding stream = startedStream();
        List.of("a", "b", "c").forEach(mTargets::onRemoved);

        Step step = stream.onAnswerFailed(ResultCode.TARGET_LOST, 30);
        while (step instanceof Step.Wait wait) {
            step = stream.onWaitElapsed(wait.until());
        }

        assertThat(step).isEqualTo(new Step.Abort(ResultCode.TARGET_LOST, CutCause.TARGET));
    }

    /** An unresponsive run is kept as well: it may resume, and there may be no other target. */
    @Test
    void unresponsiveRunIsKeptUntilItsSuccessorStarts() {
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 2);
        send(forwarding.start(0), forwarding);
        assertThat(forwarding.onTargetUnresponsive(900)).isNotEqualTo(Optional.empty());
        forwarding.onSuccessorSending();
        forwarding.onSuccessorRefused(REFUSED, 910);

        assertThat(forwarding.onAnswerHead(OK, 920)).isEqualTo(new Step.Relay());
    }

    /** A stream on its second target was aborted after 1 s without data, with no target left. */
    @Test
    void targetIsNotReplacedWhenNoOtherCouldAnswer() {
        Forwarding lastAttempt = forwarding(RequestKind.STREAMING, 2);
        send(lastAttempt.start(0), lastAttempt);
        assertThat(lastAttempt.mayReplaceTarget(900)).isTrue();
        send(lastAttempt.onAnswerFailed(ResultCode.TARGET_LOST, 10), lastAttempt);
        assertThat(lastAttempt.mayReplaceTarget(900)).isFalse();

        Forwarding singleTarget = forwarding(RequestKind.STREAMING, 2);
        String only = send(singleTarget.start(0), singleTarget);
        List.of("a", "b", "c").stream().filter(id -> !id.equals(only)).forEach(mTargets::onRemoved);
        assertThat(singleTarget.mayReplaceTarget(900)).isFalse();
    }

    /** Otherwise an answer would be abandoned although its target still works on it. */
    @Test
    void targetIsNotReplacedWithoutRetryBudgetOrTime() {
        mRetryBudget = ServiceRetryBudget.create(0, 0, 10_000, 1);
        Forwarding withoutBudget = forwarding(RequestKind.STREAMING, 2);
        send(withoutBudget.start(0), withoutBudget);
        withoutBudget.onAnswerHead(STREAM, 10);
        withoutBudget.onEventRelayed(4);

        assertThat(withoutBudget.mayReplaceTarget(900)).isFalse();

        mRetryBudget = ServiceRetryBudget.create(0.2, 100, 10_000, 1);
        Forwarding late = forwarding(RequestKind.IDEMPOTENT, 2);
        send(late.start(0), late);
        assertThat(late.mayReplaceTarget(900)).isTrue();
        assertThat(late.mayReplaceTarget(980)).isFalse();
    }

    /** Such an answer was abandoned because its target was unresponsive. */
    @Test
    void targetIsNotReplacedIfTheRequestMayNotRunElsewhere() {
        Forwarding nonIdempotent = forwarding(RequestKind.NON_IDEMPOTENT, 2);
        send(nonIdempotent.start(0), nonIdempotent);
        assertThat(nonIdempotent.mayReplaceTarget(900)).isFalse();

        Forwarding started = forwarding(RequestKind.IDEMPOTENT, 2);
        send(started.start(0), started);
        started.onAnswerHead(STREAM, 10);
        started.onEventRelayed(1);
        assertThat(started.mayReplaceTarget(900)).isFalse();
    }

    /** The failed target counted as one that might still answer, and its answer was discarded. */
    @Test
    void errorOfTheOnlyTargetIsRelayed() {
        List.of("b", "c").forEach(mTargets::onRemoved);
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 3);
        send(forwarding.start(0), forwarding);

        assertThat(forwarding.onAnswerHead(FAILED, 10)).isEqualTo(new Step.Relay());
    }

    /** A second run of such a request need not produce the same events. */
    @Test
    void startedAnswerIsNotContinuedUnlessResumable() {
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 3);
        send(forwarding.start(0), forwarding);
        forwarding.onAnswerHead(STREAM, 10);
        forwarding.onEventRelayed(1);

        assertThat(forwarding.onLoadPending(15)).isEqualTo(Optional.empty());
        assertThat(forwarding.onAnswerFailed(ResultCode.TARGET_LOST, 20))
                .isEqualTo(new Step.Abort(ResultCode.TARGET_LOST, CutCause.TARGET));
    }

    /** An instance used to end without a response to requests that it had not answered yet. */
    @Test
    void shutdownDeadlineReportsWhetherTheRequestMayHaveRun() {
        Forwarding unsent = forwarding(RequestKind.NON_IDEMPOTENT, 1);
        unsent.start(0);
        assertThat(unsent.onShutdownDeadline()).isInstanceOf(Step.Refuse.class);

        Forwarding sent = forwarding(RequestKind.NON_IDEMPOTENT, 1);
        send(sent.start(0), sent);
        assertThat(sent.onShutdownDeadline()).isEqualTo(new Step.Fail(ResultCode.CUT_BY_SHUTDOWN));

        Forwarding started = forwarding(RequestKind.STREAMING, 2);
        send(started.start(0), started);
        started.onAnswerHead(STREAM, 10);
        started.onEventRelayed(4);
        assertThat(started.onShutdownDeadline())
                .isEqualTo(new Step.Abort(ResultCode.CUT_BY_SHUTDOWN, CutCause.SHUTDOWN));
    }

    @Test
    void shutdownRefusesOnlyRequestsThatHaveNotRun() {
        Forwarding running = forwarding(RequestKind.STREAMING, 3);
        send(running.start(0), running);
        Forwarding refused = forwarding(RequestKind.STREAMING, 3);
        send(refused.start(0), refused);

        mShutdown.onShutdown(500);

        assertThat(forwarding(RequestKind.STREAMING, 3).start(10)).isEqualTo(mShutdown.refusal(10));
        assertThat(refused.onAnswerHead(REFUSED, 10)).isEqualTo(mShutdown.refusal(10));
        send(running.onAnswerFailed(ResultCode.TARGET_LOST, 10), running);
    }

    private Forwarding startedStream() {
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 2);
        startStream(forwarding);
        return forwarding;
    }

    private static String startStream(Forwarding forwarding) {
        String target = send(forwarding.start(0), forwarding);
        forwarding.onAnswerHead(STREAM, 10);
        forwarding.onEventRelayed(4);
        return target;
    }

    private static String send(Step step, Forwarding forwarding) {
        assertThat(step).isInstanceOf(Step.Send.class);
        forwarding.onSending();
        return ((Step.Send) step).choice().target();
    }

    private void refuseUntil(long until) {
        RequestFingerprint request = new RequestFingerprint(1, 1);
        mSuspects.onSuspect(new Suspect(request, Suspect.Standing.REFUSED, Set.of("a"), until, 1));
    }

    private Forwarding forwarding(RequestKind kind, int maxAttempts) {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        kind,
                        1000,
                        500,
                        500,
                        1,
                        List.of(new Route.Share("s", 1)),
                        maxAttempts,
                        false,
                        false,
                        kind == RequestKind.STREAMING);
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
        return Forwarding.of(request, mTargets, mRetryBudget, mShutdown, mSuspects);
    }
}
