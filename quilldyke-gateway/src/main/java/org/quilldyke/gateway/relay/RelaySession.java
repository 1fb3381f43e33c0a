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
package org.quilldyke.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import org.quilldyke.ResultCode;
import org.quilldyke.gateway.engine.AttemptListener;
import org.quilldyke.gateway.engine.OpenAttempt;
import org.quilldyke.gateway.http.HopByHopHeaders;

/** A connection of another entry process, on which one request is relayed at a time. */
final class RelaySession extends SimpleChannelInboundHandler<FullHttpRequest>
        implements AttemptListener {
    private final RelayServer mServer;
    private ChannelHandlerContext mContext;

    /** The target of the open request; empty if none is open. */
    private Optional<String> mTarget = Optional.empty();

    /** The id of the request that was received last, empty if it has none. */
    private String mRequestId = "";

    /** Null until it is sent, and after its end. */
    private OpenAttempt mAttempt;

    RelaySession(RelayServer server) {
        mServer = server;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        String target = request.headers().get(RelayHeaders.TARGET, "");
        String requestId = request.headers().get(RelayHeaders.REQUEST_ID, "");
        if (mTarget.isPresent() || request.decoderResult().isFailure() || target.isEmpty()) {
            context.close();
            return;
        }
        mRequestId = requestId;
        Optional<String> address = mServer.destination(target);
        if (address.isEmpty()) {
            answerUnsent(RelayHeaders.UNSENT_RELAY);
            return;
        }
        boolean usesPermit = request.headers().contains(RelayHeaders.PERMIT);
        if (usesPermit && !mServer.lendPermit(target)) {
            answerUnsent(RelayHeaders.UNSENT_PERMIT);
            return;
        }
        boolean checksIncarnation = request.headers().contains(RelayHeaders.INCARNATION);
        request.headers()
                .remove(RelayHeaders.TARGET)
                .remove(RelayHeaders.REQUEST_ID)
                .remove(RelayHeaders.PERMIT)
                .remove(RelayHeaders.INCARNATION);
        mTarget = Optional.of(target);
        mServer.onOpened(this);
        mAttempt =
                mServer.send(
                        target,
                        address.get(),
                        request.retain(),
                        requestId,
                        checksIncarnation,
                        this);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mAttempt != null) {
            mAttempt.setReading(context.channel().isWritable());
        }
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        OpenAttempt attempt = mAttempt;
        end();
        if (attempt != null) {
            attempt.cancel();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    @Override
    public void onUnsent(String reason) {
        end();
        answerUnsent(RelayHeaders.UNSENT_TARGET);
    }

    @Override
    public void onSending() {
        // The entry that decides on the request assumes so since it sent it here.
    }

    @Override
    public void onHead(HttpResponse head) {
        mTarget.ifPresent(target -> mServer.onHead(target, head));
        HttpResponse out = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
        out.headers().add(HopByHopHeaders.endToEnd(head.headers(), name -> false));
        out.headers().remove(RelayHeaders.UNSENT).remove(RelayHeaders.UNFRAMED);
        out.headers().set(RelayHeaders.REQUEST_ID, mRequestId);
        String length = head.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        boolean isChunked = HttpUtil.isTransferEncodingChunked(head);
        if (length != null && !isChunked) {
            out.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else {
            HttpUtil.setTransferEncodingChunked(out, true);
            if (!isChunked) {
                out.headers().set(RelayHeaders.UNFRAMED, "1");
            }
        }
        mContext.writeAndFlush(out);
    }

    @Override
    public void onBody(ByteBuf bytes) {
        mTarget.ifPresent(mServer::onData);
        mContext.writeAndFlush(new DefaultHttpContent(bytes.retain()));
    }

    @Override
    public void onComplete() {
        end();
        mContext.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    @Override
    public void onFailed(ResultCode code, String reason) {
        end();
        if (mContext.channel().isActive()) {
            // A reset: entries of earlier versions take an orderly close as the end of the answer.
            mContext.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        }
        mContext.close();
    }

    private void answerUnsent(String cause) {
        FullHttpResponse answer =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                        Unpooled.EMPTY_BUFFER);
        answer.headers().set(RelayHeaders.UNSENT, cause);
        answer.headers().set(RelayHeaders.REQUEST_ID, mRequestId);
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        mContext.writeAndFlush(answer);
    }

    private void end() {
        if (mTarget.isPresent()) {
            mServer.onClosed(this);
        }
        mTarget = Optional.empty();
        mAttempt = null;
    }
}
