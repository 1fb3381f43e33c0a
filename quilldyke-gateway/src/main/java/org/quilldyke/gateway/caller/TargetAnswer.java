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
import io.netty.handler.codec.http.HttpUtil;
import org.quilldyke.ResultCode;
import org.quilldyke.caller.AnswerHead;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.gateway.dialect.AnswerFacts;
import org.quilldyke.gateway.dialect.LimitFact;
import org.quilldyke.gateway.engine.Attempt;
import org.quilldyke.gateway.engine.AttemptListener;
import org.quilldyke.routing.Choice;
import org.quilldyke.routing.AdvertisedLimit;

/** What one target sends for a request, read for the {@link Exchange} that asked it. */
final class TargetAnswer implements AttemptListener {
    /** An answer that isn't a stream is held whole; larger ones are taken for spoiled. */
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final long NO_EVENT = -1;

    private final Exchange mExchange;
    private final Entry mEntry;
    private final ForwardRequest mRequest;
    private final Choice mChoice;
    private final ByteBufAllocator mAllocator;
    private Attempt mAttempt;
    private HttpResponse mHead;
    private AnswerFacts mFacts;
    private ByteBuf mBody;
    private EventSplitter mEvents;
    private long mSentAt;
    private long mHeardAt;

    /** When its last event came; the next one tells no pace if there was none, or a pause. */
    private long mEventAt = NO_EVENT;

    TargetAnswer(
            Exchange exchange,
            Entry entry,
            ForwardRequest request,
            Choice choice,
            ByteBufAllocator allocator) {
        mExchange = exchange;
        mEntry = entry;
        mRequest = request;
        mChoice = choice;
        mAllocator = allocator;
        mHeardAt = entry.now();
    }

    /** Sends the request. */
    void start(FullHttpRequest out) {
        mEntry.onOpened(mChoice.target(), mExchange);
        mAttempt =
                mEntry.pool().send(mChoice.target(), mChoice.address(), out, mRequest.id(), this);
    }

    /** Wants no more of the answer; the target learns it by a closed connection. */
    void cancel() {
        if (mAttempt != null) {
            mAttempt.cancel();
        }
        close();
        release();
    }

    /** Pauses or resumes the reading: while the caller doesn't read, no silence is the target's. */
    void setReading(boolean reading) {
        mHeardAt = mEntry.now();
        mEventAt = NO_EVENT;
        if (mAttempt != null) {
            mAttempt.setReading(reading);
        }
    }

    Choice choice() {
        return mChoice;
    }

    boolean isAt(String target) {
        return mChoice.target().equals(target);
    }

    /** Returns when the first byte was sent. */
    long sentAt() {
        return mSentAt;
    }

    /** Returns when the target was heard last on this request, or else was chosen. */
    long heardAt() {
        return mHeardAt;
    }

    /** Returns whether the target says that it runs the request, or has run it. */
    boolean hasBegun() {
        return mFacts != null && !mFacts.head().isNotRun();
    }

    AnswerHead facts() {
        return mFacts.head();
    }

    HttpResponseStatus status() {
        return mHead.status();
    }

    /** Returns the headers for the caller. */
    HttpHeaders headers() {
        return HopByHop.passedOn(mHead.headers(), name -> false);
    }

    /** Returns the whole body of an answer that isn't a stream; the caller releases it. */
    ByteBuf takeBody() {
        ByteBuf body = mBody;
        mBody = null;
        return body;
    }

    @Override
    public void onUnsent(String why) {
        close();
        mExchange.onUnsent(this, why);
    }

    @Override
    public void onSending() {
        mSentAt = mEntry.now();
        mHeardAt = mSentAt;
        mExchange.onSending(this);
    }

    @Override
    public void onHead(HttpResponse head) {
        mHead = head;
        mFacts = mEntry.dialect().targets().read(head);
        if (!facts().wrongTarget()) {
            // Else somebody else may have answered: no sign that this target is there.
            onHeard();
        }
        noteWeights();
        noteLimit();
        if (head.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
            giveUp(ResultCode.ANSWER_SPOILED, "encoded");
        } else if (facts().isNotRun()) {
            mAttempt.ignoreRest();
            close();
            mExchange.onRefused(this);
        } else if (facts().stream() && facts().isSuccess()) {
            mEvents = new EventSplitter(mAllocator);
            mExchange.onStream(this);
        } else {
            mBody = mAllocator.buffer();
        }
    }

    @Override
    public void onBody(ByteBuf bytes) {
        onHeard();
        if (mEvents != null) {
            onEventBytes(bytes);
        } else if (mBody.readableBytes() + bytes.readableBytes() > MAX_ANSWER_BYTES) {
            giveUp(ResultCode.ANSWER_TOO_LARGE, "over " + MAX_ANSWER_BYTES + " bytes");
        } else {
            mBody.writeBytes(bytes);
        }
    }

    @Override
    public void onEnd() {
        if (!isFramed()) {
            // Its end looks like that of its target.
            onRunLost();
        } else if (facts().isSuccess() && facts().isGenuine()) {
            mEntry.crashes().onCompleted(mRequest.fingerprint());
        }
        close();
        if (mEvents == null) {
            mExchange.onWhole(this);
        } else if (mEvents.partBytes() > 0) {
            onBroken(ResultCode.STREAM_BROKEN, "the end of the last event is missing");
        } else {
            release();
            mExchange.onStreamEnd(this);
        }
    }

    @Override
    public void onBroken(ResultCode code, String why) {
        if (code == ResultCode.TARGET_LOST) {
            onRunLost();
        }
        close();
        release();
        mExchange.onBroken(this, code, why);
    }

    /** Takes the answer for none, and says so. */
    void giveUp(ResultCode code, String why) {
        cancel();
        mExchange.onBroken(this, code, why);
    }

    private void onRunLost() {
        mEntry.crashes().onRunLost(mChoice.target(), mRequest.fingerprint());
    }

    private boolean isFramed() {
        return HttpUtil.isTransferEncodingChunked(mHead) || HttpUtil.isContentLengthSet(mHead);
    }

    private void onEventBytes(ByteBuf bytes) {
        for (EventSplitter.Event event : mEvents.add(bytes)) {
            if (mAttempt == null) {
                event.bytes().release();
            } else {
                notePace();
                mExchange.onEvent(this, event);
            }
        }
        if (mAttempt != null && mEvents.partBytes() > MAX_EVENT_BYTES) {
            giveUp(ResultCode.ANSWER_SPOILED, "an event over " + MAX_EVENT_BYTES + " bytes");
        }
    }

    private void notePace() {
        if (mEventAt != NO_EVENT) {
            mEntry.book().onEvent(mChoice.target(), mHeardAt - mEventAt, mHeardAt);
        }
        mEventAt = mHeardAt;
    }

    private void onHeard() {
        mHeardAt = mEntry.now();
        mEntry.book().onDataReceived(mChoice.target(), mHeardAt);
    }

    private void noteWeights() {
        if (mFacts.weights().isPresent() && mRequest.prompt().isPresent()) {
            String model = mRequest.prompt().get().model();
            long weights = mFacts.weights().getAsLong();
            mEntry.book().onWeightsReported(mChoice.target(), model, weights);
        }
    }

    /** Only who has run a request says by naming no limit that there is none. */
    private void noteLimit() {
        LimitFact limit = mFacts.limit();
        if (limit.isRead() && (limit.perSecond().isPresent() || hasRun())) {
            double perSecond = limit.perSecond().orElse(AdvertisedLimit.NONE);
            mEntry.onLimitHeard(new AdvertisedLimit(mChoice.target(), perSecond, mHeardAt));
        }
    }

    private boolean hasRun() {
        return facts().isGenuine() && !facts().isNotRun();
    }

    /** The attempt is over, whatever became of it. */
    private void close() {
        if (mAttempt != null) {
            mAttempt = null;
            mEntry.onClosed(mChoice.target(), mExchange);
        }
    }

    private void release() {
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
        if (mEvents != null) {
            mEvents.release();
            mEvents = null;
        }
    }
}
