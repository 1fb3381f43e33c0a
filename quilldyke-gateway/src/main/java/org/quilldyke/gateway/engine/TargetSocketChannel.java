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

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

/**
 * A channel that can be asked whether its peer has reset it.
 *
 * <p>After the orderly end of the peer's side, neither reads nor the library's events show a reset
 * that follows it, and a write shows it only if there is something left to write.
 */
final class TargetSocketChannel extends NioSocketChannel {
    /** Returns whether the connection has failed, as after a reset. */
    boolean hasFailed() {
        if (!isActive()) {
            return true;
        }
        try (Selector selector = Selector.open()) {
            // On an established connection, an error is all that makes this operation ready.
            javaChannel().register(selector, SelectionKey.OP_CONNECT);
            return selector.selectNow() > 0;
        } catch (IOException e) {
            // Nothing shows that the connection is intact.
            return true;
        }
    }
}
