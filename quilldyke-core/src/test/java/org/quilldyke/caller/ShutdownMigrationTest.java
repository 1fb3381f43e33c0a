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
import org.quilldyke.routing.TargetSelector;

/**
 * Streams that would outlast their instance: its shutdown starts at 0 and ends at 7.8 s, and a
 * stream of 211 events has started just before.
 */
class ShutdownMigrationTest {
    private static final long SHUTDOWN_DEADLINE = 7800;
    private static final long REQUEST_DEADLINE = 15_000;
    private static final int MAX_TOKENS = 211;
    private static final AnswerHead STREAM = new AnswerHead(200, false, false, true, true);
    private static final AnswerHead REFUSED = new AnswerHead(503, true, false, false, false);

    private final TargetSelector mTargets =
            TargetSelector.create("z", 7500, new SplittableRandom(1));
    private final ShutdownAdmission mShutdown = ShutdownAdmission.create();
    private ServiceRetryBudget mRetryBudget = ServiceRetryBudget.create(0.2, 100, 10_000, 1);
    private boolean mResumable = true;
    private long mLastEvent;

    @Test
    void streamMovesToTheFastestTarget() {
        Forwarding forwarding = startSlowStream();
        addTarget("quick", 20);
        addTarget("other", 30);
        mShutdown.onShutdown(SHUTDOWN_DEADLINE);

        assertThat(askedSuccessor(forwarding, 100)).isEqualTo("");
        assertThat(askedSuccessor(forwarding, 4000)).isEqualTo("quick");
        forwarding.onSuccessorStarted();
        assertThat(forwarding.onShutdownDeadline())
                .isEqualTo(new Step.Abort(ResultCode.CUT_BY_SHUTDOWN, CutCause.SHUTDOWN));
    }

    @Test
    void refusedStreamStaysAndAsksTheNextTarget() {
        Forwarding forwarding = startSlowStream();
        addTarget("quick", 20);
        addTarget("other", 21);
        mShutdown.onShutdown(SHUTDOWN_DEADLINE);
        assertThat(askedSuccessor(forwarding, 4000)).isEqualTo("quick");
        assertThat(askedSuccessor(forwarding, 4010)).isEqualTo("");

        forwarding.onSuccessorRefused(REFUSED, 4020);
        assertThat(askedSuccessor(forwarding, 4100)).isEqualTo("other");
        forwarding.onSuccessorUnreachable(4110);

        assertThat(askedSuccessor(forwarding, 4200)).isEqualTo("");
        forwarding.onEventRelayed(++mLastEvent);
        forwarding.onComplete();
    }

    /**
     * Two fast targets were full for a moment when a stream had to move there. They were not asked
     * again, and the stream was aborted seconds later at the shutdown deadline.
     */
    @Test
    void targetThatRefusedIsAskedAgainWithExponentialBackoff() {
        Forwarding forwarding = startSlowStream();
        addTarget("quick", 20);
        mShutdown.onShutdown(SHUTDOWN_DEADLINE);
        List<Long> asked = new ArrayList<>();

        for (long now = 4000; now < SHUTDOWN_DEADLINE; now += 100) {
            if (!askedSuccessor(forwarding, now).isEmpty()) {
                asked.add(now);
                forwarding.onSuccessorSending();
                forwarding.onSuccessorRefused(REFUSED, now);
            }
        }

        assertThat(asked).containsExactly(4000L, 4200L, 4600L, 5400L, 7000L).inOrder();
    }

    /** It has delayed the events once and would do so again at each check. */
    @Test
    void targetThatDidNotStartInTimeIsNotAskedAgain() {
        Forwarding forwarding = startSlowStream();
        addTarget("quick", 20);
        mShutdown.onShutdown(SHUTDOWN_DEADLINE);
        assertThat(askedSuccessor(forwarding, 4000)).isEqualTo("quick");
        forwarding.onSuccessorSending();

        forwarding.onSuccessorDiscarded();

        assertThat(askedSuccessor(forwarding, 5000)).isEqualTo("");
    }

    @Test
    void targetWithTooLongQueueIsNotAsked() {
        Forwarding forwarding = startSlowStream();
        addTarget("quick", 10);
        mTargets.onOtherInstancesLoad("quick", 2, 60_000);
        mShutdown.onShutdown(SHUTDOWN_DEADLINE);

        for (long now = 0; now < SHUTDOWN_DEADLINE; now += 100) {
            recordEvents("quick", 10, now);
            assertThat(askedSuccessor(forwarding, now)).isEqualTo("");
        }
    }

    @Test
    void streamStaysWithoutRetryBudget() {
        mRetryBudget = ServiceRetryBudget.create(0, 0, 10_000, 1);
        Forwarding forwarding = startSlowStream();
        addTarget("quick", 20);
        mShutdown.onShutdown(SHUTDOWN_DEADLINE);

        assertThat(askedSuccessor(forwarding, 4000)).isEqualTo("");
    }

    @Test
    void streamThatIsNotResumableStays() {
        mResumable = false;
        Forwarding forwarding = startSlowStream();
        addTarget("quick", 20);
        mShutdown.onShutdown(SHUTDOWN_DEADLINE);

        assertThat(askedSuccessor(forwarding, 4000)).isEqualTo("");
    }

    @Test
    void streamStaysWithoutShutdown() {
        Forwarding forwarding = startSlowStream();
        addTarget("quick", 20);

        assertThat(askedSuccessor(forwarding, 4000)).isEqualTo("");
    }

    /**
     * The stream ends before the instance does, complete or not, so the shutdown does not affect
     * it.
     */
    @Test
    void streamWithEarlierDeadlineStays() {
        Forwarding forwarding = startSlowStream();
        addTarget("quick", 20);
        mShutdown.onShutdown(REQUEST_DEADLINE);

        assertThat(askedSuccessor(forwarding, 10_000)).isEqualTo("");
    }

    @Test
    void streamStaysAsLongAsItsEventIntervalIsUnknown() {
        addTarget("slow", 60);
        Forwarding forwarding = startStream();
        mTargets.onRemoved("slow");
        addTarget("quick", 20);
        mShutdown.onShutdown(SHUTDOWN_DEADLINE);

        assertThat(forwarding.onShutdownCheck(4000).isPresent()).isFalse();
    }

    /** Starts a stream at a slow target, the only one. */
    private Forwarding startSlowStream() {
        addTarget("slow", 60);
        return startStream();
    }

    private Forwarding startStream() {
        Forwarding forwarding =
                Forwarding.of(
                        request(), mTargets, mRetryBudget, mShutdown, SuspectRequests.create());
        assertThat(forwarding.start(0)).isInstanceOf(Step.Send.class);
        forwarding.onSending();
        forwarding.onAnswerHead(STREAM, 10);
        forwarding.onEventRelayed(++mLastEvent);
        return forwarding;
    }

    /** Returns the target that is asked to take over at the given time, empty for none. */
    private String askedSuccessor(Forwarding forwarding, long now) {
        recordEvents("slow", 60, now);
        return forwarding.onShutdownCheck(now).map(send -> send.choice().target()).orElse("");
    }

    private void addTarget(String id, long intervalMillis) {
        mTargets.onReport(
                new TargetReport(id, "s", id + ":1", "z", "v1", 4, false, 0, Map.of("m", 1L), 1));
        recordEvents(id, intervalMillis, 0);
    }

    private void recordEvents(String id, long intervalMillis, long now) {
        for (int i = 0; i < 20; i++) {
            mTargets.onEvent(id, intervalMillis, now);
        }
    }

    private ForwardRequest request() {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        RequestKind.STREAMING,
                        REQUEST_DEADLINE,
                        500,
                        500,
                        1,
                        List.of(new Route.Share("s", 1)),
                        3,
                        false,
                        true,
                        mResumable);
        Prompt prompt = new Prompt("m", 800, MAX_TOKENS, List.of(new Prompt.Part(1, 800)));
        return new ForwardRequest(
                "id",
                route,
                "s",
                Optional.empty(),
                "",
                Optional.of(prompt),
                0,
                0,
                REQUEST_DEADLINE,
                new RequestFingerprint(1, 1),
                -1,
                0);
    }
}
