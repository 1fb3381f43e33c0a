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

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quilldyke.ResultCode;

/** The times to connect that a pool reports. */
class ConnectTimeTest {
    private static final int LIMIT_SECONDS = 10;

    private final EventLoop mLoop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final BlockingQueue<String> mOutcomes = new LinkedBlockingQueue<>();

    /** Advances by 7 ms with each reading, so that the reported time can't be 0 by chance. */
    private final AtomicLong mClock = new AtomicLong();

    private final TargetConnectionPool mPool =
            TargetConnectionPool.create(
                    mLoop,
                    head -> "",
                    () -> mClock.addAndGet(7),
                    new TargetConnectionPool.Listener() {
                        @Override
                        public void onConnected(String target, long millis) {
                            mOutcomes.add(target + (millis > 0 ? " connected" : " in no time"));
                        }
                    });

    @AfterEach
    void stop() {
        mLoop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Guards against round trips that are never measured. */
    @Test
    void timeToConnectIsReported() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            send("t", server.getLocalPort());

            assertThat(next()).isEqualTo("t connected");
            assertThat(next()).isEqualTo("sending");
        }
    }

    /** Guards against a refusal, which is quick, being taken as a round trip. */
    @Test
    void failedConnectIsNotReported() throws Exception {
        int port;
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            port = server.getLocalPort();
        }
        send("t", port);

        assertThat(next()).isEqualTo("unsent");
        assertThat(mOutcomes).isEmpty();
    }

    private String next() throws InterruptedException {
        return mOutcomes.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private void send(String target, int port) {
        AttemptListener listener =
                new AttemptListener() {
                    @Override
                    public void onUnsent(String reason) {
                        mOutcomes.add("unsent");
                    }

                    @Override
                    public void onSending() {
                        mOutcomes.add("sending");
                    }

                    @Override
                    public void onHead(HttpResponse head) {}

                    @Override
                    public void onBody(ByteBuf bytes) {}

                    @Override
                    public void onComplete() {}

                    @Override
                    public void onFailed(ResultCode code, String reason) {}
                };
        mLoop.execute(
                () ->
                        mPool.sendOnNewConnection(
                                target,
                                "127.0.0.1:" + port,
                                new DefaultFullHttpRequest(
                                        HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                                listener));
    }
}
