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

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.gateway.control.ControlNode;
import org.quilldyke.gateway.dialect.ControlCall;
import org.quilldyke.gateway.dialect.ControlDialect;
import org.quilldyke.gateway.engine.RefusalLog;
import org.quilldyke.gateway.http.HttpListener;
import org.quilldyke.gateway.http.RequestFraming;
import org.quilldyke.gateway.instance.NettyLoop;
import org.quilldyke.gateway.platform.MetricsText;
import org.quilldyke.manifest.ManifestRules;
import org.quilldyke.rollout.Rollout;

/** Takes operators' calls and targets' reports over HTTP. */
public final class ControlServer {
    /** A manifest of tens of thousands of routes. */
    static final int MAX_BODY_BYTES = 16 << 20;

    static final long IDLE_SECONDS = 60;

    private final NettyLoop mControl;
    private final ControlNode mNode;
    private final ControlDialect mDialect;
    private final MetricRegistry mMetrics;
    private final RefusalLog mRefused;
    private final AtomicInteger mOpen = new AtomicInteger();

    private ControlServer(
            NettyLoop control,
            ControlNode node,
            ControlDialect dialect,
            MetricRegistry metrics,
            RefusalLog refused) {
        mControl = control;
        mNode = node;
        mDialect = dialect;
        mMetrics = metrics;
        mRefused = refused;
    }

    /**
     * Starts to take calls.
     *
     * @param address {@code IP:port}
     * @param loop the traffic thread, which reads and writes
     * @param control the control thread, which decides
     * @param node the control process's state
     * @param dialect how operators and targets speak
     * @param metrics served under {@code /metrics}
     * @param refused takes notice of targets' reports that can't be taken
     * @return the server, which runs
     * @throws QuilldykeException {@link ResultCode#ADDRESS_IN_USE} if the address can't be bound
     */
    public static ControlServer start(
            String address,
            EventLoop loop,
            NettyLoop control,
            ControlNode node,
            ControlDialect dialect,
            MetricRegistry metrics,
            RefusalLog refused)
            throws QuilldykeException {
        ControlServer server = new ControlServer(control, node, dialect, metrics, refused);
        HttpListener.bind(address, loop, server::initialize);
        return server;
    }

    /** Returns how many calls were read and aren't answered yet. */
    public int open() {
        return mOpen.get();
    }

    private void initialize(SocketChannel channel) {
        channel.pipeline()
                .addLast(new ReadTimeoutHandler(IDLE_SECONDS, TimeUnit.SECONDS))
                .addLast(new HttpServerCodec())
                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES, true))
                .addLast(new Handler());
    }

    private CompletableFuture<byte[]> carryOut(
            ControlCall call, Function<Rollout, byte[]> rolloutBody) throws QuilldykeException {
        if (call instanceof ControlCall.Publish publish) {
            ManifestRules.check(publish.manifest());
            return onControl(
                    () ->
                            mNode.publish(publish.manifest().version(), publish.document())
                                    .thenApply(done -> ok()));
        } else if (call instanceof ControlCall.NameWeights named) {
            return onControl(
                    () ->
                            mNode.nameWeights(named.model(), named.version())
                                    .thenApply(done -> ok()));
        } else if (call instanceof ControlCall.Report report) {
            return onControl(() -> onReport(report));
        } else if (call instanceof ControlCall.Leave leave) {
            return onControl(() -> acknowledged(mNode.onLeave(leave.target())));
        }
        if (call instanceof ControlCall.StartRollout order) {
            return onControl(() -> mNode.startRollout(order).thenApply(done -> ok()));
        } else if (call instanceof ControlCall.ReadRollout read) {
            return onControl(() -> mNode.readRollout(read.service()).thenApply(rolloutBody));
        }
        return onControl(mNode::readManifest);
    }

    private CompletableFuture<byte[]> onReport(ControlCall.Report report) {
        try {
            return acknowledged(mNode.onReport(report));
        } catch (QuilldykeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** A process that is out of touch has taken the news, but another one shall hear them too. */
    private static CompletableFuture<byte[]> acknowledged(CompletableFuture<Boolean> mayBe) {
        return mayBe.thenCompose(
                taken ->
                        taken
                                ? CompletableFuture.completedFuture(ok())
                                : CompletableFuture.failedFuture(
                                        QuilldykeException.notRun(
                                                ResultCode.NO_LEADER, "out of touch")));
    }

    private CompletableFuture<byte[]> onControl(Task task) {
        CompletableFuture<byte[]> result = new CompletableFuture<>();
        mControl.execute(
                () ->
                        task.run()
                                .whenComplete(
                                        (body, e) -> {
                                            if (e == null) {
                                                result.complete(body);
                                            } else {
                                                result.completeExceptionally(e);
                                            }
                                        }));
        return result;
    }

    private static byte[] ok() {
        return "{}".getBytes(StandardCharsets.UTF_8);
    }

    private static QuilldykeException causeOf(Throwable e) {
        Throwable cause = e instanceof CompletionException ? e.getCause() : e;
        return cause instanceof QuilldykeException known
                ? known
                : QuilldykeException.of(
                        ResultCode.INTERNAL, Outcome.UNKNOWN, String.valueOf(cause), cause);
    }

    private interface Task {
        CompletableFuture<byte[]> run();
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            // Where a malformed call ends is not known, so nothing after it can be read.
            boolean keepAlive =
                    HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
            mOpen.incrementAndGet();
            String path = request.uri().split("[?#]", 2)[0];
            if (path.equals(MetricsText.PATH) && request.method() == HttpMethod.GET) {
                byte[] text = MetricsText.of(mMetrics).getBytes(StandardCharsets.UTF_8);
                answer(ctx, HttpResponseStatus.OK, text, keepAlive);
                return;
            }
            try {
                RequestFraming.checkDecoded(request.decoderResult());
                carryOut(request, path)
                        .whenComplete(
                                (body, e) -> {
                                    if (e == null) {
                                        answer(ctx, HttpResponseStatus.OK, body, keepAlive);
                                    } else {
                                        refuse(ctx, causeOf(e), path, keepAlive);
                                    }
                                });
            } catch (QuilldykeException e) {
                refuse(ctx, e, path, keepAlive);
            }
        }

        private CompletableFuture<byte[]> carryOut(FullHttpRequest request, String path)
                throws QuilldykeException {
            String method = request.method().name();
            byte[] body = ByteBufUtil.getBytes(request.content());
            if (!mNode.permitsRollouts()) {
                return ControlServer.this.carryOut(
                        mDialect.read(method, path, body), mDialect::status);
            }
            return RolloutCalls.isFor(path)
                    ? ControlServer.this.carryOut(
                            RolloutCalls.read(method, path, body), RolloutCalls::status)
                    : ControlServer.this.carryOut(
                            mDialect.readWithRollouts(method, path, body), mDialect::status);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A reset or an idle connection; callers open another.
            ctx.close();
        }

        private void refuse(
                ChannelHandlerContext ctx, QuilldykeException e, String path, boolean keepAlive) {
            if (RefusalLog.isReportError(e.code())) {
                mRefused.onRefused(RefusalLog.Source.REPORT, path, e);
            } else {
                mRefused.onCallRefused(
                        e.code() == ResultCode.MANIFEST_INVALID
                                ? Event.MANIFEST_REFUSED
                                : Event.CALL_REFUSED,
                        path,
                        e);
            }
            byte[] body =
                    Json.encode(new Refusal(e.code().label(), String.valueOf(e.getMessage())));
            answer(ctx, HttpResponseStatus.valueOf(e.code().httpStatus()), body, keepAlive);
        }

        private void answer(
                ChannelHandlerContext ctx,
                HttpResponseStatus status,
                byte[] body,
                boolean keepAlive) {
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            if (!keepAlive) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ctx.writeAndFlush(response)
                    .addListener(sent -> mOpen.decrementAndGet())
                    .addListener(
                            keepAlive
                                    ? ChannelFutureListener.CLOSE_ON_FAILURE
                                    : ChannelFutureListener.CLOSE);
        }
    }

    /** The body of a refusal. */
    private record Refusal(String code, String detail) {}
}
