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
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.caller.ShutdownAdmission;
import org.quilldyke.caller.Step;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.gateway.http.RequestFraming;

/**
 * One connection of a caller: reads a complete request, has it answered, then handles the next.
 *
 * <p>Messages that arrive while a request is answered are queued; reading continues meanwhile, so
 * that a disconnect of the caller is detected.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Number of queued messages of later requests at which reading pauses. */
    private static final int MAX_QUEUED_MESSAGES = 64;

    /** Time within which a caller that has just connected sends its first request. */
    private static final long FIRST_REQUEST_MILLIS = 500;

    private final EntryContext mEntry;
    private final Deque<Object> mQueuedMessages = new ArrayDeque<>();
    private ChannelHandlerContext mContext;
    private HttpRequest mHead;
    private ByteBuf mBody;
    private Exchange mExchange;
    private long mOpenedAt;
    private ChannelFuture mLastWrite;
    private long mLongestWriteMillis;
    private boolean mKeepAlive = true;
    private boolean mClosing;
    private ScheduledFuture<?> mTimer;

    CallerConnection(EntryContext entry) {
        mEntry = entry;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        mContext = ctx;
        mOpenedAt = mEntry.now();
        startTimer(mEntry.limits().idleTimeoutMillis(), this::onIdle);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (mClosing) {
            ReferenceCountUtil.release(message);
        } else if (mExchange != null || !mQueuedMessages.isEmpty() || !ctx.channel().isWritable()) {
            // Preserves the order, also before processQueuedMessages() is called after an answer.
            mQueuedMessages.add(message);
            if (mQueuedMessages.size() >= MAX_QUEUED_MESSAGES) {
                ctx.channel().config().setAutoRead(false);
            }
        } else {
            onMessage(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        mClosing = true;
        stopTimer();
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
        while (!mQueuedMessages.isEmpty()) {
            ReferenceCountUtil.release(mQueuedMessages.poll());
        }
        if (mExchange != null) {
            Exchange exchange = mExchange;
            mExchange = null;
            exchange.onCallerDisconnected();
        }
        mEntry.metrics().onCallerClosed();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (mExchange != null) {
            mExchange.onWritable(ctx.channel().isWritable());
        } else {
            ctx.executor().execute(this::processQueuedMessages);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            mEntry.log().fault(cause, "while reading from a caller");
        }
        // An IOException is a reset by the caller; channelInactive follows.
        ctx.close();
    }

    /** Returns whether a request is read, queued or answered, or an answer isn't written yet. */
    boolean isBusy() {
        return mExchange != null
                || mHead != null
                || !mQueuedMessages.isEmpty()
                || isWritingAnswer();
    }

    /** Returns whether a complete answer is still being written to a caller that reads slowly. */
    private boolean isWritingAnswer() {
        return mLastWrite != null && !mLastWrite.isDone();
    }

    /**
     * Handles the shutdown deadline: terminates an open request, logs a complete answer that the
     * caller has only partly read, or else closes the connection.
     */
    void onShutdownDeadline() {
        if (mExchange != null) {
            mExchange.onShutdownDeadline();
        } else if (mHead != null) {
            refuse(QuilldykeException.notRun(ResultCode.SHUTTING_DOWN, "amid the request"));
        } else if (isWritingAnswer()) {
            mEntry.log()
                    .write(
                            Event.REFUSED,
                            "code",
                            ResultCode.CUT_BY_SHUTDOWN.label(),
                            "why",
                            "the caller has not read the end of its answer");
        } else {
            // A request that arrived now would run, and its answer would be lost with the process.
            close();
        }
    }

    /** Closes the connection if it is idle, unless its first request may be in transit. */
    void closeIfIdle() {
        boolean isNew = mLastWrite == null && mEntry.now() - mOpenedAt < FIRST_REQUEST_MILLIS;
        if (!isBusy() && !isNew) {
            close();
        }
    }

    private void close() {
        mClosing = true;
        mContext.close();
    }

    /** Sends a complete answer. */
    void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().add(headers);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        setCloseIfLast(response.headers());
        setLastWrite(mContext.writeAndFlush(response));
        onAnswered();
    }

    /**
     * Sends an answer of the instance itself: the request is refused or has failed.
     *
     * @param retryAfterMillis when the caller may retry, 0 if unknown
     */
    void answer(ResultCode code, long retryAfterMillis) {
        String text = code.label() + " " + code.meaning() + "\n";
        HttpHeaders headers =
                new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER)
                        .headers();
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        if (retryAfterMillis > 0) {
            headers.set(
                    HttpHeaderNames.RETRY_AFTER,
                    String.format("%d.%03d", retryAfterMillis / 1000, retryAfterMillis % 1000));
        }
        answer(
                HttpResponseStatus.valueOf(code.httpStatus()),
                headers,
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    /** Starts an answer whose length isn't known. */
    void beginStream(HttpResponseStatus status, HttpHeaders headers) {
        DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        response.headers().add(headers);
        if (mHead.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            mKeepAlive = false;
        } else {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        setCloseIfLast(response.headers());
        mContext.write(response);
    }

    /** Sends a part of a stream. */
    void write(ByteBuf bytes) {
        mContext.writeAndFlush(new DefaultHttpContent(bytes));
    }

    /** Ends a complete stream. */
    void endStream() {
        setLastWrite(mContext.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
        onAnswered();
    }

    private void setLastWrite(ChannelFuture write) {
        long since = mEntry.now();
        mLastWrite = write;
        write.addListener(
                done -> mLongestWriteMillis = Math.max(mLongestWriteMillis, mEntry.now() - since));
    }

    /** Closes the connection during an answer, so that the caller sees it as incomplete. */
    void abort() {
        mExchange = null;
        mClosing = true;
        if (mHead != null && mHead.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            // Without chunks only a reset distinguishes an incomplete answer from a complete one.
            mContext.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        }
        mContext.close();
    }

    private void onMessage(Object message) {
        try {
            if (message instanceof HttpRequest head) {
                onHead(head);
            }
            if (message instanceof HttpContent content && mHead != null) {
                onContent(content);
            }
        } catch (QuilldykeException e) {
            refuse(e);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(HttpRequest head) throws QuilldykeException {
        mHead = head;
        mKeepAlive = HttpUtil.isKeepAlive(head);
        RequestFraming.checkHead(head, mEntry.limits().maxBodyBytes());
        startTimer(mEntry.limits().idleTimeoutMillis(), this::onRequestTimeout);
        mBody = mContext.alloc().buffer();
        if (HttpUtil.is100ContinueExpected(head)) {
            mContext.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private void onContent(HttpContent content) throws QuilldykeException {
        RequestFraming.checkDecoded(content.decoderResult());
        if (mBody.readableBytes() + content.content().readableBytes()
                > mEntry.limits().maxBodyBytes()) {
            throw QuilldykeException.notRun(ResultCode.BODY_TOO_LARGE, "chunked body");
        }
        mBody.writeBytes(content.content());
        if (content instanceof LastHttpContent) {
            stopTimer();
            ByteBuf body = mBody;
            mBody = null;
            mExchange = new Exchange(mEntry, this, mHead, body);
            mExchange.start();
        }
    }

    /**
     * Checks that the caller is expected to read one more answer before the shutdown deadline.
     *
     * @throws QuilldykeException {@link ResultCode#SHUTTING_DOWN} if not
     */
    void checkReadInTime() throws QuilldykeException {
        ShutdownAdmission admission = mEntry.shutdownAdmission();
        if (!admission.admitsAnswer(mLongestWriteMillis, mEntry.now())) {
            Step.Refuse refusal = admission.refusal(mEntry.now());
            throw QuilldykeException.notRunRetryAfter(
                    refusal.code(), "the caller reads slowly", refusal.retryAfterMillis());
        }
    }

    private void refuse(QuilldykeException e) {
        mEntry.log().write(Event.REFUSED, "code", e.code().label(), "detail", e.getMessage());
        mEntry.metrics().onRefused(e.code());
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
        // The end of a malformed request isn't known, so nothing after it can be parsed.
        mKeepAlive = false;
        answer(e.code(), e.retryAfterMillis());
    }

    private void setCloseIfLast(HttpHeaders headers) {
        mKeepAlive &= !closesForShutdown();
        if (!mKeepAlive) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void onAnswered() {
        mExchange = null;
        mHead = null;
        stopTimer();
        if (isLastAnswer()) {
            mClosing = true;
            mLastWrite.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        startTimer(mEntry.limits().idleTimeoutMillis(), this::onIdle);
        mContext.channel().config().setAutoRead(true);
        mContext.executor().execute(this::processQueuedMessages);
    }

    /**
     * Evaluated at the end of each answer: the shutdown may have started after the head of a
     * stream, which then announced a persistent connection. Requests that are queued behind the
     * stream are still answered.
     */
    private boolean isLastAnswer() {
        return !mKeepAlive || closesForShutdown();
    }

    /**
     * Returns whether a shutdown closes the connection after this answer. Queued requests keep it
     * open: they were sent before the caller could know of the close.
     */
    private boolean closesForShutdown() {
        return mEntry.isDraining() && mQueuedMessages.isEmpty();
    }

    /**
     * Handles queued messages while the channel is writable. Answers are buffered in full, so the
     * next request isn't handled before the caller has read the previous answer.
     */
    private void processQueuedMessages() {
        while (mExchange == null && !mQueuedMessages.isEmpty() && mContext.channel().isWritable()) {
            Object message = mQueuedMessages.poll();
            if (mClosing) {
                ReferenceCountUtil.release(message);
            } else {
                onMessage(message);
            }
        }
        if (mQueuedMessages.isEmpty()) {
            mContext.channel().config().setAutoRead(true);
        }
    }

    private void onIdle() {
        if (isWritingAnswer()) {
            startTimer(mEntry.limits().idleTimeoutMillis(), this::onIdle);
            return;
        }
        mClosing = true;
        mContext.close();
    }

    private void onRequestTimeout() {
        refuse(QuilldykeException.notRun(ResultCode.REQUEST_TOO_SLOW, "body"));
    }

    private void startTimer(long millis, Runnable task) {
        stopTimer();
        mTimer = mContext.executor().schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    private void stopTimer() {
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }
}
