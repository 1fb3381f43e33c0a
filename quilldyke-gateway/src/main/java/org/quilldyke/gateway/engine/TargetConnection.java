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
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.quilldyke.ResultCode;
import org.quilldyke.gateway.dialect.TargetDialect;

/**
 * One connection to a target, which carries one request at a time.
 *
 * <p>Strict, since targets may break off answers, send more than one, or send a late one where the
 * next is due: an answer counts only if it is framed, whole and bears the request's id. Bytes that
 * no request waits for end the connection.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {
    /** How long a connection is kept for which the target names no time; a usual server's least. */
    private static final long IDLE_MILLIS = 4000;

    /** A kept connection isn't used this close to its end, so that requests don't cross it. */
    private static final long IDLE_MARGIN_MILLIS = 700;

    private static final Pattern TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

    private final TargetPool.Slot mSlot;
    private final TargetDialect mDialect;
    private ChannelHandlerContext mContext;
    private Attempt mAttempt;
    private ChannelFuture mWritten;
    private Part mPart = Part.HEAD;
    private boolean mReset;
    private boolean mFault;
    private boolean mLast;
    private long mUsableUntil;
    private long mIdleMillis = IDLE_MILLIS;

    TargetConnection(TargetPool.Slot slot, TargetDialect dialect) {
        mSlot = slot;
        mDialect = dialect;
    }

    /** Sends a request; the connection must be free. */
    void send(Attempt attempt) {
        mAttempt = attempt;
        mPart = Part.HEAD;
        attempt.onConnection(this);
        attempt.listener().onSending();
        mWritten = mContext.writeAndFlush(attempt.request());
    }

    /** Waits for its first request. */
    void keep() {
        mUsableUntil = mSlot.now() + mIdleMillis;
        mSlot.onFree(this);
    }

    /** Returns whether a request may be sent at {@code now}. */
    boolean isUsable(long now) {
        return mContext.channel().isActive() && mAttempt == null && !mLast && now < mUsableUntil;
    }

    void cancel(Attempt attempt) {
        if (mAttempt == attempt) {
            close();
        }
    }

    void setReading(Attempt attempt, boolean reading) {
        if (mAttempt == attempt) {
            mContext.channel().config().setAutoRead(reading);
        }
    }

    void close() {
        mLast = true;
        mContext.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        mContext = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (!mFault) {
                onObject((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            mFault = true;
            mSlot.onFault(cause);
        }
        // A reset: what was read so far may not be whole, whatever its framing says.
        mReset = true;
        ctx.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        Attempt attempt = mAttempt;
        mAttempt = null;
        mSlot.onClosed(this);
        if (attempt != null) {
            String reset = mFault ? "a fault of this instance" : "reset";
            attempt.listener()
                    .onBroken(ResultCode.TARGET_LOST, mReset ? reset : "connection closed");
        }
    }

    private void onObject(HttpObject object) {
        if (mAttempt == null) {
            close();
            return;
        }
        if (object.decoderResult().isFailure()) {
            fail("no HTTP: " + object.decoderResult().cause());
            return;
        }
        if (object instanceof HttpResponse head) {
            onHead(head);
        }
        if (mAttempt != null && object instanceof HttpContent content) {
            onContent(content);
        }
    }

    private void onHead(HttpResponse head) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            mPart = Part.FOREIGN;
            return;
        }
        String id = mDialect.read(head).requestId();
        boolean foreign = !id.isEmpty() && !id.equals(mAttempt.requestId());
        if (foreign) {
            // A late answer to an earlier request; ours may follow.
            mPart = Part.FOREIGN;
            mLast = true;
            return;
        }
        mPart = Part.BODY;
        mLast |= !HttpUtil.isKeepAlive(head) || !isFramed(head);
        noteKeepAlive(head);
        mAttempt.listener().onHead(head);
    }

    private void onContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (mPart == Part.BODY && content.content().isReadable()) {
            mAttempt.listener().onBody(content.content());
        }
        if (!last || mAttempt == null) {
            return;
        }
        if (mPart == Part.FOREIGN) {
            mPart = Part.HEAD;
            return;
        }
        if (mReset) {
            // The end was only that of the connection.
            return;
        }
        finish();
    }

    private void finish() {
        Attempt attempt = mAttempt;
        mAttempt = null;
        mContext.channel().config().setAutoRead(true);
        mUsableUntil = mSlot.now() + mIdleMillis;
        if (mLast || attempt.isCancelled()) {
            close();
        } else {
            releaseWhenWritten();
        }
        attempt.listener().onEnd();
    }

    /**
     * The target may have answered before it has read all; it gets the rest before anything else.
     */
    private void releaseWhenWritten() {
        mWritten.addListener(
                written -> {
                    if (written.isSuccess() && mContext.channel().isActive()) {
                        mSlot.onFree(this);
                    } else {
                        close();
                    }
                });
    }

    private void fail(String why) {
        Attempt attempt = mAttempt;
        mAttempt = null;
        close();
        attempt.listener().onBroken(ResultCode.ANSWER_SPOILED, why);
    }

    private void noteKeepAlive(HttpResponse head) {
        String value = head.headers().get(HttpHeaderNames.KEEP_ALIVE);
        Matcher timeout = value == null ? null : TIMEOUT.matcher(value);
        if (timeout != null && timeout.find()) {
            mIdleMillis = Long.parseLong(timeout.group(1)) * 1000 - IDLE_MARGIN_MILLIS;
        }
    }

    private static boolean isFramed(HttpResponse head) {
        int status = head.status().code();
        return HttpUtil.isTransferEncodingChunked(head)
                || HttpUtil.isContentLengthSet(head)
                || status == 204
                || status == 304;
    }

    /** Which part of an answer is due. */
    private enum Part {
        HEAD,
        BODY,
        /** The rest of an answer that isn't the one waited for. */
        FOREIGN
    }
}
