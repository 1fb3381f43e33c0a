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
import org.quilldyke.caller.StartUpWait;
import org.quilldyke.caller.Step;
import org.quilldyke.routing.Choice;

/** One request from its arrival to its answer: carries out what {@link Forwarding} decides. */
final class Exchange {
    /** How often a request that waits for the first configuration looks for it. */
    private static final long START_UP_STEP_MILLIS = 20;

    private final Entry mEntry;
    private final CallerConnection mCaller;
    private final HttpRequest mHead;
    private final ByteBuf mBody;
    private final ExchangeLog mLog;
    private final long mArrivedAt;
    private final PassedStream mStream;
    private final SilenceWatch mSilence;
    private long mMillisLeft = -1;
    private ForwardRequest mRequest;
    private Forwarding mForwarding;

    /** The answer that is passed on; null between attempts. */
    private TargetAnswer mAnswer;

    /** The answer that takes its place once it begins; null if none is asked for. */
    private TargetAnswer mSuccessor;

    private String mSuccessorWhy = "";
    private ScheduledFuture<?> mTimeOver;
    private ScheduledFuture<?> mHoldOver;
    private ScheduledFuture<?> mWait;

    /** The target that was chosen last; null if none was. */
    private Choice mChoice;

    /** When the last attempt that may have run was sent, 0 if there was none. */
    private long mSentAt;

    private long mVersionBegun;
    private ExchangeLog.LeftRun mLeft;
    private boolean mPaused;
    private boolean mWhole;
    private boolean mEnded;

    Exchange(Entry entry, CallerConnection caller, HttpRequest head, ByteBuf body) {
        mEntry = entry;
        mCaller = caller;
        mHead = head;
        mBody = body;
        mLog = new ExchangeLog(entry.log());
        mStream = new PassedStream(caller);
        mSilence = new SilenceWatch(entry, this::onSilent);
        mArrivedAt = entry.now();
    }

    /** Reads what the request says and takes the first step. */
    void start() {
        try {
            if (waitsForStartUp()) {
                mWait =
                        mEntry.loop()
                                .schedule(this::start, START_UP_STEP_MILLIS, TimeUnit.MILLISECONDS);
                return;
            }
            mRequest = CallerRequests.admit(mEntry, mHead, mBody, mArrivedAt);
            mVersionBegun = mEntry.version();
        } catch (QuilldykeException e) {
            refuse(e.code(), e.retryAfterMillis(), e.getMessage());
            return;
        }
        long left = Math.max(0, mRequest.deadline() - now());
        mTimeOver = mEntry.loop().schedule(this::onTimeOver, left, TimeUnit.MILLISECONDS);
        mForwarding = mEntry.forwarding(mRequest);
        mEntry.metrics().onRequest(mRequest.route().kind());
        perform(mForwarding.start(now()));
    }

    void onCallerGone() {
        if (mEnded) {
            return;
        }
        mLog.callerGone(id(), now() - mArrivedAt);
        mEntry.metrics().onCallerGone();
        if (mForwarding != null) {
            mForwarding.onCallerDisconnected();
        }
        end();
    }

    /** The instance ends before the answer does. */
    void onInstanceEnds() {
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

    /** While the caller doesn't read, the targets aren't read either. */
    void onWritable(boolean writable) {
        mPaused = !writable;
        if (mAnswer != null) {
            mAnswer.setReading(writable);
        }
        if (mSuccessor != null) {
            mSuccessor.setReading(writable);
        }
    }

    /** A target is silent to all; it is kept until somebody else begins to answer. */
    void onTargetSilent(String target) {
        if (isPresentAt(target) && mayUseKey()) {
            askSuccessor(mForwarding.onTargetUnresponsive(now()), "the target is silent");
        }
    }

    /** Who has begun to answer is judged by what is heard of it, whatever is said. */
    void onTargetEnded(String target, String why) {
        if (isPresentAt(target) && mAnswer.hasBegun()) {
            mSilence.onTargetEnded();
        } else if (isPresentAt(target)) {
            leave(mAnswer);
            logAttempt(mAnswer, "broken", ResultCode.TARGET_LOST.label() + " " + why);
            mAnswer = null;
            perform(mForwarding.onTargetLost(CutCause.CONTROL, now()));
        } else if (!mEnded && mSuccessor != null && mSuccessor.isAt(target)) {
            mSuccessor.giveUp(ResultCode.TARGET_LOST, why);
        }
    }

    /** A target waits for its runs to end, to load weights. */
    void onTargetWaits(String target) {
        if (isPresentAt(target)) {
            askSuccessor(mForwarding.onLoadPending(now()), "the target waits to load weights");
        }
    }

    /**
     * The instance has to end soon: a stream that would last longer goes on where it is quicker.
     */
    void onInstanceEnding() {
        if (!mEnded && mAnswer != null && !mPaused) {
            askSuccessor(mForwarding.onShutdownCheck(now()), "it would outlast the instance");
        }
    }

    private boolean isPresentAt(String target) {
        return !mEnded && mAnswer != null && mAnswer.isAt(target);
    }

    void onUnsent(TargetAnswer answer, String why) {
        logAttempt(answer, "unsent", why);
        if (answer == mSuccessor) {
            mForwarding.onSuccessorUnreachable(now());
            stay();
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
            mSilence.start(mAnswer, mForwarding.unresponsiveTimeoutMillis());
        }
    }

    /** The target refuses the request unrun. */
    void onRefused(TargetAnswer answer) {
        logAttempt(answer, "refused", "status " + answer.facts().status());
        if (answer == mSuccessor) {
            mForwarding.onSuccessorRefused(answer.facts(), now());
            stay();
        } else {
            mSentAt = 0;
            mAnswer = null;
            perform(mForwarding.onAnswerHead(answer.facts(), now()));
        }
    }

    /** A stream begins. */
    void onStream(TargetAnswer answer) {
        if (answer == mSuccessor) {
            if (!mForwarding.maySuccessorTakeOver(answer.facts())) {
                answer.giveUp(ResultCode.ANSWER_SPOILED, "no signature");
                return;
            }
            takeOver();
        }
        Step step = mForwarding.onAnswerHead(answer.facts(), now());
        if (step instanceof Step.Relay) {
            dropSuccessor();
        } else {
            leave(answer);
            logAttempt(answer, "spoiled", "no signature");
            mAnswer = null;
            perform(step);
        }
    }

    /** An event of a stream is here; it is released when it is written, or here. */
    void onEvent(TargetAnswer answer, EventSplitter.Event event) {
        if (mForwarding.holdsEvents()) {
            mStream.hold(event);
        } else {
            dropSuccessor();
            passOn(answer, event);
        }
    }

    /** An answer that isn't a stream is whole. */
    void onWhole(TargetAnswer answer) {
        if (answer == mSuccessor) {
            if (!mForwarding.maySuccessorTakeOver(answer.facts())) {
                answer.giveUp(ResultCode.STREAM_BROKEN, "status " + answer.facts().status());
                return;
            }
            takeOver();
        }
        Step step = mForwarding.onAnswerHead(answer.facts(), now());
        if (step instanceof Step.Relay) {
            mForwarding.onComplete();
            passAnswer();
        } else {
            logAttempt(answer, "failed", "status " + answer.facts().status());
            leave(answer);
            mAnswer = null;
            perform(step);
        }
    }

    void onStreamEnd(TargetAnswer answer) {
        if (answer == mSuccessor) {
            return;
        }
        dropSuccessor();
        passHeld();
        if (mAnswer != answer) {
            // What was held has spoiled it.
            return;
        }
        beginStream();
        mForwarding.onComplete();
        mWhole = true;
        logAnswered();
        end();
        mCaller.endStream();
    }

    /** An answer broke off, or is none. */
    void onBroken(TargetAnswer answer, ResultCode code, String why) {
        logAttempt(answer, "broken", code.label() + " " + why);
        if (answer == mSuccessor) {
            mForwarding.onSuccessorFailed(now());
            stay();
        } else {
            leave(answer);
            mAnswer = null;
            perform(mForwarding.onAnswerFailed(code, now()));
        }
    }

    /** Returns whether the instance has just started and the request can wait until it is ready. */
    private boolean waitsForStartUp() throws QuilldykeException {
        if (mEntry.routes() != null && mEntry.lease().wasGranted()) {
            return false;
        }
        if (mMillisLeft < 0) {
            mMillisLeft =
                    mEntry.dialect().callers().read(mHead).millisLeft().orElse(Long.MAX_VALUE);
        }
        return StartUpWait.mayWait(mArrivedAt, mMillisLeft, now());
    }

    private void perform(Step step) {
        if (step instanceof Step.Send send) {
            send(send);
        } else if (step instanceof Step.Wait wait) {
            long millis = Math.max(1, wait.until() - now());
            mWait =
                    mEntry.loop()
                            .schedule(
                                    () -> perform(mForwarding.onWaitElapsed(now())),
                                    millis,
                                    TimeUnit.MILLISECONDS);
        } else if (step instanceof Step.AwaitSuccessor) {
            follow();
        } else if (step instanceof Step.Refuse refuse) {
            refuse(refuse.code(), refuse.retryAfterMillis(), refuse.detail());
        } else if (step instanceof Step.Fail fail) {
            refuse(fail.code(), 0, "may have run");
        } else if (step instanceof Step.Abort broken) {
            logCut(broken);
            mEntry.metrics().onRefused(broken.code());
            mEntry.metrics().onCut(broken.cause());
            end();
            mCaller.abort();
        } else {
            throw new AssertionError(step);
        }
    }

    private void send(Step.Send send) {
        mChoice = send.choice();
        if (!mayUseKey()) {
            String age = "age " + mEntry.keyAge();
            perform(mForwarding.onKeyUnconfirmed(CallerRequests.UNCONFIRMED_RETRY_MILLIS, age));
            return;
        }
        mAnswer = ask(send);
    }

    /**
     * An answer under way was allowed when it began, and its rest goes on wherever it may: a
     * confirmation that lapses meanwhile takes nothing from it, as it doesn't from one that stays.
     */
    private boolean mayUseKey() {
        boolean keyed = !mRequest.route().allowsAnonymous() && mEntry.routes().requiresKeys();
        return !keyed || mForwarding.isAnswerStarted() || mEntry.isConfirmed();
    }

    private TargetAnswer ask(Step.Send send) {
        TargetAnswer answer =
                new TargetAnswer(this, mEntry, mRequest, send.choice(), mBody.alloc());
        mLog.routed(mRequest, send, mEntry.book(), mEntry.standing(), now());
        mEntry.metrics().onAttempt();
        // What is heard of it at once is heard of the answer that is asked for here.
        if (mAnswer == null) {
            mAnswer = answer;
        } else {
            mSuccessor = answer;
        }
        answer.start(TargetRequests.of(mEntry.dialect(), mHead, mBody, mRequest, send));
        return answer;
    }

    /**
     * Asks who is to go on, while the present answer is kept: if it were left first, whatever
     * befalls the other one would cut an answer whose target is at work.
     */
    private void askSuccessor(Optional<Step.Send> send, String why) {
        if (send.isEmpty()) {
            return;
        }
        mSuccessorWhy = why;
        ask(send.get());
        if (mForwarding.holdsEvents()) {
            mHoldOver =
                    mEntry.loop()
                            .schedule(
                                    this::onHoldOver,
                                    Math.max(
                                            1,
                                            mStream.eventAt() + mForwarding.holdMillis() - now()),
                                    TimeUnit.MILLISECONDS);
        }
    }

    /** The successor doesn't begin in time: the caller has waited long enough for events. */
    private void onHoldOver() {
        if (!mEnded && mSuccessor != null) {
            logAttempt(mSuccessor, "dropped", "not begun in time");
            dropSuccessor();
            passHeld();
        }
    }

    /** The successor has begun. */
    private void takeOver() {
        mForwarding.onSuccessorStarted();
        logAttempt(mAnswer, "moved", mSuccessorWhy);
        leave(mAnswer);
        follow();
    }

    /** The successor is the only answer from now on. */
    private void follow() {
        mAnswer = mSuccessor;
        mChoice = mAnswer.choice();
        mSentAt = mAnswer.sentAt();
        mSuccessor = null;
        endHold();
        mStream.releaseHeld();
        mSilence.start(mAnswer, mForwarding.unresponsiveTimeoutMillis());
    }

    /** The successor is none: the present answer goes on as if it hadn't been asked. */
    private void stay() {
        mSuccessor = null;
        endHold();
        passHeld();
    }

    /** The successor isn't wanted any more. */
    private void dropSuccessor() {
        if (mSuccessor != null) {
            mForwarding.onSuccessorDiscarded();
            mSuccessor.cancel();
            mSuccessor = null;
        }
        endHold();
    }

    private void endHold() {
        if (mHoldOver != null) {
            mHoldOver.cancel(false);
            mHoldOver = null;
        }
    }

    private void passHeld() {
        TargetAnswer from = mAnswer;
        EventSplitter.Event event;
        while ((event = mStream.nextHeld()) != null) {
            if (mEnded || from == null || mAnswer != from) {
                event.bytes().release();
            } else {
                passOn(from, event);
            }
        }
    }

    private void passOn(TargetAnswer answer, EventSplitter.Event event) {
        boolean numbered = event.number() != EventSplitter.NO_NUMBER;
        if (numbered && event.number() <= mForwarding.lastRelayedEvent()) {
            event.bytes().release();
            answer.giveUp(
                    ResultCode.ANSWER_SPOILED,
                    "event " + event.number() + " after " + mForwarding.lastRelayedEvent());
            return;
        }
        beginStream();
        mForwarding.onEventRelayed(numbered ? event.number() : mForwarding.lastRelayedEvent());
        mStream.write(event, now());
    }

    private void beginStream() {
        if (mStream.hasBegun()) {
            return;
        }
        mStream.begin(mAnswer, now());
        long millis = mStream.firstEventMillis();
        mEntry.book().onFirstEvent(mChoice, millis, now());
        mEntry.metrics().onFirstEvent(millis, mChoice.expectedMillis());
    }

    private void passAnswer() {
        TargetAnswer answer = mAnswer;
        ByteBuf body = answer.takeBody();
        mWhole = answer.facts().isSuccess();
        logAnswered();
        end();
        mCaller.answer(answer.status(), answer.headers(), body);
    }

    private void refuse(ResultCode code, long retryAfterMillis, String why) {
        logEnd(code, why);
        mEntry.metrics().onRefused(code);
        end();
        mCaller.answer(code, retryAfterMillis);
    }

    private void onTimeOver() {
        if (mEnded) {
            return;
        }
        Step step = mForwarding.onDeadline(now());
        cancelAll();
        perform(step);
    }

    private void onSilent(long millis) {
        if (!mEnded && mAnswer != null && !mPaused && mayUseKey()) {
            askSuccessor(mForwarding.onTargetUnresponsive(now()), "silent for " + millis + " ms");
        }
    }

    /** Wants nothing more of an answer, and keeps what a cut has to tell of it. */
    private void leave(TargetAnswer answer) {
        mSilence.stop();
        answer.cancel();
        if (answer.hasBegun()) {
            String target = answer.choice().target();
            mLeft = new ExchangeLog.LeftRun(target, now() - answer.heardAt(), now());
        }
    }

    private void cancelAll() {
        if (mAnswer != null) {
            leave(mAnswer);
            mAnswer = null;
        }
        if (mSuccessor != null) {
            mSuccessor.cancel();
            mSuccessor = null;
        }
        endHold();
        mStream.releaseHeld();
    }

    private void end() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        if (mRequest != null) {
            mStream.tellLasted(mEntry.shutdown(), mRequest, mWhole, mSentAt, now());
        }
        mSilence.stop();
        cancelAll();
        mBody.release();
        if (mTimeOver != null) {
            mTimeOver.cancel(false);
        }
        if (mWait != null) {
            mWait.cancel(false);
        }
    }

    private void logAttempt(TargetAnswer answer, String outcome, String why) {
        mLog.attemptFailed(id(), answer.choice(), outcome, why);
    }

    private void logAnswered() {
        long millis = now() - mArrivedAt;
        mEntry.metrics().onAnswered(millis);
        mLog.answered(
                id(),
                mAnswer.facts().status(),
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
                mLeft,
                new ExchangeLog.CutState(
                        now(),
                        mForwarding.lastRelayedEvent(),
                        mForwarding.runCount(),
                        mEntry.retries().available(mRequest.service(), now()),
                        mEntry.keyAge(),
                        mVersionBegun,
                        mEntry.version(),
                        mEntry.drainMillis()));
    }

    private void logEnd(ResultCode code, String why) {
        mLog.ended(id(), code, why, mChoice, mEntry.standing(), now() - mArrivedAt);
    }

    private String id() {
        return mRequest == null ? "" : mRequest.id();
    }

    private long now() {
        return mEntry.now();
    }
}
