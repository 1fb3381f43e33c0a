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

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.quilldyke.ResultCode;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.manifest.RequestKind;
import org.quilldyke.manifest.Route;
import org.quilldyke.routing.TargetSelector;
import org.quilldyke.routing.TargetState;

/**
 * Drives the forwarding of one request with random events, as an instance does, while targets join
 * and leave. Counts what the targets would receive and checks the guarantees against it.
 */
final class ForwardingSimulation {
    private static final AnswerHead OK = new AnswerHead(200, false, false, true, false);
    private static final AnswerHead STREAM = new AnswerHead(200, false, false, true, true);
    private static final AnswerHead REFUSED = new AnswerHead(503, true, false, false, false);
    private static final AnswerHead MISDIRECTED = new AnswerHead(421, false, true, false, false);
    private static final AnswerHead FAILED = new AnswerHead(500, false, false, true, false);
    private static final AnswerHead UNSIGNED = new AnswerHead(200, false, false, false, false);
    private static final AnswerHead CONTRADICTORY = new AnswerHead(200, true, false, true, false);
    private static final AnswerHead UNSIGNED_STREAM =
            new AnswerHead(200, false, false, false, true);

    /** Statuses by which callers learn that a request was not run. */
    private static final List<Integer> NOT_RUN_STATUSES = List.of(408, 421, 429, 503);

    private static final int MAX_STEPS = 400;

    /** More than a simulation of {@link #MAX_STEPS} steps can use. */
    private static final int UNLIMITED_RETRIES = 1000;

    private static final int MIN_RESUME_MILLIS = 700;

    private final StringBuilder mTrace = new StringBuilder();
    private final SplittableRandom mRandom;
    private final TargetSelector mTargets;
    private final ServiceRetryBudget mRetryBudget;
    private final ShutdownAdmission mShutdown = ShutdownAdmission.create();
    private final RequestKind mKind;
    private final Route mRoute;
    private final Forwarding mForwarding;
    private final double mInitialRetries;

    private final Set<String> mMayHaveRun = new HashSet<>();
    private final Set<String> mLeftRunning = new HashSet<>();
    private int mRuns;
    private int mArrivals;
    private int mRetriesOfOthers;
    private Run mRun;
    private Run mSuccessor;
    private final List<Long> mHeldEvents = new ArrayList<>();
    private long mWaitUntil;
    private boolean mWaiting;
    private long mLastRelayedEvent = -1;
    private boolean mAnswerStarted;
    private long mNow;
    private long mInterruptedAt;
    private boolean mInterrupted;
    private int mTargetCount;
    private boolean mShutdownSuccessorAsked;
    private String mOutcome = "";

    ForwardingSimulation(long seed) {
        mRandom = new SplittableRandom(seed);
        mTargets = TargetSelector.create("z", 7500, new SplittableRandom(seed));
        mRetryBudget =
                ServiceRetryBudget.create(
                        0, mRandom.nextBoolean() ? 6 : 2 * UNLIMITED_RETRIES, 1_000_000, 1);
        mInitialRetries = mRetryBudget.available("s", 0);
        int targets = 1 + mRandom.nextInt(5);
        for (int i = 0; i < targets; i++) {
            addTarget();
        }
        mKind = RequestKind.values()[mRandom.nextInt(RequestKind.values().length)];
        long millis = mRandom.nextBoolean() ? 2000 : 20_000;
        boolean resumable = mKind == RequestKind.STREAMING && mRandom.nextInt(4) > 0;
        List<Route.Share> shares = List.of(new Route.Share("s", 1));
        int attempts = 1 + mRandom.nextInt(3);
        mRoute =
                new Route(
                        "r", "h", "/", mKind, millis, 500, 500, 1, shares, attempts, false, false,
                        resumable);
        Prompt prompt = new Prompt("m", 900, 100, List.of(new Prompt.Part(7, 900)));
        ForwardRequest request =
                new ForwardRequest(
                        "id",
                        mRoute,
                        "s",
                        Optional.empty(),
                        "",
                        Optional.of(prompt),
                        0,
                        0,
                        millis,
                        new RequestFingerprint(1, 1),
                        -1,
                        0);
        mForwarding =
                Forwarding.of(request, mTargets, mRetryBudget, mShutdown, SuspectRequests.create());
    }

    /** Runs the simulation and returns the outcome of the request. */
    String run() {
        log("kind " + mKind + " attempts " + mRoute.maxRuns());
        perform(mForwarding.start(mNow));
        for (int i = 0; i < MAX_STEPS && mOutcome.isEmpty(); i++) {
            mNow += mRandom.nextInt(5) == 0 ? mRandom.nextInt(900) : mRandom.nextInt(30);
            if (mNow >= mRoute.timeoutMillis()) {
                mNow = mRoute.timeoutMillis();
                log("deadline");
                endWith(mForwarding.onDeadline(mNow), CutCause.TIME);
            } else if (mRandom.nextInt(12) == 0) {
                applyExternalEvent();
            } else {
                step();
            }
            checkInvariants();
        }
        if (mOutcome.isEmpty()) {
            log("caller disconnected");
            mForwarding.onCallerDisconnected();
            close("caller disconnected");
            checkInvariants();
        }
        return mOutcome;
    }

    /** Returns whether a successor was asked because of the shutdown. */
    boolean wasShutdownSuccessorAsked() {
        return mShutdownSuccessorAsked;
    }

    /** Returns the events so far, one per line. */
    String trace() {
        return mTrace.toString();
    }

    /** Applies an event that the request itself does not cause. */
    private void applyExternalEvent() {
        int kind = mRandom.nextInt(8);
        if (kind == 0) {
            addTarget();
        } else if (kind == 1) {
            int index = mRandom.nextInt(mTargetCount);
            log("removed t" + index);
            mTargets.onRemoved("t" + index);
        } else if (kind == 2) {
            mTargets.onLoading("t" + mRandom.nextInt(mTargetCount), mRandom.nextBoolean(), mNow);
        } else if (kind == 3) {
            mTargets.onDataReceived("t" + mRandom.nextInt(mTargetCount), mNow);
        } else if (kind == 4) {
            mRetriesOfOthers += mRetryBudget.tryAcquire("s", mNow) ? 1 : 0;
        } else if (kind == 5 && mRandom.nextInt(6) == 0) {
            log("shutdown deadline");
            endWith(mForwarding.onShutdownDeadline(), CutCause.SHUTDOWN);
        } else if (kind == 6 && mRandom.nextInt(6) == 0) {
            log("caller disconnected");
            mForwarding.onCallerDisconnected();
            close("caller disconnected");
        } else if (kind == 7 && mRandom.nextInt(6) == 0) {
            mShutdown.onShutdown(mNow + 3000);
        }
    }

    private void step() {
        if (mWaiting) {
            mNow = Math.min(Math.max(mNow, mWaitUntil), mRoute.timeoutMillis() - 1);
            mWaiting = false;
            perform(mForwarding.onWaitElapsed(mNow));
        } else if (mSuccessor != null && mRandom.nextBoolean()) {
            stepSuccessor();
        } else {
            stepRun();
        }
    }

    private void stepRun() {
        int kind = mRandom.nextInt(8);
        if (mRandom.nextInt(8) == 0) {
            mTargets.onEvent(mRun.mTarget, 1 + mRandom.nextInt(100), mNow);
            log("shutdown check");
            Optional<Step.Send> send = mForwarding.onShutdownCheck(mNow);
            mShutdownSuccessorAsked |= send.isPresent();
            askSuccessor(send);
        } else if (kind == 0) {
            log("unresponsive");
            askSuccessor(mForwarding.onTargetUnresponsive(mNow));
        } else if (kind == 1) {
            log("target waits to load weights");
            askSuccessor(mForwarding.onLoadPending(mNow));
        } else if (kind == 2 && mRandom.nextInt(3) == 0) {
            log("loss reported by control");
            if (mRun.mSent) {
                mLeftRunning.remove(mRun.mTarget);
            }
            mRun = null;
            perform(mForwarding.onTargetLost(CutCause.CONTROL, mNow));
        } else if (!mRun.mSent) {
            if (mRandom.nextInt(3) == 0) {
                log("unreachable");
                mRun = null;
                perform(mForwarding.onUnreachable(mNow));
            } else {
                log("sending");
                onArrival(mRun);
                mForwarding.onSending();
            }
        } else if (!mRun.mStreaming) {
            onHead(randomHead());
        } else if (kind < 6) {
            onEvent(++mRun.mLastEvent);
        } else if (kind == 6) {
            onStreamEnd();
        } else {
            onAnswerFailed();
        }
    }

    private void onHead(AnswerHead head) {
        log("answers " + head);
        if (head.isNotRun()) {
            onRefusal(mRun);
            mRun = null;
            perform(mForwarding.onAnswerHead(head, mNow));
            return;
        }
        if (mRandom.nextInt(5) == 0) {
            onAnswerFailed();
            return;
        }
        Step step = mForwarding.onAnswerHead(head, mNow);
        if (step instanceof Step.Relay) {
            assertWithMessage("relayed although it may have run")
                    .that(head.status())
                    .isNotIn(NOT_RUN_STATUSES);
        }
        if (!(step instanceof Step.Relay)) {
            mLeftRunning.remove(mRun.mTarget);
            mRun = null;
            perform(step);
        } else if (head.stream()) {
            mRun.mStreaming = true;
            discardSuccessor();
        } else {
            assertWithMessage("a plain answer within a stream").that(mAnswerStarted).isFalse();
            mForwarding.onComplete();
            close("whole");
        }
    }

    private void onEvent(long event) {
        if (mForwarding.holdsEvents()) {
            mHeldEvents.add(event);
        } else {
            discardSuccessor();
            relay(event);
        }
    }

    private void onStreamEnd() {
        log("stream ends");
        discardSuccessor();
        relayHeldEvents();
        mForwarding.onComplete();
        close("whole");
    }

    private void onAnswerFailed() {
        log("answer fails");
        mLeftRunning.remove(mRun.mTarget);
        mRun = null;
        perform(mForwarding.onAnswerFailed(ResultCode.TARGET_LOST, mNow));
    }

    private void stepSuccessor() {
        int kind = mRandom.nextInt(6);
        if (kind == 0) {
            log("successor discarded");
            discardSuccessor();
            relayHeldEvents();
        } else if (!mSuccessor.mSent) {
            if (kind == 1) {
                log("successor unreachable");
                mForwarding.onSuccessorUnreachable(mNow);
                keepRun();
            } else {
                log("successor sending");
                onArrival(mSuccessor);
                mForwarding.onSuccessorSending();
            }
        } else {
            onSuccessorHead(randomHead());
        }
    }

    private void onSuccessorHead(AnswerHead head) {
        log("successor answers " + head);
        if (head.isNotRun()) {
            onRefusal(mSuccessor);
            mForwarding.onSuccessorRefused(head, mNow);
            keepRun();
        } else if (mRandom.nextInt(5) == 0 || !mForwarding.maySuccessorTakeOver(head)) {
            log("successor failed");
            mLeftRunning.remove(mSuccessor.mTarget);
            mForwarding.onSuccessorFailed(mNow);
            keepRun();
        } else {
            mForwarding.onSuccessorStarted();
            mLeftRunning.add(mRun.mTarget);
            switchToSuccessor();
            onHeadAfterTakeover(head);
        }
    }

    private void onHeadAfterTakeover(AnswerHead head) {
        Step step = mForwarding.onAnswerHead(head, mNow);
        assertWithMessage("the answer that takes over is relayed")
                .that(step)
                .isEqualTo(new Step.Relay());
        assertThat(head.status()).isNotIn(NOT_RUN_STATUSES);
        if (head.stream()) {
            mRun.mStreaming = true;
        } else {
            mForwarding.onComplete();
            close("whole");
        }
    }

    private AnswerHead randomHead() {
        int kind = mRandom.nextInt(13);
        return switch (kind) {
            case 0 -> REFUSED;
            case 1 -> MISDIRECTED;
            case 2 -> FAILED;
            case 3 -> UNSIGNED;
            case 4 -> UNSIGNED_STREAM;
            case 5 -> OK;
            case 6 -> unconfirmedRefusal();
            case 7 -> CONTRADICTORY;
            default -> mKind == RequestKind.STREAMING ? STREAM : OK;
        };
    }

    /** Returns an answer with a status of a refusal, without the statement that nothing ran. */
    private AnswerHead unconfirmedRefusal() {
        int[] statuses = {408, 429, 503};
        int status = statuses[mRandom.nextInt(statuses.length)];
        return new AnswerHead(status, false, false, mRandom.nextBoolean(), mRandom.nextBoolean());
    }

    private void perform(Step step) {
        log("-> " + step);
        if (!mInterrupted && !(step instanceof Step.AwaitSuccessor)) {
            mInterrupted = true;
            mInterruptedAt = mNow;
        }
        if (step instanceof Step.Send send) {
            assertWithMessage("one run at a time").that(mRun).isNull();
            mRun = new Run(send.choice().target(), send.resumeAfterEvent());
            assertThat(send.resumeAfterEvent()).isEqualTo(mLastRelayedEvent);
        } else if (step instanceof Step.Wait wait) {
            assertThat(wait.until()).isGreaterThan(mNow);
            assertWithMessage("waits while a successor is pending").that(mSuccessor).isNull();
            mWaiting = true;
            mWaitUntil = wait.until();
        } else if (step instanceof Step.AwaitSuccessor) {
            switchToSuccessor();
        } else {
            assertWithMessage("ends while a run is open").that(mRun).isNull();
            assertWithMessage("ends while a successor is pending").that(mSuccessor).isNull();
            endWith(step, null);
        }
    }

    /**
     * Ends with a step; {@code expectedCause} is the cause of an abort, null if it must be a
     * failure of the last target.
     */
    private void endWith(Step step, CutCause expectedCause) {
        log("=> " + step);
        if (step instanceof Step.Abort abort) {
            assertThat(mAnswerStarted).isTrue();
            Set<CutCause> causes =
                    expectedCause == null
                            ? Set.of(CutCause.TARGET, CutCause.CONTROL)
                            : Set.of(expectedCause);
            assertThat(abort.cause()).isIn(causes);
            assertWithMessage("aborted although it may resume")
                    .that(expectedCause == null && mayResume())
                    .isFalse();
            close("cut");
        } else if (step instanceof Step.Fail) {
            assertThat(mAnswerStarted).isFalse();
            assertWithMessage("it was sent").that(mArrivals).isGreaterThan(0);
            close("failed");
        } else {
            assertThat(step).isInstanceOf(Step.Refuse.class);
            assertThat(mAnswerStarted).isFalse();
            assertWithMessage("refused although it may have run").that(mRuns).isEqualTo(0);
            close("refused");
        }
    }

    /**
     * Returns whether some target may continue the request and its caller still waits for events.
     */
    private boolean mayResume() {
        return mRoute.mayRunAgain()
                && mRoute.resumable()
                && (mMayHaveRun.size() < mRoute.maxRuns() || !mLeftRunning.isEmpty())
                && mNow + MIN_RESUME_MILLIS < mRoute.timeoutMillis()
                && mNow + MIN_RESUME_MILLIS < mInterruptedAt + mRoute.callerTimeoutMillis();
    }

    private void askSuccessor(Optional<Step.Send> send) {
        if (send.isPresent()) {
            log("asks " + send.get());
            assertWithMessage("one successor at a time").that(mSuccessor).isNull();
            assertThat(send.get().choice().target()).isNotEqualTo(mRun.mTarget);
            assertThat(send.get().resumeAfterEvent()).isEqualTo(mLastRelayedEvent);
            mSuccessor = new Run(send.get().choice().target(), send.get().resumeAfterEvent());
        }
    }

    private void switchToSuccessor() {
        mRun = mSuccessor;
        mSuccessor = null;
        mHeldEvents.clear();
    }

    private void keepRun() {
        mSuccessor = null;
        relayHeldEvents();
    }

    private void discardSuccessor() {
        if (mSuccessor != null) {
            mForwarding.onSuccessorDiscarded();
            if (mSuccessor.mSent) {
                mLeftRunning.add(mSuccessor.mTarget);
            }
            mSuccessor = null;
        }
    }

    private void relayHeldEvents() {
        mHeldEvents.forEach(this::relay);
        mHeldEvents.clear();
    }

    private void relay(long event) {
        assertWithMessage("the next event").that(event).isEqualTo(mLastRelayedEvent + 1);
        mLastRelayedEvent = event;
        mInterrupted = false;
        mAnswerStarted = true;
        mForwarding.onEventRelayed(event);
        assertThat(mForwarding.lastRelayedEvent()).isEqualTo(event);
    }

    private void onArrival(Run run) {
        run.mSent = true;
        run.mRanBefore = !mMayHaveRun.add(run.mTarget);
        mRuns++;
        mArrivals++;
    }

    private void onRefusal(Run run) {
        if (!run.mRanBefore) {
            mMayHaveRun.remove(run.mTarget);
        }
        mRuns--;
    }

    private void close(String outcome) {
        mOutcome = outcome;
        mRun = null;
        mSuccessor = null;
    }

    private void checkInvariants() {
        assertWithMessage("targets that run the request")
                .that(mMayHaveRun.size())
                .isAtMost(mRoute.maxRuns());
        if (!mRoute.mayRunAgain()) {
            assertWithMessage("runs").that(mRuns).isAtMost(1);
        }
        double usedRetries = mInitialRetries - mRetryBudget.available("s", mNow) - mRetriesOfOthers;
        assertWithMessage("retries received by targets")
                .that(mArrivals - 1.0)
                .isAtMost(usedRetries + 0.001);
        for (TargetState state : mTargets.targets()) {
            Predicate<Run> isAtTarget = run -> run != null && run.mTarget.equals(state.id());
            int open = (isAtTarget.test(mRun) ? 1 : 0) + (isAtTarget.test(mSuccessor) ? 1 : 0);
            assertWithMessage("open at " + state.id()).that(state.ownRequests()).isEqualTo(open);
            if (open == 0) {
                assertThat(state.ownTokens()).isEqualTo(0);
            }
        }
    }

    private void addTarget() {
        String id = "t" + mTargetCount++;
        mTargets.onReport(
                new TargetReport(id, "s", id + ":1", "z", "v1", 4, false, 0, Map.of("m", 1L), 1));
    }

    private void log(String event) {
        mTrace.append(mNow).append(' ').append(event).append('\n');
    }

    /** One attempt, as its target sees it. */
    private static final class Run {
        final String mTarget;
        long mLastEvent;
        boolean mSent;
        boolean mStreaming;
        boolean mRanBefore;

        Run(String target, long lastEvent) {
            mTarget = target;
            mLastEvent = lastEvent;
        }
    }
}
