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

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.quilldyke.ResultCode;
import org.quilldyke.routing.Choice;
import org.quilldyke.routing.TargetSelector;

/**
 * State machine of one forwarded request: chooses targets, decides on retries and on the outcome
 * that is reported to the caller.
 *
 * <p>Only this class tracks whether the request may have run. It is reported as not run only if no
 * byte was sent or each target that received it has refused it. A request that may have run is sent
 * again only if it is repeatable, within the route's attempts and the retry budget.
 *
 * <p>A run in progress is not cancelled before another target has started to answer: a successor is
 * asked while the run is kept, so that a failure of the successor does not affect it. An answer
 * that has started is aborted only if its target failed and no other target may run the request, if
 * its deadline has passed, or if this instance has reached its shutdown deadline.
 */
public final class Forwarding {
    /** Number of failed connections after which a request is refused or its stream backs off. */
    private static final int MAX_UNREACHABLE = 5;

    /**
     * Retries that must be available to move a stream from a working target: one for the move, and
     * two that remain for answers whose target fails.
     */
    private static final int MIN_RETRIES_TO_MOVE = 3;

    private final ForwardRequest mRequest;
    private final TargetSelector mTargets;
    private final ServiceRetryBudget mRetryBudget;
    private final ShutdownAdmission mShutdown;
    private final SuspectRequests mSuspects;
    private final RunHistory mHistory;
    private final ShutdownMigration mMigration;
    private final Handover mHandover;

    /** The run whose answer is relayed; null if there is none. */
    private TargetRun mRun;

    private int mUnreachableCount;
    private boolean mAnswerStarted;
    private long mLastRelayedEvent;
    private final StreamVersion mStreamVersion = new StreamVersion();
    private final ResumeBackoff mResumeBackoff = new ResumeBackoff();
    private ResultCode mFailureCode = ResultCode.TARGET_LOST;
    private CutCause mCutCause = CutCause.TARGET;

    private Forwarding(
            ForwardRequest request,
            TargetSelector targets,
            ServiceRetryBudget retryBudget,
            ShutdownAdmission shutdown,
            SuspectRequests suspects) {
        mRequest = request;
        mTargets = targets;
        mRetryBudget = retryBudget;
        mShutdown = shutdown;
        mSuspects = suspects;
        mHistory = new RunHistory(request.route().maxRuns());
        mHandover = new Handover(request.route());
        mMigration = new ShutdownMigration(request, targets, shutdown);
        mLastRelayedEvent = request.resumeAfterEvent();
    }

    /** Returns the state machine of a request. */
    public static Forwarding of(
            ForwardRequest request,
            TargetSelector targets,
            ServiceRetryBudget retryBudget,
            ShutdownAdmission shutdown,
            SuspectRequests suspects) {
        return new Forwarding(request, targets, retryBudget, shutdown, suspects);
    }

    /** Returns the software version that may serve the stream. */
    public StreamVersion streamVersion() {
        return mStreamVersion;
    }

    /** Returns the first step of the request. */
    public Step start(long now) {
        mRetryBudget.onRequest(mRequest.service(), now);
        return chooseTarget(now);
    }

    /** Returns the step after a {@link Step.Wait}. */
    public Step onWaitElapsed(long now) {
        return mAnswerStarted ? resumeStream(mFailureCode, now) : chooseTarget(now);
    }

    /** Records that the first byte is about to be sent: from now on the request may run. */
    public void onSending() {
        recordSending(mRun);
    }

    /** Returns the step after no byte could be sent to the target, also not by a relay. */
    public Step onUnreachable(long now) {
        recordUnreachable(mRun, now);
        mUnreachableCount += mRun.borrowsPermit() ? 0 : 1;
        finishRun();
        if (mUnreachableCount < MAX_UNREACHABLE) {
            return chooseTarget(now);
        }
        mUnreachableCount = 0;
        return refuseOrResume(ResultCode.NO_TARGET, MAX_UNREACHABLE + " targets unreachable", now);
    }

    /** Returns the step after the head of an answer; the body of a stream follows. */
    public Step onAnswerHead(AnswerHead head, long now) {
        if (head.isNotRun()) {
            return onRefused(head, now);
        }
        mHistory.onRun(mRun.target());
        if (!head.isGenuine()) {
            mTargets.onInvalidResponse(mRun.target(), now);
            mHistory.onFailed(mRun.target());
            finishRun();
            return retryOrFail(ResultCode.ANSWER_SPOILED, now);
        }
        if (mAnswerStarted && !(head.stream() && head.isSuccess())) {
            // Only further events can follow the events that were already relayed.
            return onAnswerFailed(ResultCode.STREAM_BROKEN, now);
        }
        if (!head.isFailure()) {
            mTargets.onSuccess(mRun.target(), now);
            return relay(head);
        }
        mTargets.onFailure(mRun.target(), now);
        if (mHandover.isPending() || mayRunAgain(now) && acquireRetry(now)) {
            mHistory.onFailed(mRun.target());
            finishRun();
            return switchToSuccessor().orElseGet(() -> chooseTarget(now));
        }
        return relay(head);
    }

    /** Relays an answer, unless its status would wrongly promise that the request was not run. */
    private Step relay(AnswerHead head) {
        if (StatusPromise.of(head.status()).isKept(mHistory.runCount())) {
            return new Step.Relay();
        }
        finishRun();
        return new Step.Fail(ResultCode.REFUSAL_UNCONFIRMED);
    }

    /** Records that events up to the given event number were relayed to the caller. */
    public void onEventRelayed(long event) {
        mStreamVersion.onEvent(mRun);
        mAnswerStarted = true;
        mResumeBackoff.onEvent();
        mLastRelayedEvent = event;
        mMigration.onEventRelayed();
        mRun.onPrefillEnd();
    }

    /** Returns the number of targets that run, have run or may have run the request. */
    public int runCount() {
        return mHistory.runCount();
    }

    /** Returns the number of the last event that was relayed, -1 for none. */
    public long lastRelayedEvent() {
        return mLastRelayedEvent;
    }

    /** Records that the target's answer is complete and relayed. */
    public void onComplete() {
        finishAll();
    }

    /** Returns the step after the target's answer was interrupted or is invalid. */
    public Step onAnswerFailed(ResultCode code, long now) {
        return onRunFailed(code, CutCause.TARGET, now);
    }

    /** Returns the step after the target is treated as failed. */
    public Step onTargetLost(CutCause cause, long now) {
        if (!mRun.isSent()) {
            return onUnreachable(now);
        }
        return onRunFailed(ResultCode.TARGET_LOST, cause, now);
    }

    private Step onRunFailed(ResultCode code, CutCause cause, long now) {
        mCutCause = cause;
        mTargets.onFailure(mRun.target(), now);
        mHistory.onRun(mRun.target());
        mHistory.onFailed(mRun.target());
        finishRun();
        return retryOrFail(code, now);
    }

    /**
     * Returns the successor of a started stream whose target waits for it to end before loading
     * weights; empty if the stream stays. Its run is kept until the successor has started.
     */
    public Optional<Step.Send> onLoadPending(long now) {
        boolean mayMove =
                mAnswerStarted
                        && mHandover.mayMove()
                        && mHistory.mayRunOnAnother()
                        && mRetryBudget.hasAvailable(mRequest.service(), MIN_RETRIES_TO_MOVE, now);
        return mayMove ? askSuccessor(CutCause.MOVE, now) : Optional.empty();
    }

    /**
     * Returns the successor of a run whose target is unresponsive; empty if {@link
     * #mayReplaceTarget} does not allow one or none is available. The run is kept until the
     * successor has started.
     */
    public Optional<Step.Send> onTargetUnresponsive(long now) {
        return mayReplaceTarget(now) ? askSuccessor(CutCause.SILENCE, now) : Optional.empty();
    }

    /**
     * Returns the successor to which a started stream has to move to end before the shutdown
     * deadline of this instance; empty if the stream stays. Its run is kept until the successor has
     * started.
     */
    public Optional<Step.Send> onShutdownCheck(long now) {
        if (!mAnswerStarted || !mayAskSuccessor(now)) {
            return Optional.empty();
        }
        Optional<Choice> faster = mMigration.fasterTarget(mRun.target(), excludedTargets(now), now);
        Optional<Step.Send> send = askSuccessor(CutCause.SHUTDOWN, faster, now);
        send.ifPresent(asked -> mMigration.onAsked(asked.choice().target()));
        return send;
    }

    /** Records that the first byte is about to be sent to the successor. */
    public void onSuccessorSending() {
        recordSending(mHandover.successor());
    }

    /** Records that the connection to the successor has failed; the run continues. */
    public void onSuccessorUnreachable(long now) {
        recordUnreachable(mHandover.successor(), now);
        mHandover.discard();
    }

    /** Records that the successor has refused the request without running it; the run continues. */
    public void onSuccessorRefused(AnswerHead head, long now) {
        String target = mHandover.successor().target();
        recordRefusal(mHandover.successor(), head, now);
        if (mHandover.cause() == CutCause.SHUTDOWN) {
            mMigration.onRefused(target, now);
        } else {
            mHistory.onUnavailable(target);
        }
        mHandover.discard();
    }

    /** Records that the successor failed or its answer cannot take over; the run continues. */
    public void onSuccessorFailed(long now) {
        mTargets.onFailure(mHandover.successor().target(), now);
        mHistory.onRun(mHandover.successor().target());
        mHistory.onFailed(mHandover.successor().target());
        mHandover.discard();
    }

    /** Records that the successor is no longer needed: the run has resumed or has ended. */
    public void onSuccessorDiscarded() {
        if (mHandover.successor().isSent()) {
            mHistory.onRun(mHandover.successor().target());
            mHistory.onLeftRunning(mHandover.successor().target());
        }
        mHandover.discard();
    }

    /** Returns whether an answer of the successor can replace the one of the run. */
    public boolean maySuccessorTakeOver(AnswerHead head) {
        return head.isGenuine()
                && (mAnswerStarted ? head.stream() && head.isSuccess() : !head.isFailure());
    }

    /** Records that the successor has started to answer: it replaces the run. */
    public void onSuccessorStarted() {
        mCutCause = mHandover.cause();
        mHistory.onLeftRunning(mRun.target());
        finishRun();
        switchToSuccessor();
    }

    /** Returns whether events of the run are held back until the successor starts. */
    public boolean holdsEvents() {
        return mHandover.holdsEvents();
    }

    /** Returns for how long after the last relayed event further ones may be held back. */
    public long holdMillis() {
        return mHandover.holdMillis();
    }

    /** Returns whether events were relayed, so that only the rest may come from another target. */
    public boolean isAnswerStarted() {
        return mAnswerStarted;
    }

    /** Returns the step when the deadline of the request has passed. */
    public Step onDeadline(long now) {
        return terminate(
                ResultCode.ROUTE_TIMEOUT,
                CutCause.TIME,
                new Step.Refuse(ResultCode.DEADLINE_PASSED, 0, "no target in time"));
    }

    /** Returns the step when the request must not be sent; the refusal if nothing has run. */
    public Step onNotPermitted(Step.Refuse refusal) {
        finishRun();
        return refuse(refusal);
    }

    /** Returns the step when sending was delayed, so that the target is chosen again. */
    public Step onChoiceOutdated(long now) {
        finishRun();
        return chooseTarget(now);
    }

    /** Returns the step when the shutdown deadline comes before the end of the answer. */
    public Step onShutdownDeadline() {
        return terminate(
                ResultCode.CUT_BY_SHUTDOWN,
                CutCause.SHUTDOWN,
                new Step.Refuse(ResultCode.SHUTTING_DOWN, 0, "not sent before the end"));
    }

    private Step terminate(ResultCode code, CutCause cause, Step.Refuse refusal) {
        boolean sent = mRun != null && mRun.isSent() || mHistory.runCount() > 0;
        finishAll();
        if (mAnswerStarted) {
            return new Step.Abort(code, cause);
        }
        return sent ? new Step.Fail(code) : refusal;
    }

    /** Records that the caller has disconnected; nothing more is done. */
    public void onCallerDisconnected() {
        finishAll();
    }

    /** Returns how long the current target may send nothing before another one is asked. */
    public long unresponsiveTimeoutMillis() {
        return mHandover.unresponsiveTimeoutMillis(mAnswerStarted);
    }

    /**
     * Returns whether another target may be asked because the current one is unresponsive. While
     * the current one sends data for other requests, it is only busy, and another target would have
     * to process the same prompt once more. No target is asked either if none could answer or the
     * request must not be sent again.
     */
    public boolean mayReplaceTarget(long now) {
        return !mHandover.isPending()
                && mRun.isSent()
                && mayRunAgain(now)
                && mRetryBudget.hasAvailable(mRequest.service(), 1, now)
                && !mTargets.isResponding(mRun.target(), now);
    }

    private Optional<Step.Send> askSuccessor(CutCause cause, long now) {
        return mayAskSuccessor(now)
                ? askSuccessor(cause, mTargets.choose(mRequest, excludedTargets(now), now), now)
                : Optional.empty();
    }

    /** Before it is sent, a run needs no successor: if it fails, another target is chosen. */
    private boolean mayAskSuccessor(long now) {
        return mRun != null && mRun.isSent() && !mHandover.isPending() && mayRunAgain(now);
    }

    private Optional<Step.Send> askSuccessor(CutCause cause, Optional<Choice> choice, long now) {
        boolean inTime =
                choice.isPresent()
                        && choice.get().expectedMillis() <= mHandover.maxExpectedMillis(cause);
        if (!inTime || !acquireRetry(now)) {
            return Optional.empty();
        }
        mHandover.ask(TargetRun.open(mTargets, choice.get(), mRequest, now), cause);
        return Optional.of(
                new Step.Send(choice.get(), mRequest.deadline() - now, mLastRelayedEvent));
    }

    /** Makes the successor, if there is one, the current run and returns the step for it. */
    private Optional<Step> switchToSuccessor() {
        if (!mHandover.isPending()) {
            return Optional.empty();
        }
        mRun = mHandover.takeSuccessor();
        return Optional.of(new Step.AwaitSuccessor());
    }

    private Step onRefused(AnswerHead head, long now) {
        recordRefusal(mRun, head, now);
        mHistory.onUnavailable(mRun.target());
        boolean mayRetry = mRequest.hasTimeToRetry(now) && hasOtherTarget(now);
        finishRun();
        Optional<Step> next = switchToSuccessor();
        if (next.isPresent()) {
            return next.get();
        }
        if (mAnswerStarted) {
            return resumeStream(ResultCode.OVERLOADED, now);
        }
        if (mayRetry && acquireRetry(now)) {
            return chooseTarget(now);
        }
        return refuseOrResume(ResultCode.OVERLOADED, "refused by " + mHistory.unavailable(), now);
    }

    private void recordSending(TargetRun run) {
        run.onSending(mHistory.onRun(run.target()));
    }

    private void recordUnreachable(TargetRun run, long now) {
        if (run.isFirstOnTarget()) {
            mHistory.onNotRun(run.target());
        }
        run.onUnreachable(now);
        mHistory.onUnavailable(run.target());
    }

    private void recordRefusal(TargetRun run, AnswerHead head, long now) {
        if (run.isFirstOnTarget()) {
            mHistory.onNotRun(run.target());
        }
        run.onRefused(head, now);
    }

    /** Returns the step after a failed run. */
    private Step retryOrFail(ResultCode code, long now) {
        Optional<Step> next = switchToSuccessor();
        if (next.isPresent()) {
            return next.get();
        }
        if (mAnswerStarted) {
            return resumeStream(code, now);
        }
        Step failure = new Step.Fail(code);
        if (!mayRunAgain(now) || !acquireRetry(now)) {
            return failure;
        }
        Step step = chooseTarget(now);
        return step instanceof Step.Refuse ? failure : step;
    }

    /**
     * Returns the step by which a started stream that has lost its target resumes. If retry budget
     * or a target is missing, it may soon be available (a target may be loading weights), so the
     * stream waits for it as long as its caller does.
     */
    private Step resumeStream(ResultCode code, long now) {
        mResumeBackoff.onInterrupted(now);
        mFailureCode = code;
        boolean mayResume =
                mRequest.route().mayRunAgain()
                        && mRequest.route().resumable()
                        && mHistory.mayRunAnywhere()
                        && maySend(now)
                        && mRequest.hasTimeToRetry(now);
        if (!mayResume) {
            return new Step.Abort(mFailureCode, mCutCause);
        }
        if (mResumeBackoff.mayAttempt(now) && hasOtherTarget(now) && acquireRetry(now)) {
            mResumeBackoff.onAttempt(now);
            return chooseTarget(now);
        }
        return waitToResume(now);
    }

    private Step waitToResume(long now) {
        long callerTimeout = mRequest.route().callerTimeoutMillis();
        OptionalLong next = mResumeBackoff.nextCheckAt(callerTimeout, mRequest.deadline(), now);
        if (next.isEmpty()) {
            return new Step.Abort(mFailureCode, mCutCause);
        }
        if (!hasOtherTarget(now)) {
            mHistory.clearUnavailable();
        }
        return new Step.Wait(next.getAsLong());
    }

    private boolean mayRunAgain(long now) {
        boolean mayContinue = !mAnswerStarted || mRequest.route().resumable();
        return mRequest.route().mayRunAgain()
                && mayContinue
                && maySend(now)
                && mRequest.hasTimeToRetry(now)
                && hasOtherTarget(now);
    }

    /** Returns whether the request may be sent to a first or to one more target. */
    private boolean maySend(long now) {
        return mSuspects.maySend(mRequest, mHistory.runCount(), now);
    }

    /** Returns whether a target other than the current ones could answer. */
    private boolean hasOtherTarget(long now) {
        return mTargets.hasCandidate(mRequest, excludedTargets(now), now);
    }

    private Set<String> excludedTargets(long now) {
        Set<String> excluded = mHistory.excludedTargets(mTargets.targets());
        mStreamVersion.addExcluded(mRequest.route(), mTargets, excluded, now);
        if (mRun != null) {
            excluded.add(mRun.target());
        }
        if (mHandover.isPending()) {
            excluded.add(mHandover.successor().target());
        }
        return excluded;
    }

    private boolean acquireRetry(long now) {
        return mRetryBudget.tryAcquire(mRequest.service(), now);
    }

    private Step chooseTarget(long now) {
        long millisLeft = mRequest.deadline() - now;
        if (millisLeft <= 0) {
            return refuseOrResume(ResultCode.DEADLINE_PASSED, "no target in time", now);
        }
        if (!maySend(now)) {
            return refuse(mSuspects.refusal(mRequest, now));
        }
        boolean notRun = !mAnswerStarted && mHistory.runCount() == 0;
        // A canary that fails has to be sent to another version.
        boolean mayBeCanary = notRun && mRetryBudget.hasAvailable(mRequest.service(), 1, now);
        Optional<Choice> choice = mTargets.choose(mRequest, excludedTargets(now), mayBeCanary, now);
        if (choice.isPresent()
                && notRun
                && !Admission.admits(mRequest, choice.get().admissionMillis())) {
            return refuseOrResume(
                    ResultCode.OVERLOADED, Admission.refusalDetail(mRequest, choice.get()), now);
        }
        if (choice.isPresent()
                && notRun
                && !mShutdown.admits(mRequest, choice.get().expectedMillis(), now)) {
            return mShutdown.refusal(now);
        }
        if (choice.isPresent()) {
            mRun = TargetRun.open(mTargets, choice.get(), mRequest, now);
            return new Step.Send(choice.get(), millisLeft, mLastRelayedEvent);
        }
        OptionalLong nextCheckAt = TargetWait.nextCheckAt(mRequest, mTargets, now);
        if (!mAnswerStarted && nextCheckAt.isPresent()) {
            mHistory.clearUnavailable();
            return new Step.Wait(nextCheckAt.getAsLong());
        }
        return refuseOrResume(
                ResultCode.NO_TARGET, "no target other than " + mHistory.unavailable(), now);
    }

    private Step refuseOrResume(ResultCode code, String detail, long now) {
        return mAnswerStarted
                ? resumeStream(code, now)
                : refuse(new Step.Refuse(code, mTargets.retryAfterMillis(mRequest, now), detail));
    }

    /** Returns the step that ends the request; the refusal only if nothing may have run. */
    private Step refuse(Step.Refuse refusal) {
        if (mAnswerStarted) {
            return new Step.Abort(refusal.code(), mCutCause);
        }
        return mHistory.runCount() > 0 ? new Step.Fail(ResultCode.TARGET_LOST) : refusal;
    }

    private void finishAll() {
        finishRun();
        mHandover.finish();
    }

    private void finishRun() {
        if (mRun != null) {
            mRun.finish();
        }
        mRun = null;
    }
}
