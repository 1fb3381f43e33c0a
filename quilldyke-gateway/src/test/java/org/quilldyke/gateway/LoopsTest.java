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
package org.quilldyke.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.quilldyke.gateway.http.HttpListener;

/**
 * A loop that has ended holds no address.
 *
 * <p>A process that was started anew in the same Java machine found an address of its predecessor
 * taken, once in some ten shutdowns beside load: the end had come amid the tasks of the loop.
 */
class LoopsTest {
    private static final int LOOPS = 20;
    private static final long TASK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    @Test
    void addressIsFreeOnceALoopHasEndedAmidItsTasks() throws Exception {
        int ended = 0;
        for (int i = 0; i < LOOPS; i++) {
            int port = freePort();
            EventLoop loop = Loops.create("test");
            HttpListener.bind("127.0.0.1:" + port, loop, channel -> {});
            loop.execute(() -> LockSupport.parkNanos(TASK_NANOS));

            ended += Loops.halt(loop) ? 1 : 0;

            new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")).close();
        }
        assertThat(ended).isEqualTo(LOOPS);
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
