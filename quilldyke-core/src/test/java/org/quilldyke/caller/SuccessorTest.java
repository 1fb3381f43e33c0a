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
import org.quilldyke.routing.TargetBook;

/** What may be asked beside a run, and what becomes of both. */
class SuccessorTest {
    private static final AnswerHead STREAM = new AnswerHead(200, false, false, true, true);
    private static final AnswerHead SHED = new AnswerHead(503, true, false, false, false);
    private static final int MILLIS = 15_000;

    private final TargetBook mBook = TargetBook.create("z", 7500, new SplittableRandom(1));
    private final RetryAllowance mRetries = RetryAllowance.create(0, 1000, 100_000, 1);

    @BeforeEach
    void addTargets() {
        List.of("a", "b").forEach(this::add);
    }

    /**
     * A target that goes dark is told silent while connections to it are still tried: the
     * connection failed, and the request with it, though its successor was at work.
     */
    @Test
    void requestThatReachedNobodyIsNotFailedBesideItsSuccessor() {
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 2);
        forwarding.start(0);

        forwarding.onSilence(10).ifPresent(asked -> forwarding.onSuccessorSending());

        assertThat(forwarding.onUnsent(300)).isInstanceOf(Step.Send.class);
    }

    /** A stream that goes on at its second target, which hasn't begun, was sent to a third. */
    @Test
    void runThatHasNotBegunCountsWhereItsTargetWaitsToLoad() {
        add("c");
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 2);
        begin(forwarding);
        sent(forwarding.onBroken(ResultCode.TARGET_LOST, 50), forwarding);

        assertThat(forwarding.onTargetWaits(60)).isEqualTo(Optional.empty());
    }

    /** The control group's word came while the connection was tried: nothing had run. */
    @Test
    void requestThatIsNotSentGoesElsewhereAtTheWordOfControl() {
        Forwarding forwarding = forwarding(RequestKind.NON_IDEMPOTENT, 1);
        String first = ((Step.Send) forwarding.start(0)).choice().target();

        Step next = forwarding.onGivenUp(CutCause.CONTROL, 10);

        assertThat(sent(next, forwarding)).isNotEqualTo(first);
    }

    /** A target spoke once more before it fell silent for good: nobody else was asked again. */
    @Test
    void successorThatWasDroppedMayBeAskedAgain() {
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 2);
        begin(forwarding);
        String second = forwarding.onSilence(2000).get().choice().target();
        forwarding.onSuccessorSending();
        forwarding.onSuccessorDropped();
        forwarding.onEventPassed(5);

        Optional<Step.Send> again = forwarding.onSilence(4000);

        assertThat(again.map(send -> send.choice().target())).isEqualTo(Optional.of(second));
    }

    /** Where a stream may go back to was out of the question for good once it was full. */
    @Test
    void streamWaitsForTheTargetThatItLeftIfThatRefusesItOnce() {
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 2);
        begin(forwarding);
        forwarding.onTargetWaits(20).get();
        forwarding.onSuccessorSending();
        forwarding.onSuccessorBegun();
        forwarding.onAnswer(STREAM, 30);
        forwarding.onEventPassed(5);
        String first = sent(forwarding.onBroken(ResultCode.TARGET_LOST, 40), forwarding);

        Step step = forwarding.onAnswer(SHED, 50);
        assertThat(step).isInstanceOf(Step.Wait.class);
        while (step instanceof Step.Wait wait) {
            step = forwarding.onWaited(wait.until());
        }

        assertThat(sent(step, forwarding)).isEqualTo(first);
    }

    /** It was sent, but is known not to have run. */
    @Test
    void refusalsOfBothAreARefusal() {
        Forwarding forwarding = forwarding(RequestKind.IDEMPOTENT, 2);
        sent(forwarding.start(0), forwarding);
        forwarding.onSilence(900).get();
        forwarding.onSuccessorSending();
        forwarding.onSuccessorRefused(SHED, 910);

        assertThat(forwarding.onAnswer(SHED, 920)).isInstanceOf(Step.Refuse.class);
    }

    /** Each refusal was followed by the next second attempt 20 ms later. */
    @Test
    void brokenStreamThatIsRefusedDoesNotUseUpTheSecondAttemptsOfOthers() {
        Forwarding forwarding = forwarding(RequestKind.STREAMING, 2);
        begin(forwarding);
        Step step = forwarding.onBroken(ResultCode.TARGET_LOST, 30);

        int attempts = 0;
        long now = 30;
        while (!(step instanceof Step.Break)) {
            if (step instanceof Step.Wait wait) {
                now = wait.until();
                step = forwarding.onWaited(now);
            } else {
                attempts++;
                sent(step, forwarding);
                now += 2;
                step = forwarding.onAnswer(SHED, now);
            }
        }

        assertWithMessage("attempts").that(attempts).isAtMost(12);
        assertThat(now).isAtLeast(3500);
    }

    private void add(String id) {
        mBook.onReport(
                new TargetReport(id, "s", id + ":1", "z", "v1", 4, false, 0, Map.of("m", 1L), 1));
    }

    private static void begin(Forwarding forwarding) {
        sent(forwarding.start(0), forwarding);
        forwarding.onAnswer(STREAM, 10);
        forwarding.onEventPassed(4);
    }

    private static String sent(Step step, Forwarding forwarding) {
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
                        MILLIS,
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
                        MILLIS,
                        new RequestFingerprint(1, 1),
                        -1);
        return Forwarding.of(
                request, mBook, mRetries, ShutdownAdmission.create(), SuspectRequests.create());
    }
}
