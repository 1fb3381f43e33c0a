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
package org.quilldyke.gateway.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;

class HttpListenerTest {
    private final EventLoop mLoop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();

    @AfterEach
    void stop() {
        mLoop.shutdownGracefully();
    }

    @Test
    void addressInUseHasResultCode() throws Exception {
        try (ServerSocket boundSocket =
                new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            String address = "127.0.0.1:" + boundSocket.getLocalPort();
            QuilldykeException error =
                    assertThrows(
                            QuilldykeException.class,
                            () -> HttpListener.bind(address, mLoop, channel -> {}));
            assertThat(error.code()).isEqualTo(ResultCode.ADDRESS_IN_USE);
        }
    }

    @Test
    void addressThatAPredecessorReleasesIsBound() throws Exception {
        ServerSocket predecessor = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        String address = "127.0.0.1:" + predecessor.getLocalPort();
        Thread release =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(BindRetry.MAX_WAIT_MILLIS / 4);
                                predecessor.close();
                            } catch (IOException | InterruptedException e) {
                                throw new AssertionError(e);
                            }
                        });
        release.start();

        Channel bound = HttpListener.bind(address, mLoop, channel -> {});

        assertThat(bound.isActive()).isTrue();
        bound.close();
        release.join();
    }
}
