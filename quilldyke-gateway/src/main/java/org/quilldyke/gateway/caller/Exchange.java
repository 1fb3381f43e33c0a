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
package org.quilldyke.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.caller.CutCause;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.Forwarding;
import org.quilldyke.caller.Step;
import org.quilldyke.quota.QuotaVerdict;
import org.quilldyke.rollout.RequestEvidence;
import org.quilldyke.routing.Choice;

/** One request from its arrival to its answer: performs the steps of {@link Forwarding}. */
final class Exchange {
    /** Interval at which a request that waits for the first configuration checks for it. */
    private static final long START_UP_POLL_MILLIS = 20;

    private final EntryContext mEntry;
    private final CallerConnection mCaller;
    private final HttpRequest mHead;
    private final ByteBuf mBody;
    private final ExchangeLog mLog;
    private final long mArrivedAt;
    private final CallerStream mStream;
    private final UnresponsiveTargetDetector mUnresponsiveDetector;
    private final StartUpCheck mStartUpCheck;
    private final QuotaCheck mQuotaCheck;
    private final StreamOriginCheck mOriginCheck;
    private ForwardRequest mRequest;

    private Optional<RequestEvidence> mEvidence = Optional.empty();
    private Forwarding mForwarding;

    /** The answer that is relayed; null between attempts. */
    private TargetAnswer mAnswer;

    /** The answer that replaces it once it has started; null if none was requested. */
    private TargetAnswer mSuccessor;

    private String mSuccessorReason = "";
    private ScheduledFuture<?> mDeadlineTimer;
    private ScheduledFuture<?> mHoldTimer;
    private ScheduledFuture<?> mWaitTimer;

    /** The target that was chosen last; null if none was. */
    private Choice mChoice;

    /** When the last attempt that may have run was sent, 0 if there was none. */
    private long mSentAt;

    private long mVersionAtStart;
    private ExchangeLog.AbandonedRun mAbandoned;
    private boolean mReadingPaused;
    private boolean mComplete;
    private boolean mEnded;

    Exchange(EntryContext entry, CallerConnection caller, HttpRequest head, ByteBuf body) {
        mEntry = entry;
        mCaller = caller;
        mHead = head;
        mBody = body;
        mLog = new ExchangeLog(entry.log());
        mStream = new CallerStream(caller);
        mUnresponsiveDetector = new UnresponsiveTargetDetector(entry, this::onUnresponsive);
        mQuotaCheck = new QuotaCheck(entry);
        mOriginCheck = new StreamOriginCheck(entry, mLog);
        mArrivedAt = entry.now();
        mStartUpCheck = new StartUpCheck(entry, head, mArrivedAt);
    }

    /** Parses the request and performs the first step. */
    void start() {
        try {
            if (mStartUpCheck.mustWait()) {
                mWaitTimer = schedule(this::start, START_UP_POLL_MILLIS);
                return;
            }
            mRequest = RequestAdmission.admit(mEntry, mHead, mBody, mArrivedAt);
            mVersionAtStart = mEntry.configurationVersion();
            mCaller.checkReadInTime();
            mOriginCheck.start(mRequest, mHead, this::onOriginChecked);
        } catch (QuilldykeException e) {
            refuse(e.code(), e.retryAfterMillis(), e.getMessage());
        }
    }

    /** Sends the request, unless it is refused. */
    private void onOriginChecked(Optional<Step.Refuse> refusal) {
        if (mEnded || refusal.isPresent()) {
            refusal.filter(step -> !mEnded).ifPresent(this::perform);
            return;
        }
        mDeadlineTimer = schedule(this::onDeadline, Math.max(0, mRequest.deadline() - now()));
        mEvidence = mEntry.rollouts().evidence(mRequest);
        mForwarding = mEntry.forwarding(mRequest);
        mOriginCheck.restrict(mForwarding.streamVersion());
        mEntry.metrics().onRequest(mRequest.route().kind());
        perform(mForwarding.start(now()));
    }

    void onCallerDisconnected() {
        if (mEnded) {
            return;
        }
        mLog.callerDisconnected(id(), now() - mArrivedAt);
        mEntry.metrics().onCallerGone();
        mEvidence.ifPresent(RequestEvidence::onCallerDisconnected);
        if (mForwarding != null) {
            mForwarding.onCallerDisconnected();
        }
        end();
    }

    /** The instance has to stop before the answer is complete. */
    void onShutdownDeadline() {
        if (mEnded) {
            return;
        }
        Step step =
                mForwarding == null
                        ? new Step.Refuse(ResultCode.SHUTTING_DOWN, 0, "before a target was chosen")
                        : mForwarding.onShutdownDeadline();
        cancelAll();
        perform(step);
    }

    /** Pauses reading from targets while the caller doesn't read. */
    void onWritable(boolean writable) {
        mReadingPaused = !writable;
        if (mAnswer != null) {
            mAnswer.setReading(writable);
        }
        if (mSuccessor != null) {
            mSuccessor.setReading(writable);
        }
    }

    /** A target is unresponsive; its run is kept until a successor starts to answer. */
    void onTargetUnresponsive(String target) {
        if (isServedBy(target) && mayUseKey()) {
            startSuccessor(mForwarding.onTargetUnresponsive(now()), "the target is unresponsive");
        }
    }

    /** The report may be wrong: a started answer is only replaced if no more data arrives. */
    void onTargetRestarted(String target, String reason) {
        if (isServedBy(target) && mAnswer.hasStartedRun()) {
            mUnresponsiveDetector.onRestartReported();
        } else if (isServedBy(target)) {
            abandon(mAnswer);
            logAttempt(mAnswer, "broken", ResultCode.TARGET_LOST.label() + " " + reason);
            mAnswer = null;
            perform(mForwarding.onTargetLost(CutCause.CONTROL, now()));
        } else if (!mEnded && mSuccessor != null && mSuccessor.isFrom(target)) {
            mSuccessor.fail(ResultCode.TARGET_LOST, reason);
        }
    }

    /** A target waits for its runs to complete before it loads weights or is replaced. */
    void onMoveWanted(String target, String reason) {
        if (isServedBy(target)) {
            startSuccessor(mForwarding.onLoadPending(now()), reason);
        }
    }

    /** Moves a stream that would outlast the shutdown to a faster target. */
    void onShuttingDown() {
        if (!mEnded && mAnswer != null && !mReadingPaused) {
            startSuccessor(mForwarding.onShutdownCheck(now()), "would outlast the shutdown");
        }
    }

    private boolean isServedBy(String target) {
        return !mEnded && mAnswer != null && mAnswer.isFrom(target);
    }

    void onUnsent(TargetAnswer answer, String reason) {
        logAttempt(answer, "unsent", reason);
        if (answer == mSuccessor) {
            mForwarding.onSuccessorUnreachable(now());
            keepCurrentAnswer();
        } else {
            mAnswer = null;
            perform(mForwarding.onUnreachable(now()));
        }
    }

    void onSending(TargetAnswer answer) {
        if (answer == mSuccessor) {
            mForwarding.onSuccessorSending();
        } else {
            mForwarding.onSending();
            mSentAt = now();
            mUnresponsiveDetector.start(mAnswer, mForwarding.unresponsiveTimeoutMillis());
        }
    }

    /** The target has refused the request without running it. */
    void onRefused(TargetAnswer answer) {
        logAttempt(answer, "refused", "status " + answer.answerHead().status());
        if (answer == mSuccessor) {
            mForwarding.onSuccessorRefused(answer.answerHead(), now());
            keepCurrentAnswer();
        } else {
            mSentAt = 0;
            mAnswer = null;
            perform(mForwarding.onAnswerHead(answer.answerHead(), now()));
        }
    }

    void onStreamStart(TargetAnswer answer) {
        if (answer == mSuccessor) {
            if (!mForwarding.maySuccessorTakeOver(answer.answerHead())) {
                answer.fail(ResultCode.ANSWER_SPOILED, "no signature, or a contradictory head");
                return;
            }
            switchToSuccessor();
        }
        Step step = mForwarding.onAnswerHead(answer.answerHead(), now());
        if (step instanceof Step.Relay) {
            cancelSuccessor();
        } else {
            abandon(answer);
            logAttempt(answer, "spoiled", "no signature, or a contradictory head");
            mAnswer = null;
            perform(step);
        }
    }

    /** Handles an event, whose buffer is released here or when it is written. */
    void onEvent(TargetAnswer answer, EventSplitter.Event event) {
        if (mForwarding.holdsEvents()) {
            mStream.hold(event);
        } else {
            cancelSuccessor();
            writeEvent(answer, event);
        }
    }

    /** An answer that isn't a stream is complete. */
    void onCompleteAnswer(TargetAnswer answer) {
        if (answer == mSuccessor) {
            if (!mForwarding.maySuccessorTakeOver(answer.answerHead())) {
                answer.fail(ResultCode.STREAM_BROKEN, answer.statusText());
                return;
            }
            switchToSuccessor();
        }
        Step step = mForwarding.onAnswerHead(answer.answerHead(), now());
        if (step instanceof Step.Relay) {
            mForwarding.onComplete();
            writeAnswer();
        } else {
            logAttempt(answer, "failed", answer.statusText());
            abandon(answer);
            mAnswer = null;
            perform(step);
        }
    }

    void onStreamEnd(TargetAnswer answer) {
        if (answer == mSuccessor) {
            return;
        }
        cancelSuccessor();
        writeHeldEvents();
        if (mAnswer != answer) {
            // A held event was out of order, so the answer has failed.
            return;
        }
        beginStream();
        mForwarding.onComplete();
        mComplete = true;
        logAnswered();
        end();
        mCaller.endStream();
    }

    /** An answer was interrupted or is invalid. */
    void onFailed(TargetAnswer answer, ResultCode code, String reason) {
        logAttempt(answer, "broken", code.label() + " " + reason);
        if (answer == mSuccessor) {
            mForwarding.onSuccessorFailed(now());
            keepCurrentAnswer();
        } else {
            abandon(answer);
            mAnswer = null;
            perform(mForwarding.onAnswerFailed(code, now()));
        }
    }

    private void perform(Step step) {
        if (step instanceof Step.Send send) {
            send(send);
        } else if (step instanceof Step.Wait wait) {
            long millis = Math.max(1, wait.until() - now());
            mWaitTimer = schedule(() -> perform(mForwarding.onWaitElapsed(now())), millis);
        } else if (step instanceof Step.AwaitSuccessor) {
            promoteSuccessor();
        } else if (step instanceof Step.Refuse refuse) {
            refuse(refuse.code(), refuse.retryAfterMillis(), refuse.detail());
        } else if (step instanceof Step.Fail fail) {
            refuse(fail.code(), 0, "the request may have run");
        } else if (step instanceof Step.Abort aborted) {
            logCut(aborted);
            mEntry.metrics().onRefused(aborted.code());
            mEntry.metrics().onCut(aborted.cause());
            end();
            mCaller.abort();
        } else {
            throw new AssertionError(step);
        }
    }

    private void send(Step.Send send) {
        mChoice = send.choice();
        if (!mayUseKey()) {
            perform(mForwarding.onNotPermitted(RequestAdmission.keyUnconfirmed(mEntry)));
        } else if (mQuotaCheck.isRequired(mRequest)) {
            mQuotaCheck.start(mRequest, verdict -> onQuotaVerdict(send, verdict));
        } else {
            mAnswer = startAttempt(send);
        }
    }

    private void onQuotaVerdict(Step.Send send, QuotaVerdict verdict) {
        if (!mEnded) {
            perform(mQuotaCheck.next(verdict, mRequest, send, mForwarding));
        }
    }

    /**
     * Returns whether the request may be sent as regards the caller's key. A started answer may
     * continue at another target after the confirmation of the keys has expired, just as an answer
     * that stays at its target does.
     */
    private boolean mayUseKey() {
        return mForwarding.isAnswerStarted() || mEntry.mayUseKey(mRequest);
    }

    private TargetAnswer startAttempt(Step.Send send) {
        TargetAnswer answer =
                new TargetAnswer(this, mEntry, mRequest, send.choice(), mEvidence, mBody.alloc());
        mLog.routed(mRequest, send, mEntry, now());
        mEntry.onAttempt(send.choice().target(), mRequest.bodyBytes());
        // Assigned before start(), which may call back immediately.
        if (mAnswer == null) {
            mAnswer = answer;
        } else {
            mSuccessor = answer;
        }
        answer.start(TargetRequests.of(mEntry.dialect(), mHead, mBody, mRequest, send));
        return answer;
    }

    /**
     * Starts an attempt that is to replace the current answer, which is kept until then: otherwise
     * a failure of the successor would cut an answer whose target is working.
     */
    private void startSuccessor(Optional<Step.Send> send, String reason) {
        if (send.isEmpty()) {
            return;
        }
        mSuccessorReason = reason;
        startAttempt(send.get());
        if (mForwarding.holdsEvents()) {
            long until = mStream.lastEventAt() + mForwarding.holdMillis();
            mHoldTimer = schedule(this::onHoldTimeout, Math.max(1, until - now()));
        }
    }

    /** The successor has not started in time: the caller must not wait longer for events. */
    private void onHoldTimeout() {
        if (!mEnded && mSuccessor != null) {
            logAttempt(mSuccessor, "dropped", "not started in time");
            cancelSuccessor();
            writeHeldEvents();
        }
    }

    /** Replaces the current answer, since the successor has started. */
    private void switchToSuccessor() {
        mForwarding.onSuccessorStarted();
        logAttempt(mAnswer, "moved", mSuccessorReason);
        abandon(mAnswer);
        promoteSuccessor();
    }

    private void promoteSuccessor() {
        mAnswer = mSuccessor;
        mChoice = mAnswer.choice();
        mSentAt = mAnswer.sentAt();
        mSuccessor = null;
        cancelHoldTimer();
        mStream.releaseHeld();
        mUnresponsiveDetector.start(mAnswer, mForwarding.unresponsiveTimeoutMillis());
    }

    /** Continues with the current answer, since the successor has failed. */
    private void keepCurrentAnswer() {
        mSuccessor = null;
        cancelHoldTimer();
        writeHeldEvents();
    }

    /** Cancels the successor, which is no longer needed. */
    private void cancelSuccessor() {
        if (mSuccessor != null) {
            mForwarding.onSuccessorDiscarded();
            mSuccessor.cancel();
            mSuccessor = null;
        }
        cancelHoldTimer();
    }

    private void cancelHoldTimer() {
        if (mHoldTimer != null) {
            mHoldTimer.cancel(false);
            mHoldTimer = null;
        }
    }

    private void writeHeldEvents() {
        TargetAnswer answer = mAnswer;
        EventSplitter.Event event;
        while ((event = mStream.nextHeld()) != null) {
            if (mEnded || answer == null || mAnswer != answer) {
                event.bytes().release();
            } else {
                writeEvent(answer, event);
            }
        }
    }

    private void writeEvent(TargetAnswer answer, EventSplitter.Event event) {
        boolean numbered = event.number() != EventSplitter.NO_NUMBER;
        if (numbered && event.number() <= mForwarding.lastRelayedEvent()) {
            event.bytes().release();
            answer.fail(
                    ResultCode.ANSWER_SPOILED,
                    "event " + event.number() + " after " + mForwarding.lastRelayedEvent());
            return;
        }
        beginStream();
        mForwarding.onEventRelayed(numbered ? event.number() : mForwarding.lastRelayedEvent());
        mOriginCheck.onEventRelayed(mRequest, mForwarding.streamVersion());
        mStream.write(event, now());
    }

    private void beginStream() {
        if (mStream.hasBegun()) {
            return;
        }
        mStream.begin(mAnswer, now());
        long millis = mStream.firstEventMillis();
        mEntry.targetSelector().onFirstEvent(mChoice, millis, now());
        mEntry.metrics().onFirstEvent(millis, mChoice.expectedMillis());
    }

    private void writeAnswer() {
        TargetAnswer answer = mAnswer;
        ByteBuf body = answer.takeBody();
        mComplete = answer.answerHead().isSuccess();
        logAnswered();
        end();
        mCaller.answer(answer.status(), answer.headers(), body);
    }

    private void refuse(ResultCode code, long retryAfterMillis, String reason) {
        logEnd(code, reason);
        if (code == ResultCode.NO_TARGET) {
            mLog.noTarget(
                    mRequest, mEntry.targetSelector().reachability(mRequest.service(), now()));
        }
        mEntry.metrics().onRefused(code);
        end();
        mCaller.answer(code, retryAfterMillis);
    }

    private void onDeadline() {
        if (mEnded) {
            return;
        }
        Step step = mForwarding.onDeadline(now());
        cancelAll();
        perform(step);
    }

    private void onUnresponsive(long millis) {
        if (!mEnded && mAnswer != null && !mReadingPaused && mayUseKey()) {
            startSuccessor(mForwarding.onTargetUnresponsive(now()), "no data in " + millis + " ms");
        }
    }

    /** Cancels an answer and records the data that is logged about it if the request is cut. */
    private void abandon(TargetAnswer answer) {
        mUnresponsiveDetector.stop();
        answer.cancel();
        if (answer.hasStartedRun()) {
            String target = answer.choice().target();
            mAbandoned = new ExchangeLog.AbandonedRun(target, now() - answer.lastDataAt(), now());
        }
    }

    private void cancelAll() {
        if (mAnswer != null) {
            abandon(mAnswer);
            mAnswer = null;
        }
        if (mSuccessor != null) {
            mSuccessor.cancel();
            mSuccessor = null;
        }
        cancelHoldTimer();
        mStream.releaseHeld();
    }

    private void end() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        if (mRequest != null) {
            mStream.recordDuration(mEntry.shutdownAdmission(), mRequest, mComplete, mSentAt, now());
        }
        mUnresponsiveDetector.stop();
        cancelAll();
        mBody.release();
        if (mDeadlineTimer != null) {
            mDeadlineTimer.cancel(false);
        }
        if (mWaitTimer != null) {
            mWaitTimer.cancel(false);
        }
    }

    private void logAttempt(TargetAnswer answer, String outcome, String reason) {
        mLog.attemptFailed(id(), answer.choice(), outcome, reason);
    }

    private void logAnswered() {
        long millis = now() - mArrivedAt;
        mEntry.metrics().onAnswered(millis);
        mLog.answered(
                id(),
                mAnswer.answerHead().status(),
                mChoice,
                mStream.firstEventMillis(),
                mStream.longestPauseMillis(),
                mForwarding.lastRelayedEvent(),
                millis);
    }

    private void logCut(Step.Abort cut) {
        logEnd(cut.code(), "cut after event " + mForwarding.lastRelayedEvent());
        mLog.cut(
                mRequest,
                cut,
                mAbandoned,
                ExchangeLog.CutState.of(mEntry, mForwarding, mRequest, mVersionAtStart));
    }

    private void logEnd(ResultCode code, String reason) {
        mLog.failed(id(), code, reason, mChoice, mEntry.configurationStatus(), now() - mArrivedAt);
    }

    private String id() {
        return mRequest == null ? "" : mRequest.id();
    }

    private ScheduledFuture<?> schedule(Runnable task, long millis) {
        return mEntry.loop().schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    private long now() {
        return mEntry.now();
    }
}
