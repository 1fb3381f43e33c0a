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
package org.quilldyke.gateway.engine;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.quilldyke.ResultCode;
import org.quilldyke.gateway.http.HttpFraming;

/**
 * One connection to a target, which carries one request at a time.
 *
 * <p>Strict, since targets may interrupt answers, send more than one, or send a late one in place
 * of the next: an answer with the id of another request is skipped, an answer without framing is
 * complete only if the target has ended the connection in order and has read the whole request, and
 * the connection isn't used again after either. A request is sent once at most on a connection,
 * since a late copy of the answer to an earlier sending would have the same id; and none is sent
 * after an answer without an id, since a late copy of that would fit any request. Unsolicited bytes
 * close the connection.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {
    /**
     * How long an idle connection is kept if the target sends no keep-alive time-out; common
     * servers keep theirs at least as long.
     */
    private static final long DEFAULT_IDLE_MILLIS = 4000;

    /**
     * Time before the target closes an idle connection in which no request is sent, so that none is
     * in transit at the close.
     */
    private static final long IDLE_MARGIN_MILLIS = 700;

    /** Bytes of the rest of an answer that are ignored; a new connection is cheaper than more. */
    private static final int MAX_IGNORED_BYTES = 64 << 10;

    /** Bytes of answers to other requests that are skipped before the expected one. */
    private static final int MAX_SKIPPED_BYTES = 1 << 20;

    /** Answers to other requests, and informational ones, before the expected one. */
    private static final int MAX_SKIPPED_ANSWERS = 100;

    /** How long the rest of an answer is ignored, or one to another request is skipped. */
    private static final long MAX_UNUSED_MILLIS = 1000;

    /** A reset that follows the end of an answer without framing arrives within this time. */
    private static final long RESET_DELAY_MILLIS = 50;

    /** How long a target may take to read the rest of a request that it has answered. */
    private static final long MAX_UNREAD_MILLIS = 4000;

    /** Bounds the memory for the ids of requests; the connection isn't used for more. */
    private static final int MAX_REQUESTS = 1000;

    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

    private final TargetConnectionPool.PerTargetPool mPool;
    private final Function<HttpResponse, String> mRequestIds;
    private final OrderlyEndDetector mEndDetector = OrderlyEndDetector.create();
    private final AnswerDecoder mDecoder = AnswerDecoder.of(this);

    /** Hash codes of the ids of the requests sent; a collision costs no more than a connection. */
    private final Set<Integer> mSentRequests = new HashSet<>();

    private ChannelHandlerContext mContext;
    private Attempt mAttempt;
    private ChannelFuture mWriteFuture;
    private ReadState mReadState = ReadState.AWAITING_HEAD;
    private boolean mFramed;
    private boolean mConnectionFailed;
    private boolean mListenerFailed;
    private boolean mNotReusable;
    private boolean mAnsweredWithoutId;
    private boolean mChecking;
    private boolean mIncarnationKnown;
    private int mSkippedAnswers;

    /** Bytes of the body that were skipped or ignored since the request was sent. */
    private long mUnusedBytes;

    /** Bounds the time of the answer that is ignored or skipped; null if none is. */
    private Future<?> mUnusedTimer;

    private long mUsableUntil;
    private long mIdleMillis = DEFAULT_IDLE_MILLIS;

    TargetConnection(
            TargetConnectionPool.PerTargetPool pool, Function<HttpResponse, String> requestIds) {
        mPool = pool;
        mRequestIds = requestIds;
    }

    /** Adds the handlers of a new connection. */
    void addHandlers(ChannelPipeline pipeline) {
        pipeline.addLast(mEndDetector, new HttpRequestEncoder(), mDecoder, this);
    }

    /** Sends a request; the connection must be free. */
    void send(Attempt attempt) {
        mAttempt = attempt;
        mReadState = ReadState.AWAITING_HEAD;
        mSkippedAnswers = 0;
        mUnusedBytes = 0;
        if (!attempt.requestId().isEmpty()) {
            mSentRequests.add(attempt.requestId().hashCode());
            mNotReusable |= mSentRequests.size() == MAX_REQUESTS;
        }
        attempt.onConnection(this);
        attempt.listener().onSending();
        mWriteFuture = mContext.writeAndFlush(attempt.request());
    }

    /**
     * Sends a status request, whose answer shows which incarnation the connection leads to; the
     * connection must be free. The answer has no id, but a late copy of it isn't mistaken for
     * another answer, since it has no signature.
     */
    void check(Attempt statusRequest) {
        mChecking = true;
        send(statusRequest);
    }

    /** Records that the connection leads to the incarnation of the target that is known. */
    void onIncarnationKnown() {
        mIncarnationKnown = true;
    }

    /** Returns whether the connection leads to the incarnation of the target that is known. */
    boolean isIncarnationKnown() {
        return mIncarnationKnown;
    }

    /** Adds the connection to the pool, to wait for its first request. */
    void addToPool() {
        mUsableUntil = mPool.now() + mIdleMillis;
        mPool.onFree(this);
    }

    /** Returns whether a request may be sent at {@code now}. */
    boolean isUsable(long now) {
        return mContext.channel().isActive()
                && mAttempt == null
                && !mNotReusable
                && now < mUsableUntil;
    }

    /** Returns whether the answer to a request is distinguishable from late copies of others. */
    boolean canIdentifyAnswer(String requestId) {
        boolean isAmbiguous = mAnsweredWithoutId || mSentRequests.contains(requestId.hashCode());
        return requestId.isEmpty() || !isAmbiguous;
    }

    /** Returns whether a request was sent whose answer isn't complete. */
    boolean isAwaitingAnswer() {
        return mAttempt != null;
    }

    /** Returns whether the answer has no body, whatever its head states. */
    boolean isAnswerWithoutBody() {
        return mAttempt != null && mAttempt.request().method().equals(HttpMethod.HEAD);
    }

    void cancel(Attempt attempt) {
        if (mAttempt == attempt) {
            close();
        }
    }

    /** Reads the rest of an answer that isn't needed, unless it is long or without end. */
    void onRestIgnored(Attempt attempt) {
        if (mAttempt != attempt) {
            return;
        }
        if (mFramed) {
            startUnusedTimer(this::close);
        } else {
            close();
        }
    }

    void setReading(Attempt attempt, boolean reading) {
        if (mAttempt == attempt) {
            mContext.channel().config().setAutoRead(reading);
        }
    }

    void close() {
        mNotReusable = true;
        mContext.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        mContext = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (!mListenerFailed) {
                onObject((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE && mReadState != ReadState.CONFIRMING_END) {
            close();
        }
        ctx.fireUserEventTriggered(event);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            mListenerFailed = true;
            mPool.onInternalError(cause);
        }
        // After a reset, the answer may be incomplete even if its framing says otherwise.
        mConnectionFailed = true;
        ctx.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        Attempt attempt = mAttempt;
        mAttempt = null;
        stopUnusedTimer();
        mPool.onClosed(this);
        if (attempt != null) {
            attempt.listener().onFailed(ResultCode.TARGET_LOST, reasonOfEnd());
        }
    }

    private void startUnusedTimer(Runnable onTimeout) {
        stopUnusedTimer();
        mUnusedTimer =
                mContext.executor().schedule(onTimeout, MAX_UNUSED_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void stopUnusedTimer() {
        if (mUnusedTimer != null) {
            mUnusedTimer.cancel(false);
            mUnusedTimer = null;
        }
    }

    private String reasonOfEnd() {
        if (mListenerFailed) {
            return "an internal error of this instance";
        }
        if (mReadState == ReadState.CONFIRMING_END) {
            return "connection closed before the request was read";
        }
        return mConnectionFailed ? "connection reset" : "connection closed";
    }

    private void onObject(HttpObject object) {
        if (mAttempt == null) {
            close();
            return;
        }
        if (object.decoderResult().isFailure()) {
            onMalformed(object.decoderResult().cause());
            return;
        }
        if (object instanceof HttpResponse head) {
            onHead(head);
        }
        if (mAttempt != null && object instanceof HttpContent content) {
            onContent(content);
        }
    }

    private void onMalformed(Throwable cause) {
        boolean isCut = cause instanceof PrematureChannelClosureException;
        if (!isCut) {
            mAttempt.listener().onMalformed();
        }
        if (mAttempt != null) {
            fail("malformed HTTP: " + cause);
        }
    }

    private void onHead(HttpResponse head) {
        if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            fail("a change of protocol that wasn't requested");
            return;
        }
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            onSkippedAnswer();
            return;
        }
        String id = mRequestIds.apply(head);
        mFramed = HttpFraming.isFramed(head, mAttempt.request().method());
        boolean mismatched = !id.isEmpty() && !id.equals(mAttempt.requestId());
        if (mismatched) {
            onOtherAnswer(id);
            return;
        }
        mReadState = ReadState.READING_BODY;
        mAnsweredWithoutId |= id.isEmpty() && !mChecking;
        mNotReusable |= id.isEmpty() && !mAttempt.requestId().isEmpty();
        mNotReusable |= !HttpUtil.isKeepAlive(head) || !mFramed;
        applyKeepAliveTimeout(head);
        mAttempt.listener().onHead(head);
    }

    private void onSkippedAnswer() {
        mReadState = ReadState.SKIPPING_ANSWER;
        mSkippedAnswers++;
        if (mSkippedAnswers > MAX_SKIPPED_ANSWERS) {
            fail("over " + MAX_SKIPPED_ANSWERS + " answers before the expected one");
        }
    }

    /** Skips a late answer to an earlier request; the expected one may follow. */
    private void onOtherAnswer(String id) {
        mPool.onAnswerSkipped(id, mAttempt.requestId());
        mNotReusable = true;
        if (mFramed) {
            String reason = "an answer to another request over " + MAX_UNUSED_MILLIS + " ms";
            startUnusedTimer(() -> fail(reason));
            onSkippedAnswer();
        } else {
            fail("an answer to another request, up to the end of the connection");
        }
    }

    private void onContent(HttpContent content) {
        checkUnused(content.content().readableBytes());
        if (mAttempt == null) {
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (mReadState == ReadState.READING_BODY && content.content().isReadable()) {
            mAttempt.listener().onBody(content.content());
        }
        if (!last || mAttempt == null) {
            return;
        }
        if (mReadState == ReadState.SKIPPING_ANSWER) {
            stopUnusedTimer();
            mReadState = ReadState.AWAITING_HEAD;
            return;
        }
        if (mConnectionFailed) {
            // The answer ended only because the connection did.
            return;
        }
        if (mFramed) {
            finish();
        } else if (mEndDetector.hasEnded()) {
            finishWhenConfirmed();
        }
    }

    private void checkUnused(int bytes) {
        if (mAttempt.isRestIgnored()) {
            mUnusedBytes += bytes;
            if (mUnusedBytes > MAX_IGNORED_BYTES) {
                close();
            }
        } else if (mReadState == ReadState.SKIPPING_ANSWER) {
            mUnusedBytes += bytes;
            if (mUnusedBytes > MAX_SKIPPED_BYTES) {
                fail("over " + MAX_SKIPPED_BYTES + " bytes of answers to other requests");
            }
        }
    }

    /**
     * Completes an answer without framing once the whole request is written and the connection is
     * still intact a moment later. If the target had not read all of the request, its system resets
     * the connection right after the end, or at further data.
     */
    private void finishWhenConfirmed() {
        Attempt attempt = mAttempt;
        mReadState = ReadState.CONFIRMING_END;
        mWriteFuture.addListener(
                written -> {
                    if (written.isSuccess() && mAttempt == attempt) {
                        mContext.executor()
                                .schedule(
                                        () -> finishUnlessReset(attempt),
                                        RESET_DELAY_MILLIS,
                                        TimeUnit.MILLISECONDS);
                    }
                });
    }

    private void finishUnlessReset(Attempt attempt) {
        if (mAttempt != attempt) {
            return;
        }
        if (((TargetSocketChannel) mContext.channel()).hasFailed()) {
            close();
        } else {
            finish();
        }
    }

    private void finish() {
        Attempt attempt = mAttempt;
        mAttempt = null;
        mChecking = false;
        stopUnusedTimer();
        mContext.channel().config().setAutoRead(true);
        mUsableUntil = mPool.now() + mIdleMillis;
        if (mNotReusable || mDecoder.hasDataLeft() || attempt.isCancelled()) {
            close();
        } else {
            releaseWhenWritten();
        }
        attempt.listener().onComplete();
    }

    /**
     * The target may have answered before it has read the whole request, so the rest of it is
     * written before the connection is used again. If the target doesn't read it, the connection is
     * closed, which releases the request.
     */
    private void releaseWhenWritten() {
        if (!mWriteFuture.isDone()) {
            Future<?> timer =
                    mContext.executor()
                            .schedule(this::close, MAX_UNREAD_MILLIS, TimeUnit.MILLISECONDS);
            mWriteFuture.addListener(written -> timer.cancel(false));
        }
        mWriteFuture.addListener(
                written -> {
                    if (written.isSuccess() && mContext.channel().isActive()) {
                        mPool.onFree(this);
                    } else {
                        close();
                    }
                });
    }

    private void fail(String reason) {
        Attempt attempt = mAttempt;
        mAttempt = null;
        stopUnusedTimer();
        close();
        attempt.listener().onFailed(ResultCode.ANSWER_SPOILED, reason);
    }

    private void applyKeepAliveTimeout(HttpResponse head) {
        String value = head.headers().get(HttpHeaderNames.KEEP_ALIVE);
        Matcher timeout = value == null ? null : KEEP_ALIVE_TIMEOUT.matcher(value);
        if (timeout != null && timeout.find()) {
            mIdleMillis = Long.parseLong(timeout.group(1)) * 1000 - IDLE_MARGIN_MILLIS;
        }
    }

    /** What is read next. */
    private enum ReadState {
        AWAITING_HEAD,
        READING_BODY,
        /** The rest of an answer to another request, or of an informational one. */
        SKIPPING_ANSWER,
        /** Nothing: the answer has ended, but the target may not have read the whole request. */
        CONFIRMING_END
    }
}
