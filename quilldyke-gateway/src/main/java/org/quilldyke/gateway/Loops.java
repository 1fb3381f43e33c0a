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

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/** The threads of a gateway process that serve sockets. */
final class Loops {
    /**
     * A loop that is told to end amid its tasks, and has no time to be quiet for, ends without
     * closing its sockets: it looks for the end before its tasks, and once more behind them.
     */
    private static final long QUIET_MILLIS = 50;

    private static final long END_MILLIS = 200;

    /** A loop that is stuck is left behind after this long. */
    private static final long LIMIT_MILLIS = 2000;

    private Loops() {}

    /** Returns a loop with a thread of the given name. */
    static EventLoop create(String name) {
        return new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory(name), NioIoHandler.newFactory())
                .next();
    }

    /**
     * Ends a loop; a successor may take its addresses then.
     *
     * @return whether it has ended, and not been left behind
     */
    static boolean halt(EventLoop loop) {
        return loop.shutdownGracefully(QUIET_MILLIS, END_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(LIMIT_MILLIS);
    }
}
