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
package org.quilldyke.gateway.instance;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.quilldyke.daemon.control.ControlLoop;

/** A control thread that is a Netty event loop. */
public record NettyLoop(EventLoop loop) implements ControlLoop {
    @Override
    public void execute(Runnable task) {
        if (!loop.isShuttingDown()) {
            loop.execute(task);
        }
    }

    @Override
    public void schedule(long millis, Runnable task) {
        if (!loop.isShuttingDown()) {
            loop.schedule(task, millis, TimeUnit.MILLISECONDS);
        }
    }

    /** Runs a task at once if this is the thread, else later on it. */
    public void run(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else {
            execute(task);
        }
    }
}
