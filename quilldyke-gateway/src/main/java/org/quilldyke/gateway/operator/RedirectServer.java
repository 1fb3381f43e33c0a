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
package org.quilldyke.gateway.operator;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.gateway.http.HttpListener;

/**
 * Sends operators and targets on to other control processes: one without a disk can hold nothing
 * that was acknowledged.
 */
public final class RedirectServer {
    private final String mSelf;
    private volatile List<String> mOthers;
    private int mNext;

    private RedirectServer(String self, List<String> seeds) {
        mSelf = self;
        onSeeds(seeds);
    }

    /**
     * Starts to take calls.
     *
     * @param address {@code IP:port}
     * @param loop the thread that serves them
     * @param seeds where control processes take calls
     * @return the server, which runs
     * @throws QuilldykeException {@link ResultCode#ADDRESS_IN_USE} if the address can't be bound
     */
    public static RedirectServer start(String address, EventLoop loop, List<String> seeds)
            throws QuilldykeException {
        RedirectServer server = new RedirectServer(address, seeds);
        HttpListener.bind(address, loop, server::initialize);
        return server;
    }

    /** Takes the seeds that the settings name now. */
    public void onSeeds(List<String> seeds) {
        mOthers = seeds.stream().filter(seed -> !seed.equals(mSelf)).toList();
    }

    private void initialize(SocketChannel channel) {
        channel.pipeline()
                .addLast(new ReadTimeoutHandler(ControlServer.IDLE_SECONDS, TimeUnit.SECONDS))
                .addLast(new HttpServerCodec())
                .addLast(new HttpObjectAggregator(ControlServer.MAX_BODY_BYTES, true))
                .addLast(handler());
    }

    private ChannelHandler handler() {
        return new SimpleChannelInboundHandler<FullHttpRequest>() {
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
                boolean whole = request.decoderResult().isSuccess();
                DefaultFullHttpResponse response =
                        whole ? answer(request) : empty(HttpResponseStatus.BAD_REQUEST);
                boolean keepAlive = whole && HttpUtil.isKeepAlive(request);
                ctx.writeAndFlush(response)
                        .addListener(
                                keepAlive
                                        ? ChannelFutureListener.CLOSE_ON_FAILURE
                                        : ChannelFutureListener.CLOSE);
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                // A reset or an idle connection; callers open another.
                ctx.close();
            }
        };
    }

    private DefaultFullHttpResponse answer(FullHttpRequest request) {
        List<String> others = mOthers;
        if (others.isEmpty()) {
            return empty(HttpResponseStatus.valueOf(ResultCode.NO_LEADER.httpStatus()));
        }
        String other = others.get(Math.floorMod(mNext++, others.size()));
        DefaultFullHttpResponse response = empty(HttpResponseStatus.TEMPORARY_REDIRECT);
        response.headers().set(HttpHeaderNames.LOCATION, "http://" + other + request.uri());
        return response;
    }

    private static DefaultFullHttpResponse empty(HttpResponseStatus status) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        return response;
    }
}
