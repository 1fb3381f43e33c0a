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
package org.quilldyke.gateway.platform;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.gateway.http.HttpListener;

/** Answers the platform's probes: whether the process takes requests, and its metrics as text. */
public final class ProbeServer {
    private static final int MAX_BODY_BYTES = 1024;

    private final BooleanSupplier mReady;
    private final MetricRegistry mMetrics;

    private ProbeServer(BooleanSupplier ready, MetricRegistry metrics) {
        mReady = ready;
        mMetrics = metrics;
    }

    /**
     * Starts to answer.
     *
     * @param address {@code IP:port}
     * @param loop the thread that answers
     * @param ready whether the process takes requests
     * @param metrics served under {@code /metrics}; every other path tells readiness
     * @throws QuilldykeException {@link ResultCode#ADDRESS_IN_USE} if the address can't be bound
     */
    public static void start(
            String address, EventLoop loop, BooleanSupplier ready, MetricRegistry metrics)
            throws QuilldykeException {
        ProbeServer server = new ProbeServer(ready, metrics);
        HttpListener.bind(
                address,
                loop,
                channel ->
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(server.handler()));
    }

    private SimpleChannelInboundHandler<FullHttpRequest> handler() {
        return new SimpleChannelInboundHandler<>() {
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
                boolean metrics = request.uri().startsWith(MetricsText.PATH);
                boolean ready = mReady.getAsBoolean();
                HttpResponseStatus status =
                        metrics || ready
                                ? HttpResponseStatus.OK
                                : HttpResponseStatus.SERVICE_UNAVAILABLE;
                String text =
                        metrics ? MetricsText.of(mMetrics) : ready ? "ready\n" : "not ready\n";
                DefaultFullHttpResponse response =
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                status,
                                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
                response.headers()
                        .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
                boolean keepAlive = HttpUtil.isKeepAlive(request);
                ctx.writeAndFlush(response)
                        .addListener(
                                keepAlive
                                        ? ChannelFutureListener.CLOSE_ON_FAILURE
                                        : ChannelFutureListener.CLOSE);
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                // The prober went away; it asks again.
                ctx.close();
            }
        };
    }
}
