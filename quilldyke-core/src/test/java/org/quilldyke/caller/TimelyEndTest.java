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

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.quilldyke.ResultCode;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.manifest.RequestKind;
import org.quilldyke.manifest.Route;
import org.quilldyke.routing.TargetBook;

/**
 * Where streams go on that would outlast their instance: it is told to end at 0 and ends at 7.8 s,
 * a stream of 211 events began just before.
 */
class TimelyEndTest {
    private static final long ENDS_AT = 7800;
    private static final long OWN_MILLIS = 15_000;
    private static final int TOKENS = 211;
    private static final AnswerHead STREAM = new AnswerHead(200, false, false, true, true);
    private static final AnswerHead SHED = new AnswerHead(503, true, false, false, false);

    private final TargetBook mBook = TargetBook.create("z", 7500, new SplittableRandom(1));
    private final ShutdownAdmission mShutdown = ShutdownAdmission.create();
    private RetryAllowance mRetries = RetryAllowance.create(0.2, 100, 10_000, 1);
    private boolean mResumable = true;
    private long mEvent;

    @Test
    void streamGoesOnWhereItIsQuickest() {
        Forwarding forwarding = underWay();
        addTarget("quick", 20);
        addTarget("other", 30);
        mShutdown.onShutdown(ENDS_AT);

        assertThat(ask(forwarding, 100)).isEqualTo("");
        assertThat(ask(forwarding, 4000)).isEqualTo("quick");
        forwarding.onSuccessorBegun();
        assertThat(forwarding.onInstanceEnds())
                .isEqualTo(new Step.Break(ResultCode.CUT_BY_SHUTDOWN, CutCause.SHUTDOWN));
    }

    @Test
    void refusedStreamStaysAndAsksTheNextOne() {
        Forwarding forwarding = underWay();
        addTarget("quick", 20);
        addTarget("other", 21);
        mShutdown.onShutdown(ENDS_AT);
        assertThat(ask(forwarding, 4000)).isEqualTo("quick");
        assertThat(ask(forwarding, 4010)).isEqualTo("");

        forwarding.onSuccessorRefused(SHED, 4020);
        assertThat(ask(forwarding, 4100)).isEqualTo("other");
        forwarding.onSuccessorUnsent(4110);

        assertThat(ask(forwarding, 4200)).isEqualTo("");
        forwarding.onEventPassed(++mEvent);
        forwarding.onComplete();
    }

    /**
     * Two quick targets were full for a moment as a stream had to go on there: nobody was asked
     * again, and the stream was cut at the instance's limit, seconds later.
     */
    @Test
    void targetThatRefusedUnrunIsAskedAgainAtGrowingDistances() {
        Forwarding forwarding = underWay();
        addTarget("quick", 20);
        mShutdown.onShutdown(ENDS_AT);
        List<Long> asked = new ArrayList<>();

        for (long now = 4000; now < ENDS_AT; now += 100) {
            if (!ask(forwarding, now).isEmpty()) {
                asked.add(now);
                forwarding.onSuccessorSending();
                forwarding.onSuccessorRefused(SHED, now);
            }
        }

        assertThat(asked).containsExactly(4000L, 4200L, 4600L, 5400L, 7000L).inOrder();
    }

    /** It held the events up once, and would do it again at each look. */
    @Test
    void targetThatDidNotBeginInTimeIsNotAskedAgain() {
        Forwarding forwarding = underWay();
        addTarget("quick", 20);
        mShutdown.onShutdown(ENDS_AT);
        assertThat(ask(forwarding, 4000)).isEqualTo("quick");
        forwarding.onSuccessorSending();

        forwarding.onSuccessorDropped();

        assertThat(ask(forwarding, 5000)).isEqualTo("");
    }

    @Test
    void targetWhoseLineHoldsEventsUpTooLongIsNotAsked() {
        Forwarding forwarding = underWay();
        addTarget("quick", 10);
        mBook.onOthersLoad("quick", 2, 60_000);
        mShutdown.onShutdown(ENDS_AT);

        for (long now = 0; now < ENDS_AT; now += 100) {
            see("quick", 10, now);
            assertThat(ask(forwarding, now)).isEqualTo("");
        }
    }

    @Test
    void withoutASecondAttemptItStays() {
        mRetries = RetryAllowance.create(0, 0, 10_000, 1);
        Forwarding forwarding = underWay();
        addTarget("quick", 20);
        mShutdown.onShutdown(ENDS_AT);

        assertThat(ask(forwarding, 4000)).isEqualTo("");
    }

    @Test
    void streamThatMayNotBeResumedStays() {
        mResumable = false;
        Forwarding forwarding = underWay();
        addTarget("quick", 20);
        mShutdown.onShutdown(ENDS_AT);

        assertThat(ask(forwarding, 4000)).isEqualTo("");
    }

    @Test
    void nothingGoesOnElsewhereWithoutAShutdown() {
        Forwarding forwarding = underWay();
        addTarget("quick", 20);

        assertThat(ask(forwarding, 4000)).isEqualTo("");
    }

    /** It ends before the instance does, whole or not, and not by the instance. */
    @Test
    void streamWhoseOwnTimeEndsBeforeStays() {
        Forwarding forwarding = underWay();
        addTarget("quick", 20);
        mShutdown.onShutdown(OWN_MILLIS);

        assertThat(ask(forwarding, 10_000)).isEqualTo("");
    }

    @Test
    void nothingIsDecidedAsLongAsThePaceIsUnknown() {
        addTarget("slow", 60);
        Forwarding forwarding = begin();
        mBook.onGone("slow");
        addTarget("quick", 20);
        mShutdown.onShutdown(ENDS_AT);

        assertThat(forwarding.onInstanceEnding(4000).isPresent()).isFalse();
    }

    /** Returns a stream that has begun at a slow target, the only one. */
    private Forwarding underWay() {
        addTarget("slow", 60);
        return begin();
    }

    private Forwarding begin() {
        Forwarding forwarding =
                Forwarding.of(request(), mBook, mRetries, mShutdown, SuspectRequests.create());
        assertThat(forwarding.start(0)).isInstanceOf(Step.Send.class);
        forwarding.onSending();
        forwarding.onAnswer(STREAM, 10);
        forwarding.onEventPassed(++mEvent);
        return forwarding;
    }

    /** Returns who is asked to go on at a time, empty for nobody. */
    private String ask(Forwarding forwarding, long now) {
        see("slow", 60, now);
        return forwarding.onInstanceEnding(now).map(send -> send.choice().target()).orElse("");
    }

    private void addTarget(String id, long paceMillis) {
        mBook.onReport(
                new TargetReport(id, "s", id + ":1", "z", "v1", 4, false, 0, Map.of("m", 1L), 1));
        see(id, paceMillis, 0);
    }

    private void see(String id, long paceMillis, long now) {
        for (int i = 0; i < 20; i++) {
            mBook.onEvent(id, paceMillis, now);
        }
    }

    private ForwardRequest request() {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        RequestKind.STREAMING,
                        OWN_MILLIS,
                        500,
                        500,
                        1,
                        List.of(new Route.Share("s", 1)),
                        3,
                        false,
                        true,
                        mResumable);
        Prompt prompt = new Prompt("m", 800, TOKENS, List.of(new Prompt.Part(1, 800)));
        return new ForwardRequest(
                "id",
                route,
                "s",
                Optional.empty(),
                "",
                Optional.of(prompt),
                0,
                0,
                OWN_MILLIS,
                new RequestFingerprint(1, 1),
                -1);
    }
}
