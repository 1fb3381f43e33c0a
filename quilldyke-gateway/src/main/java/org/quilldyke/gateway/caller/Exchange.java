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
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.caller.AnswerHead;
import org.quilldyke.caller.CutCause;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.Forwarding;
import org.quilldyke.caller.StartUpWait;
import org.quilldyke.caller.Step;
import org.quilldyke.gateway.dialect.AnswerFacts;
import org.quilldyke.gateway.engine.Attempt;
import org.quilldyke.gateway.engine.AttemptListener;
import org.quilldyke.routing.Choice;

/** One request from its arrival to its answer: carries out what {@link Forwarding} decides. */
final class Exchange implements AttemptListener {
    /** An answer that isn't a stream is held whole; larger ones are taken for spoiled. */
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    private static final int MAX_EVENT_BYTES = 1 << 20;

    /** How often a request that waits for the first configuration looks for it. */
    private static final long START_UP_STEP_MILLIS = 20;

    /** How often it is looked whether a silent target is still alive. */
    private static final long SILENCE_STEP_MILLIS = 200;

    private final Entry mEntry;
    private final CallerConnection mCaller;
    private final HttpRequest mHead;
    private final ByteBuf mBody;
    private final ExchangeLog mLog;
    private final long mArrivedAt;
    private long mMillisLeft = -1;
    private ForwardRequest mRequest;
    private Forwarding mForwarding;
    private Choice mChoice;
    private Attempt mAttempt;
    private AnswerFacts mAnswer;
    private HttpResponse mAnswerHead;
    private HttpHeaders mFirstHeaders;
    private ByteBuf mAnswerBody;
    private EventSplitter mEvents;
    private ScheduledFuture<?> mTimeOver;
    private ScheduledFuture<?> mSilence;
    private ScheduledFuture<?> mWait;
    private long mHeardAt;

    /** When the last attempt that may have run was sent, 0 if there was none. */
    private long mSentAt;

    private long mFirstEventMillis = -1;
    private long mEventAt;
    private long mStreamBegunAt;
    private long mLongestPauseMillis;
    private long mVersionBegun;
    private ExchangeLog.LeftRun mLeft;
    private boolean mPaused;
    private boolean mStreamBegun;
    private boolean mWhole;
    private boolean mEnded;

    Exchange(Entry entry, CallerConnection caller, HttpRequest head, ByteBuf body) {
        mEntry = entry;
        mCaller = caller;
        mHead = head;
        mBody = body;
        mLog = new ExchangeLog(entry.log());
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
            mRequest = CallerRequests.admit(mEntry, mHead, mBody.readableBytes(), mArrivedAt);
            mVersionBegun = mEntry.version();
        } catch (QuilldykeException e) {
            refuse(e.code(), e.retryAfterMillis(), e.getMessage());
            return;
        }
        long left = Math.max(0, mRequest.answerBy() - now());
        mTimeOver = mEntry.loop().schedule(this::onTimeOver, left, TimeUnit.MILLISECONDS);
        mForwarding = Forwarding.of(mRequest, mEntry.book(), mEntry.retries(), mEntry.shutdown());
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
            mForwarding.abandon();
        }
        cancelAttempt();
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
                        : mForwarding.onInstanceEnds();
        cancelAttempt();
        perform(step);
    }

    /** While the caller doesn't read, the target isn't read either: that is no silence of it. */
    void onWritable(boolean writable) {
        mPaused = !writable;
        mHeardAt = now();
        if (mAttempt != null) {
            mAttempt.setReading(writable);
        }
    }

    /** The target is silent to all: what can't go on elsewhere waits for it until its time ends. */
    void onTargetSilent() {
        if (mAttempt != null && !mEnded && mForwarding.isSilenceTelling(now())) {
            giveUp(CutCause.CONTROL, "the target is silent");
        }
    }

    void onTargetLost(String why) {
        if (mAttempt != null && !mEnded) {
            giveUp(CutCause.CONTROL, why);
        }
    }

    /** Leaves a target that is taken for lost. */
    private void giveUp(CutCause cause, String why) {
        cancelAttempt();
        releaseAnswer();
        logAttempt("broken", ResultCode.TARGET_LOST.label() + " " + why);
        perform(mForwarding.onGivenUp(cause, now()));
    }

    /** The target waits for its runs to end, to load weights. */
    void onTargetWaits() {
        if (mAttempt == null || mEnded) {
            return;
        }
        Optional<Step> step = mForwarding.onTargetWaits(now());
        if (step.isPresent()) {
            logAttempt("moved", "the target waits to load weights");
            cancelAttempt();
            releaseAnswer();
            perform(step.get());
        }
    }

    @Override
    public void onUnsent(String why) {
        closeAttempt();
        logAttempt("unsent", why);
        perform(mForwarding.onUnsent(now()));
    }

    @Override
    public void onSending() {
        mForwarding.onSending();
        mSentAt = now();
        mHeardAt = mSentAt;
        watchSilence(mForwarding.silenceMillis());
    }

    @Override
    public void onHead(HttpResponse head) {
        onHeard();
        mAnswerHead = head;
        mAnswer = mEntry.dialect().targets().read(head);
        mAnswer.weights()
                .ifPresent(
                        weights ->
                                mRequest.prompt()
                                        .ifPresent(
                                                prompt ->
                                                        mEntry.book()
                                                                .onWeightsSeen(
                                                                        mChoice.target(),
                                                                        prompt.model(),
                                                                        weights)));
        AnswerHead facts = mAnswer.head();
        if (head.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
            cancelAttempt();
            onBroken(ResultCode.ANSWER_SPOILED, "encoded");
        } else if (facts.isNotRun()) {
            mAttempt.ignoreRest();
            closeAttempt();
            mSentAt = 0;
            logAttempt("refused", "status " + facts.status());
            perform(mForwarding.onAnswer(facts, now()));
        } else if (facts.stream() && facts.isSuccess()) {
            Step step = mForwarding.onAnswer(facts, now());
            if (!(step instanceof Step.PassOn)) {
                cancelAttempt();
                logAttempt("spoiled", "no signature");
                perform(step);
                return;
            }
            mEvents = new EventSplitter(mBody.alloc());
        } else {
            mAnswerBody = mBody.alloc().buffer();
        }
    }

    @Override
    public void onBody(ByteBuf bytes) {
        onHeard();
        if (mEvents != null) {
            passEvents(bytes);
            return;
        }
        if (mAnswerBody.readableBytes() + bytes.readableBytes() > MAX_ANSWER_BYTES) {
            cancelAttempt();
            onBroken(ResultCode.ANSWER_TOO_LARGE, "over " + MAX_ANSWER_BYTES + " bytes");
            return;
        }
        mAnswerBody.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
        closeAttempt();
        if (mEvents != null) {
            endStream();
            return;
        }
        Step step = mForwarding.onAnswer(mAnswer.head(), now());
        if (step instanceof Step.PassOn) {
            mForwarding.onComplete();
            passAnswer();
        } else {
            logAttempt("failed", "status " + mAnswer.head().status());
            releaseAnswer();
            perform(step);
        }
    }

    @Override
    public void onBroken(ResultCode code, String why) {
        closeAttempt();
        releaseAnswer();
        logAttempt("broken", code.label() + " " + why);
        perform(mForwarding.onBroken(code, now()));
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
                                    () -> perform(mForwarding.onWaited(now())),
                                    millis,
                                    TimeUnit.MILLISECONDS);
        } else if (step instanceof Step.Refuse refuse) {
            refuse(refuse.code(), refuse.retryAfterMillis(), refuse.why());
        } else if (step instanceof Step.Fail fail) {
            refuse(fail.code(), 0, "may have run");
        } else if (step instanceof Step.Break broken) {
            logCut(broken);
            mEntry.metrics().onRefused(broken.code());
            mEntry.metrics().onCut(broken.cause());
            end();
            mCaller.abort();
        } else if (step instanceof Step.PassOn) {
            passAnswer();
        }
    }

    private void send(Step.Send send) {
        mChoice = send.choice();
        boolean keyed = !mRequest.route().open() && mEntry.routes().needsKeys();
        if (keyed && !mEntry.isConfirmed()) {
            String age = "age " + mEntry.lease().age(now());
            perform(mForwarding.onUnconfirmed(CallerRequests.UNCONFIRMED_RETRY_MILLIS, age));
            return;
        }
        mAnswer = null;
        mLog.routed(mRequest, mChoice, send.millisLeft());
        mEntry.metrics().onAttempt();
        mEntry.onOpened(mChoice.target(), this);
        mAttempt =
                mEntry.pool()
                        .send(
                                mChoice.target(),
                                mChoice.address(),
                                TargetRequests.of(mEntry.dialect(), mHead, mBody, mRequest, send),
                                id(),
                                this);
    }

    private void onHeard() {
        mHeardAt = now();
        mEntry.book().onHeard(mChoice.target(), mHeardAt);
    }

    private void passEvents(ByteBuf bytes) {
        for (EventSplitter.Event event : mEvents.add(bytes)) {
            if (mEnded) {
                event.bytes().release();
                continue;
            }
            boolean numbered = event.number() != EventSplitter.NO_NUMBER;
            if (numbered && event.number() <= mForwarding.lastEvent()) {
                event.bytes().release();
                breakStream("event " + event.number() + " after " + mForwarding.lastEvent());
                return;
            }
            beginStream();
            notePause();
            mForwarding.onEventPassed(numbered ? event.number() : mForwarding.lastEvent());
            mCaller.write(event.bytes());
        }
        if (!mEnded && mEvents.partBytes() > MAX_EVENT_BYTES) {
            breakStream("an event over " + MAX_EVENT_BYTES + " bytes");
        }
    }

    private void notePause() {
        mLongestPauseMillis = Math.max(mLongestPauseMillis, now() - mEventAt);
        mEventAt = now();
    }

    private void breakStream(String why) {
        cancelAttempt();
        onBroken(ResultCode.ANSWER_SPOILED, why);
    }

    private void endStream() {
        if (mEvents.partBytes() > 0) {
            onBroken(ResultCode.STREAM_BROKEN, "the end of the last event is missing");
            return;
        }
        beginStream();
        mForwarding.onComplete();
        mWhole = true;
        logAnswered();
        end();
        mCaller.endStream();
    }

    /** Sends the head of the first target that answers; one that goes on later adds only events. */
    private void beginStream() {
        if (mStreamBegun) {
            return;
        }
        mStreamBegun = true;
        mFirstHeaders = HopByHop.passedOn(mAnswerHead.headers(), name -> false);
        mFirstEventMillis = now() - mSentAt;
        mEventAt = now();
        mStreamBegunAt = mEventAt;
        mEntry.book().onFirstEvent(mChoice, mFirstEventMillis, now());
        mEntry.metrics().onFirstEvent(mFirstEventMillis, mChoice.expectedMillis());
        mCaller.beginStream(mAnswerHead.status(), mFirstHeaders);
    }

    private void passAnswer() {
        ByteBuf body = mAnswerBody;
        mAnswerBody = null;
        HttpHeaders headers = HopByHop.passedOn(mAnswerHead.headers(), name -> false);
        mWhole = mAnswer.head().isSuccess();
        logAnswered();
        end();
        mCaller.answer(mAnswerHead.status(), headers, body);
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
        Step step = mForwarding.onTimeOver(now());
        cancelAttempt();
        perform(step);
    }

    private void watchSilence(long millis) {
        if (millis == Long.MAX_VALUE) {
            return;
        }
        long wait = Math.max(1, mHeardAt + millis - now());
        mSilence = mEntry.loop().schedule(() -> checkSilence(millis), wait, TimeUnit.MILLISECONDS);
    }

    private void checkSilence(long millis) {
        if (mEnded || mAttempt == null) {
            return;
        }
        if (mPaused || now() - mHeardAt < millis || !mForwarding.isSilenceTelling(now())) {
            watchSilence(Math.max(millis, now() - mHeardAt + SILENCE_STEP_MILLIS));
            return;
        }
        giveUp(CutCause.SILENCE, "silent for " + millis + " ms");
    }

    private void cancelAttempt() {
        if (mAttempt != null) {
            mAttempt.cancel();
        }
        closeAttempt();
    }

    /** The attempt is over, whatever became of it. */
    private void closeAttempt() {
        if (mSilence != null) {
            mSilence.cancel(false);
            mSilence = null;
        }
        if (mAttempt != null) {
            if (mAnswer != null && !mAnswer.head().isNotRun()) {
                mLeft = new ExchangeLog.LeftRun(mChoice.target(), now() - mHeardAt, now());
            }
            mEntry.onClosed(mChoice.target(), this);
            mAttempt = null;
        }
    }

    private void releaseAnswer() {
        if (mAnswerBody != null) {
            mAnswerBody.release();
            mAnswerBody = null;
        }
        if (mEvents != null) {
            mEvents.release();
            mEvents = null;
        }
    }

    private void end() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        noteLasted();
        closeAttempt();
        releaseAnswer();
        mBody.release();
        if (mTimeOver != null) {
            mTimeOver.cancel(false);
        }
        if (mWait != null) {
            mWait.cancel(false);
        }
    }

    /** How long answers last tells what may still be taken when the instance shuts down. */
    private void noteLasted() {
        if (!mStreamBegun && mSentAt == 0) {
            return;
        }
        long millis = now() - (mStreamBegun ? mStreamBegunAt : mSentAt);
        if (mWhole) {
            mEntry.shutdown().onEnded(mRequest, millis);
        } else {
            mEntry.shutdown().onBrokenOff(mRequest, millis);
        }
    }

    private void logAttempt(String outcome, String why) {
        mLog.attemptFailed(id(), mChoice, outcome, why);
    }

    private void logAnswered() {
        long millis = now() - mArrivedAt;
        mEntry.metrics().onAnswered(millis);
        mLog.answered(
                id(),
                mAnswer.head().status(),
                mChoice,
                mFirstEventMillis,
                mLongestPauseMillis,
                mForwarding.lastEvent(),
                millis);
    }

    private void logCut(Step.Break cut) {
        logEnd(cut.code(), "cut after event " + mForwarding.lastEvent());
        mLog.cut(
                mRequest,
                cut,
                mLeft,
                new ExchangeLog.CutState(
                        now(),
                        mForwarding.lastEvent(),
                        mForwarding.runs(),
                        mEntry.retries().left(mRequest.service(), now()),
                        mEntry.lease().age(now()),
                        mVersionBegun,
                        mEntry.version(),
                        mEntry.drainMillis()));
    }

    private void logEnd(ResultCode code, String why) {
        mLog.ended(id(), code, why, mChoice, now() - mArrivedAt);
    }

    private String id() {
        return mRequest == null ? "" : mRequest.id();
    }

    private long now() {
        return mEntry.now();
    }
}
