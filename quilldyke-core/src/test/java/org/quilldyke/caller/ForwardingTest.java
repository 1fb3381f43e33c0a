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
import org.quilldyke.routing.TargetBook;

/** Whether the caller is told the truth, and nothing runs more often than it may. */
class ForwardingTest {
    private static final AnswerHead OK = new AnswerHead(200, false, false, true, false);
    private static final AnswerHead STREAM = new AnswerHead(200, false, false, true, true);
    private static final AnswerHead SHED = new AnswerHead(503, true, false, false, false);
    private static final AnswerHead MISDIRECTED = new AnswerHead(421, false, true, false, false);
    private static final AnswerHead FAILED = new AnswerHead(500, false, false, true, false);
    private static final AnswerHead UNSIGNED = new AnswerHead(200, false, false, false, false);

    private final TargetBook mBook = TargetBook.create("z", 7500, new SplittableRandom(1));
    private final ShutdownAdmission mShutdown = ShutdownAdmission.create();
    private final SuspectRequests mSuspects = SuspectRequests.create();
    private RetryAllowance mRetries = RetryAllowance.create(0.2, 100, 10_000, 1);

    @BeforeEach
    void addTargets() {
        for (String id : List.of("a", "b", "c")) {
            mBook.onReport(
                    new TargetReport(
                            id, "s", id + ":1", "z", "v1", 4, false, 0, Map.of("m", 1L), 1));
        }
    }

    @Test
    void unsafeRequestIsNeverSentAgainOnceItMayHaveRun() {
        Forwarding forwarding = forwarding(RequestKind.NON_IDEMPOTENT, 3);
        sent(forwarding.start(0), forwarding);

        assertThat(forwarding.onBroken(ResultCode.TARGET_LOST, 10))
                .isEqualTo(new Step.Fail(ResultCode.TARGET_LOST));
    }

    @Test
    void unsafeRequestGoesOnAfterAProvenRefusal() {
        Forwarding forwarding = forwarding(RequestKind.NON_IDEMPOTENT, 1);
        String first = sent(forwarding.start(0), forwarding);

        String second = sent(forwarding.onAnswer(SHED, 5), forwarding);
        String third = sent(forwarding.onAnswer(MISDIRECTED, 8), forwarding);

        assertThat(List.of(first, second, third)).containsNoDuplicates();
        assertThat(forwarding.onAnswer(OK, 20)).isEqualTo(new Step.PassOn());
    }

    @Test
    void refusalIsToldOnlyIfNothingRan() {
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 3);
        sent(forwarding.start(0), forwarding);
        sent(forwarding.onBroken(ResultCode.TARGET_LOST, 5), forwarding);
        sent(forwarding.onAnswer(SHED, 10), forwarding);

        assertThat(forwarding.onAnswer(SHED, 15)).isEqualTo(new Step.Fail(ResultCode.TARGET_LOST));
    }

    @Test
    void allTargetsRefuseAndTheCallerHearsThatNothingRan() {
        Forwarding forwarding = forwarding(RequestKind.NON_IDEMPOTENT, 1);
        sent(forwarding.start(0), forwarding);
        sent(forwarding.onAnswer(SHED, 5), forwarding);
        sent(forwarding.onAnswer(SHED, 10), forwarding);

        Step end = forwarding.onAnswer(SHED, 15);

        assertThat(end).isInstanceOf(Step.Refuse.class);
        assertThat(((Step.Refuse) end).retryAfterMillis()).isGreaterThan(0L);
    }

    @Test
    void requestThatCrashesTargetsIsRefusedUnrun() {
        refuseUntil(700);

        Step.Refuse refusal = (Step.Refuse) forwarding(RequestKind.IDEMPOTENT, 2).start(0);

        assertThat(refusal.code()).isEqualTo(ResultCode.CRASHES_TARGETS);
        assertThat(refusal.retryAfterMillis()).isEqualTo(700);
    }

    @Test
    void requestThatIsFoundToCrashTargetsIsNotSentAgain() {
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 2);
        sent(forwarding.start(0), forwarding);
        refuseUntil(700);

        assertThat(forwarding.onBroken(ResultCode.TARGET_LOST, 5))
                .isEqualTo(new Step.Fail(ResultCode.TARGET_LOST));
    }

    @Test
    void requestThatComesBackAfterItsRefusalIsSentToOneTarget() {
        refuseUntil(10);
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 2);
        sent(forwarding.start(20), forwarding);

        assertThat(forwarding.onBroken(ResultCode.TARGET_LOST, 25))
                .isEqualTo(new Step.Fail(ResultCode.TARGET_LOST));
    }

    @Test
    void attemptsAreBoundedByTheRoute() {
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 2);
        sent(forwarding.start(0), forwarding);
        sent(forwarding.onBroken(ResultCode.TARGET_LOST, 5), forwarding);

        assertThat(forwarding.onBroken(ResultCode.TARGET_LOST, 10))
                .isEqualTo(new Step.Fail(ResultCode.TARGET_LOST));
    }

    @Test
    void withoutAllowanceNothingIsSentTwice() {
        mRetries = RetryAllowance.create(0, 0, 10_000, 1);
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 3);
        sent(forwarding.start(0), forwarding);

        assertThat(forwarding.onBroken(ResultCode.TARGET_LOST, 5))
                .isEqualTo(new Step.Fail(ResultCode.TARGET_LOST));
    }

    @Test
    void targetOutOfReachCostsNoAttempt() {
        mRetries = RetryAllowance.create(0, 0, 10_000, 1);
        Forwarding forwarding = forwarding(RequestKind.NON_IDEMPOTENT, 1);
        forwarding.start(0);
        Step next = forwarding.onUnsent(3);

        assertThat(next).isInstanceOf(Step.Send.class);
    }

    @Test
    void answerWithoutItsMarkIsNoAnswer() {
        Forwarding once = forwarding(RequestKind.NON_IDEMPOTENT, 1);
        sent(once.start(0), once);
        assertThat(once.onAnswer(UNSIGNED, 5)).isEqualTo(new Step.Fail(ResultCode.ANSWER_SPOILED));

        Forwarding again = forwarding(RequestKind.IDEMPOTENT, 2);
        sent(again.start(0), again);
        sent(again.onAnswer(UNSIGNED, 5), again);
    }

    @Test
    void genuineFailureIsPassedOnWhenNoAttemptIsLeft() {
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 2);
        sent(forwarding.start(0), forwarding);
        sent(forwarding.onAnswer(FAILED, 5), forwarding);

        assertThat(forwarding.onAnswer(FAILED, 10)).isEqualTo(new Step.PassOn());
    }

    @Test
    void resumableStreamGoesOnAfterTheLastEventPassed() {
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 2);
        sent(forwarding.start(0), forwarding);
        assertThat(forwarding.onAnswer(STREAM, 5)).isEqualTo(new Step.PassOn());
        forwarding.onEventPassed(7);

        Step next = forwarding.onBroken(ResultCode.TARGET_LOST, 50);

        assertThat(((Step.Send) next).lastEvent()).isEqualTo(7);
    }

    @Test
    void brokenStreamThatCantGoOnIsCut() {
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 1);
        sent(forwarding.start(0), forwarding);
        forwarding.onAnswer(STREAM, 5);
        forwarding.onEventPassed(7);

        assertThat(forwarding.onBroken(ResultCode.TARGET_LOST, 50))
                .isEqualTo(new Step.Break(ResultCode.TARGET_LOST, CutCause.TARGET));
    }

    /**
     * A whole answer, or a failure, of the target that a stream was to go on at was passed on into
     * the open stream, where it is nothing: the caller got neither an end nor a close.
     */
    @Test
    void streamThatGoesOnElsewhereIsCutIfNoStreamComesFromThere() {
        AnswerHead unreadable = new AnswerHead(400, false, false, false, false);
        for (AnswerHead head : List.of(FAILED, unreadable, OK)) {
            Forwarding forwarding = forwarding(RequestKind.STREAMING, 2);
            sent(forwarding.start(0), forwarding);
            forwarding.onAnswer(STREAM, 5);
            forwarding.onEventPassed(7);
            sent(forwarding.onBroken(ResultCode.TARGET_LOST, 50), forwarding);

            assertThat(forwarding.onAnswer(head, 60))
                    .isEqualTo(new Step.Break(ResultCode.STREAM_BROKEN, CutCause.TARGET));
        }
    }

    /** Its caller was to be told by a whole answer, for which an open stream has no place. */
    @Test
    void streamThatGoesOnElsewhereIsCutIfTheAnswerThereBearsNoMark() {
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 2);
        sent(forwarding.start(0), forwarding);
        forwarding.onAnswer(STREAM, 5);
        forwarding.onEventPassed(7);
        sent(forwarding.onBroken(ResultCode.TARGET_LOST, 50), forwarding);

        assertThat(forwarding.onAnswer(UNSIGNED, 60))
                .isEqualTo(new Step.Break(ResultCode.ANSWER_SPOILED, CutCause.TARGET));
    }

    @Test
    void streamGoesOnAtAThirdTargetIfTheSecondFails() {
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 3);
        String first = sent(forwarding.start(0), forwarding);
        forwarding.onAnswer(STREAM, 5);
        forwarding.onEventPassed(7);
        String second = sent(forwarding.onBroken(ResultCode.TARGET_LOST, 50), forwarding);

        Step next = forwarding.onAnswer(FAILED, 60);

        assertThat(List.of(first, second, sent(next, forwarding))).containsNoDuplicates();
        assertThat(((Step.Send) next).lastEvent()).isEqualTo(7);
    }

    @Test
    void timeOverIsARefusalOnlyIfNothingWasSent() {
        Forwarding sent = forwarding(RequestKind.NON_IDEMPOTENT, 1);
        sent(sent.start(0), sent);
        assertThat(sent.onTimeOver(1000)).isEqualTo(new Step.Fail(ResultCode.ROUTE_TIMEOUT));

        Forwarding unsent = forwarding(RequestKind.NON_IDEMPOTENT, 1);
        unsent.start(0);
        assertThat(unsent.onTimeOver(1000)).isInstanceOf(Step.Refuse.class);
    }

    @Test
    void withoutATargetTheRequestWaitsABitAndIsRefused() {
        List.of("a", "b", "c").forEach(mBook::onGone);
        Forwarding forwarding = forwarding(RequestKind.NON_IDEMPOTENT, 1);

        assertThat(forwarding.start(0)).isInstanceOf(Step.Wait.class);
        assertThat(forwarding.onWaited(60)).isInstanceOf(Step.Wait.class);
        assertThat(forwarding.onWaited(95)).isInstanceOf(Step.Refuse.class);
    }

    /** Giving a busy engine up once made it read the same prompts again elsewhere, without end. */
    @Test
    void busyTargetIsNotTakenForASilentOne() {
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 2);
        String target = sent(forwarding.start(0), forwarding);
        assertThat(forwarding.isSilenceTelling(900)).isTrue();

        mBook.onHeard(target, 800);

        assertThat(forwarding.isSilenceTelling(900)).isFalse();
    }

    /** An engine waited for its longest stream for 3 to 5 s before it loaded for 0.8 s. */
    @Test
    void resumableStreamGoesOnElsewhereWhenItsTargetWaitsToLoad() {
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 2);
        String first = sent(forwarding.start(0), forwarding);
        forwarding.onAnswer(STREAM, 10);
        forwarding.onEventPassed(4);

        Step.Send second = forwarding.onTargetWaits(20).get();

        assertThat(second.choice().target()).isNotEqualTo(first);
        assertThat(second.lastEvent()).isEqualTo(4);
        assertThat(forwarding.holdsEvents()).isTrue();
        forwarding.onSuccessorSending();
        forwarding.onSuccessorBegun();
        forwarding.onAnswer(STREAM, 30);
        forwarding.onEventPassed(5);
        assertThat(forwarding.onTargetWaits(40)).isEqualTo(Optional.empty());
    }

    @Test
    void otherRequestsStayWhenTheirTargetWaitsToLoad() {
        Forwarding waiting = forwarding(RequestKind.STREAMING, 2);
        sent(waiting.start(0), waiting);
        assertThat(waiting.onTargetWaits(20)).isEqualTo(Optional.empty());

        Forwarding unsafe = forwarding(RequestKind.NON_IDEMPOTENT, 2);
        sent(unsafe.start(0), unsafe);
        unsafe.onAnswer(OK, 10);
        unsafe.onEventPassed(1);
        assertThat(unsafe.onTargetWaits(20)).isEqualTo(Optional.empty());
    }

    @Test
    void streamStaysWhenNoOtherTargetIsLeftOrTheAllowanceIsUsedUp() {
        mRetries = RetryAllowance.create(0, 0, 10_000, 1);
        Forwarding poor = forwarding(RequestKind.STREAMING, 2);
        sent(poor.start(0), poor);
        poor.onAnswer(STREAM, 10);
        poor.onEventPassed(4);
        assertThat(poor.onTargetWaits(20)).isEqualTo(Optional.empty());

        mRetries = RetryAllowance.create(0.2, 100, 10_000, 1);
        Forwarding alone = forwarding(RequestKind.STREAMING, 2);
        String only = sent(alone.start(0), alone);
        alone.onAnswer(STREAM, 10);
        alone.onEventPassed(4);
        List.of("a", "b", "c").stream().filter(id -> !id.equals(only)).forEach(mBook::onGone);
        assertThat(alone.onTargetWaits(20)).isEqualTo(Optional.empty());
    }

    /** A stream that was moved with the last second attempt was cut if its new target shed it. */
    @Test
    void streamStaysWhereItIsIfItsSuccessorRefusesIt() {
        mRetries = RetryAllowance.create(0, 3.75, 10_000, 1);
        Forwarding moved = underWay();
        moved.onTargetWaits(20);

        moved.onSuccessorSending();
        moved.onSuccessorRefused(SHED, 30);

        assertThat(moved.onTargetWaits(40)).isEqualTo(Optional.empty());
        assertThat(moved.holdsEvents()).isFalse();
        moved.onEventPassed(5);
        assertThat(moved.lastEvent()).isEqualTo(5);
    }

    /** Its events would wait longer than they may, and the prompt would be read for nothing. */
    @Test
    void streamStaysWhereAllOthersBeginTooLate() {
        Forwarding stays = underWay();
        List.of("a", "b", "c").forEach(id -> mBook.onOthersLoad(id, 1000, 0));

        assertThat(stays.onTargetWaits(20)).isEqualTo(Optional.empty());
        assertThat(stays.onSilence(900)).isNotEqualTo(Optional.empty());
    }

    /** Two second attempts stay for answers whose target fails. */
    @Test
    void streamIsMovedOnlyIfAttemptsAreLeftForFailures() {
        mRetries = RetryAllowance.create(0, 3.75, 10_000, 1);
        assertThat(underWay().onTargetWaits(20)).isNotEqualTo(Optional.empty());

        assertThat(underWay().onTargetWaits(60)).isEqualTo(Optional.empty());
    }

    /** What only was a wish once used up what protects against a failure. */
    @Test
    void movedStreamGoesOnWhereItWasLeftIfItsNewTargetFails() {
        Forwarding moved = forwarding(RequestKind.STREAMING, 2);
        String first = begin(moved);
        moved.onTargetWaits(20);
        moved.onSuccessorSending();
        moved.onSuccessorBegun();
        moved.onAnswer(STREAM, 30);
        moved.onEventPassed(5);

        Step next = moved.onBroken(ResultCode.TARGET_LOST, 40);

        assertThat(sent(next, moved)).isEqualTo(first);
        assertThat(((Step.Send) next).lastEvent()).isEqualTo(5);
    }

    /** The successor was asked for the events after the last one passed: it is the run now. */
    @Test
    void successorIsTheRunIfTheOneBeforeItFails() {
        Forwarding moved = underWay();
        moved.onTargetWaits(20);
        moved.onSuccessorSending();

        assertThat(moved.onBroken(ResultCode.TARGET_LOST, 30)).isEqualTo(new Step.Follow());
        assertThat(moved.onAnswer(STREAM, 40)).isEqualTo(new Step.PassOn());
    }

    /** A stream was cut at once for want of a second attempt that was there half a second later. */
    @Test
    void brokenStreamWaitsForASecondAttempt() {
        mRetries = RetryAllowance.create(0, 1.25, 200, 1);
        Forwarding spends = underWay();
        sent(spends.onBroken(ResultCode.TARGET_LOST, 20), spends);
        Forwarding poor = underWay();

        Step step = poor.onBroken(ResultCode.TARGET_LOST, 30);
        assertThat(step).isInstanceOf(Step.Wait.class);
        while (step instanceof Step.Wait wait) {
            step = poor.onWaited(wait.until());
        }

        sent(step, poor);
    }

    /** Nobody is there, and the caller leaves: then it is cut, by the target's failure. */
    @Test
    void brokenStreamIsCutIfNobodyTakesItInTime() {
        Forwarding alone = underWay();
        List.of("a", "b", "c").forEach(mBook::onGone);

        Step step = alone.onBroken(ResultCode.TARGET_LOST, 30);
        while (step instanceof Step.Wait wait) {
            step = alone.onWaited(wait.until());
        }

        assertThat(step).isEqualTo(new Step.Break(ResultCode.TARGET_LOST, CutCause.TARGET));
    }

    /** A silent run is kept as well: it may speak again, and nobody else need take it. */
    @Test
    void silentRunIsKeptUntilAnotherBegins() {
        Forwarding silent = forwarding(RequestKind.IDEMPOTENT, 2);
        sent(silent.start(0), silent);
        assertThat(silent.onSilence(900)).isNotEqualTo(Optional.empty());
        silent.onSuccessorSending();
        silent.onSuccessorRefused(SHED, 910);

        assertThat(silent.onAnswer(OK, 920)).isEqualTo(new Step.PassOn());
    }

    /** A stream was cut on its second target after a second of silence, with nowhere left to go. */
    @Test
    void silenceTellsNothingWhenNobodyElseCouldAnswer() {
        Forwarding last = forwarding(RequestKind.STREAMING, 2);
        sent(last.start(0), last);
        assertThat(last.isSilenceTelling(900)).isTrue();
        sent(last.onBroken(ResultCode.TARGET_LOST, 10), last);
        assertThat(last.isSilenceTelling(900)).isFalse();

        Forwarding alone = forwarding(RequestKind.STREAMING, 2);
        String only = sent(alone.start(0), alone);
        List.of("a", "b", "c").stream().filter(id -> !id.equals(only)).forEach(mBook::onGone);
        assertThat(alone.isSilenceTelling(900)).isFalse();
    }

    /**
     * What is silent is only left for another target: without a second attempt left, or any time,
     * an answer was given up whose target was still at work.
     */
    @Test
    void silenceTellsNothingWithoutASecondAttempt() {
        mRetries = RetryAllowance.create(0, 0, 10_000, 1);
        Forwarding poor = forwarding(RequestKind.STREAMING, 2);
        sent(poor.start(0), poor);
        poor.onAnswer(STREAM, 10);
        poor.onEventPassed(4);

        assertThat(poor.isSilenceTelling(900)).isFalse();

        mRetries = RetryAllowance.create(0.2, 100, 10_000, 1);
        Forwarding late = forwarding(RequestKind.IDEMPOTENT, 2);
        sent(late.start(0), late);
        assertThat(late.isSilenceTelling(900)).isTrue();
        assertThat(late.isSilenceTelling(980)).isFalse();
    }

    /** What may not go on elsewhere was given up for its target's silence all the same. */
    @Test
    void silenceTellsNothingOfWhatMayNotRunElsewhere() {
        Forwarding unsafe = forwarding(RequestKind.NON_IDEMPOTENT, 2);
        sent(unsafe.start(0), unsafe);
        assertThat(unsafe.isSilenceTelling(900)).isFalse();

        Forwarding begun = forwarding(RequestKind.IDEMPOTENT, 2);
        sent(begun.start(0), begun);
        begun.onAnswer(STREAM, 10);
        begun.onEventPassed(1);
        assertThat(begun.isSilenceTelling(900)).isFalse();
    }

    /** The target that failed was counted as one that might do better, and its answer was lost. */
    @Test
    void failureOfTheOnlyTargetIsPassedOn() {
        List.of("b", "c").forEach(mBook::onGone);
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 3);
        sent(forwarding.start(0), forwarding);

        assertThat(forwarding.onAnswer(FAILED, 10)).isEqualTo(new Step.PassOn());
    }

    /** Nothing says that a second run of such a request makes the same events. */
    @Test
    void answerUnderWayIsNotContinuedUnlessItMayBeResumed() {
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 3);
        sent(forwarding.start(0), forwarding);
        forwarding.onAnswer(STREAM, 10);
        forwarding.onEventPassed(1);

        assertThat(forwarding.onTargetWaits(15)).isEqualTo(Optional.empty());
        assertThat(forwarding.onBroken(ResultCode.TARGET_LOST, 20))
                .isEqualTo(new Step.Break(ResultCode.TARGET_LOST, CutCause.TARGET));
    }

    /** Before the repair an instance ended without a word to whom it hadn't answered yet. */
    @Test
    void endOfTheInstanceTellsWhatIsTrue() {
        Forwarding unsent = forwarding(RequestKind.NON_IDEMPOTENT, 1);
        unsent.start(0);
        assertThat(unsent.onInstanceEnds()).isInstanceOf(Step.Refuse.class);

        Forwarding sent = forwarding(RequestKind.NON_IDEMPOTENT, 1);
        sent(sent.start(0), sent);
        assertThat(sent.onInstanceEnds()).isEqualTo(new Step.Fail(ResultCode.CUT_BY_SHUTDOWN));

        Forwarding begun = forwarding(RequestKind.STREAMING, 2);
        sent(begun.start(0), begun);
        begun.onAnswer(STREAM, 10);
        begun.onEventPassed(4);
        assertThat(begun.onInstanceEnds())
                .isEqualTo(new Step.Break(ResultCode.CUT_BY_SHUTDOWN, CutCause.SHUTDOWN));
    }

    @Test
    void shutdownRefusesWhatHasNotRunAndAsksNothingOfSecondAttempts() {
        Forwarding running = forwarding(RequestKind.STREAMING, 3);
        sent(running.start(0), running);
        Forwarding refused = forwarding(RequestKind.STREAMING, 3);
        sent(refused.start(0), refused);

        mShutdown.onShutdown(500);

        assertThat(forwarding(RequestKind.STREAMING, 3).start(10)).isEqualTo(mShutdown.refusal(10));
        assertThat(refused.onAnswer(SHED, 10)).isEqualTo(mShutdown.refusal(10));
        sent(running.onBroken(ResultCode.TARGET_LOST, 10), running);
    }

    private Forwarding underWay() {
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 2);
        begin(forwarding);
        return forwarding;
    }

    private static String begin(Forwarding forwarding) {
        String target = sent(forwarding.start(0), forwarding);
        forwarding.onAnswer(STREAM, 10);
        forwarding.onEventPassed(4);
        return target;
    }

    private static String sent(Step step, Forwarding forwarding) {
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
                        -1);
        return Forwarding.of(request, mBook, mRetries, mShutdown, mSuspects);
    }
}
