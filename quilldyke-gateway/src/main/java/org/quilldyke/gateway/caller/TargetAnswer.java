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
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.quilldyke.ResultCode;
import org.quilldyke.caller.AnswerHead;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.gateway.dialect.AnswerFacts;
import org.quilldyke.gateway.dialect.LimitFact;
import org.quilldyke.gateway.engine.AnswerMemory;
import org.quilldyke.gateway.engine.AttemptListener;
import org.quilldyke.gateway.engine.OpenAttempt;
import org.quilldyke.gateway.http.HopByHopHeaders;
import org.quilldyke.gateway.http.HttpFraming;
import org.quilldyke.rollout.RequestEvidence;
import org.quilldyke.routing.AdvertisedLimit;
import org.quilldyke.routing.Choice;

/** Reads the answer of one target and reports it to the {@link Exchange} that sent the request. */
final class TargetAnswer implements AttemptListener {
    /** Answers that aren't streams are buffered in full; larger ones are rejected. */
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final long NO_EVENT = -1;

    private final Exchange mExchange;
    private final EntryContext mEntry;
    private final ForwardRequest mRequest;
    private final Choice mChoice;
    private final ByteBufAllocator mAllocator;
    private final AnswerEvidence mEvidence;
    private final AnswerMemory.Share mMemory;
    private OpenAttempt mAttempt;
    private HttpResponse mHead;
    private AnswerFacts mFacts;
    private ByteBuf mBody;
    private EventSplitter mEventSplitter;
    private long mSentAt;
    private long mLastDataAt;
    private boolean mReading = true;

    /** When the last event arrived; {@link #NO_EVENT} at the start and after a pause in reading. */
    private long mLastEventAt = NO_EVENT;

    TargetAnswer(
            Exchange exchange,
            EntryContext entry,
            ForwardRequest request,
            Choice choice,
            Optional<RequestEvidence> evidence,
            ByteBufAllocator allocator) {
        mExchange = exchange;
        mEntry = entry;
        mRequest = request;
        mChoice = choice;
        mAllocator = allocator;
        mEvidence = new AnswerEvidence(entry, evidence, choice);
        mMemory = entry.answerMemory().open(this::discard);
        mLastDataAt = entry.now();
    }

    /** Sends the request. */
    void start(FullHttpRequest out) {
        mEntry.onAttemptOpened(mChoice.target(), mExchange);
        mAttempt = mEntry.send(mChoice, out, mRequest, this);
    }

    /** Cancels the attempt; the closed connection notifies the target. */
    void cancel() {
        mEvidence.onCancelled(mReading ? mLastDataAt : mEntry.now());
        if (mAttempt != null) {
            mAttempt.cancel();
        }
        closeAttempt();
        releaseBuffers();
    }

    /** Pauses or resumes reading; a pause doesn't count as time without data. */
    void setReading(boolean reading) {
        mReading = reading;
        mLastDataAt = mEntry.now();
        mLastEventAt = NO_EVENT;
        if (mAttempt != null) {
            mAttempt.setReading(reading);
        }
    }

    Choice choice() {
        return mChoice;
    }

    boolean isFrom(String target) {
        return mChoice.target().equals(target);
    }

    /** Returns when the first byte was sent. */
    long sentAt() {
        return mSentAt;
    }

    /**
     * Returns since when data is awaited: when the last data arrived, the request was sent, or
     * reading was paused or resumed, whichever was last; until then, when the target was chosen.
     */
    long lastDataAt() {
        return mLastDataAt;
    }

    /** Returns whether the answer says that the target runs the request or has run it. */
    boolean hasStartedRun() {
        return mFacts != null && !mFacts.head().isNotRun();
    }

    AnswerHead answerHead() {
        return mFacts.head();
    }

    HttpResponseStatus status() {
        return mHead.status();
    }

    /** Returns the status for the log, with a note if it looks like a refusal but is none. */
    String statusText() {
        String text = "status " + answerHead().status();
        return answerHead().isUnconfirmedRefusal() ? text + ", may have run" : text;
    }

    /** Returns the headers for the caller. */
    HttpHeaders headers() {
        return HopByHopHeaders.endToEnd(mHead.headers(), name -> false);
    }

    /** Returns the body of an answer that isn't a stream; the calling code releases it. */
    ByteBuf takeBody() {
        ByteBuf body = mBody;
        mBody = null;
        mMemory.release();
        return body;
    }

    @Override
    public void onUnsent(String reason) {
        closeAttempt();
        mExchange.onUnsent(this, reason);
    }

    @Override
    public void onSending() {
        mSentAt = mEntry.now();
        mLastDataAt = mSentAt;
        mEvidence.onSending();
        mExchange.onSending(this);
    }

    @Override
    public void onHead(HttpResponse head) {
        mHead = head;
        mFacts = mEntry.dialect().targets().read(head);
        if (!answerHead().wrongTarget()) {
            // Otherwise another process may have answered, which doesn't show that the target
            // responds.
            recordLiveness();
        }
        recordWeights();
        recordLimit();
        mEntry.onNotice(mChoice.target(), mFacts.notice());
        mEvidence.onHead(answerHead());
        if (head.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
            fail(ResultCode.ANSWER_SPOILED, "encoded content");
        } else if (answerHead().isNotRun()) {
            mAttempt.ignoreRest();
            closeAttempt();
            mExchange.onRefused(this);
        } else if (answerHead().stream() && answerHead().isSuccess()) {
            mEventSplitter = new EventSplitter(mAllocator);
            mExchange.onStreamStart(this);
        } else {
            mBody = mAllocator.buffer();
        }
    }

    @Override
    public void onBody(ByteBuf bytes) {
        recordLiveness();
        if (mEventSplitter != null) {
            onEventBytes(bytes);
        } else if (mBody.readableBytes() + bytes.readableBytes() > MAX_ANSWER_BYTES) {
            fail(ResultCode.ANSWER_TOO_LARGE, "over " + MAX_ANSWER_BYTES + " bytes");
        } else {
            mBody.writeBytes(bytes);
            mMemory.set(mBody.capacity());
        }
    }

    @Override
    public void onComplete() {
        recordEndOfRun();
        closeAttempt();
        if (mEventSplitter == null) {
            mEvidence.onComplete(answerHead());
            mExchange.onCompleteAnswer(this);
        } else if (mEventSplitter.incompleteBytes() > 0) {
            onFailed(ResultCode.STREAM_BROKEN, "the end of the last event is missing");
        } else {
            mEvidence.onComplete(answerHead());
            releaseBuffers();
            mExchange.onStreamEnd(this);
        }
    }

    @Override
    public void onFailed(ResultCode code, String reason) {
        if (code == ResultCode.TARGET_LOST) {
            onRunDisconnected();
        }
        mEvidence.onFailed();
        closeAttempt();
        releaseBuffers();
        mExchange.onFailed(this, code, reason);
    }

    /** Cancels the attempt and reports it as failed. */
    void fail(ResultCode code, String reason) {
        mEvidence.onFailed();
        cancel();
        mExchange.onFailed(this, code, reason);
    }

    private void recordEndOfRun() {
        boolean isComplete =
                answerHead().isSuccess()
                        && answerHead().isGenuine()
                        && (mEventSplitter == null || mEventSplitter.incompleteBytes() == 0);
        CrashDetector crashDetector = mEntry.crashDetector();
        boolean isFramed = HttpFraming.isFramed(mHead);
        if (isFramed && isComplete) {
            crashDetector.onRunCompleted(mRequest.suspectFingerprints());
        } else if (!isFramed && isComplete) {
            // A complete answer looks like one that was truncated by a crash of the target.
            crashDetector.onUnframedRunEnded(mChoice.target(), mRequest.suspectFingerprints());
        } else if (!isFramed) {
            onRunDisconnected();
        }
    }

    private void onRunDisconnected() {
        mEntry.crashDetector().onRunDisconnected(mChoice.target(), mRequest.suspectFingerprints());
    }

    private void onEventBytes(ByteBuf bytes) {
        for (EventSplitter.Event event : mEventSplitter.add(bytes)) {
            if (mAttempt == null) {
                event.bytes().release();
            } else {
                recordEventInterval();
                mEvidence.onEvent();
                mExchange.onEvent(this, event);
            }
        }
        if (mAttempt == null) {
            return;
        }
        if (mEventSplitter.incompleteBytes() > MAX_EVENT_BYTES) {
            fail(ResultCode.ANSWER_SPOILED, "an event over " + MAX_EVENT_BYTES + " bytes");
        } else {
            mMemory.set(mEventSplitter.incompleteBytes());
        }
    }

    private void discard() {
        fail(ResultCode.ANSWER_TOO_LARGE, "too many bytes of incomplete answers");
    }

    private void recordEventInterval() {
        if (mLastEventAt != NO_EVENT) {
            mEntry.targetSelector()
                    .onEvent(mChoice.target(), mLastDataAt - mLastEventAt, mLastDataAt);
        }
        mLastEventAt = mLastDataAt;
    }

    private void recordLiveness() {
        mLastDataAt = mEntry.now();
        mEntry.targetSelector().onDataReceived(mChoice.target(), mLastDataAt);
    }

    private void recordWeights() {
        if (mFacts.weights().isPresent() && mRequest.prompt().isPresent()) {
            String model = mRequest.prompt().get().model();
            long weights = mFacts.weights().getAsLong();
            mEntry.targetSelector().onWeightsReported(mChoice.target(), model, weights);
        }
    }

    /**
     * Records the limit in the answer. An answer without one means that the target has no limit,
     * but only if the request has run.
     */
    private void recordLimit() {
        LimitFact limit = mFacts.limit();
        if (limit.isRead() && (limit.perSecond().isPresent() || hasRun())) {
            double perSecond = limit.perSecond().orElse(AdvertisedLimit.NONE);
            mEntry.onLimitInAnswer(new AdvertisedLimit(mChoice.target(), perSecond, mLastDataAt));
        }
    }

    private boolean hasRun() {
        AnswerHead head = answerHead();
        return head.isGenuine() && !head.isNotRun() && !head.isUnconfirmedRefusal();
    }

    /** Removes the attempt from the open ones, successful or not. */
    private void closeAttempt() {
        if (mAttempt != null) {
            mAttempt = null;
            mEntry.onAttemptClosed(mChoice.target(), mExchange);
        }
    }

    private void releaseBuffers() {
        mMemory.release();
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
        if (mEventSplitter != null) {
            mEventSplitter.release();
            mEventSplitter = null;
        }
    }
}
