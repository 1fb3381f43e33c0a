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

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Detects that the peer has ended its side of a connection in order, as all that it sent was read.
 *
 * <p>Placed before the decoder, which reports the end of a connection in the same way whatever the
 * reason: this instance may have closed it, and a reset may be met by a read or a write. The
 * connection must allow to be half closed.
 */
final class OrderlyEndDetector extends ChannelInboundHandlerAdapter {
    private boolean mEnded;

    private OrderlyEndDetector() {}

    /** Returns a detector for one connection. */
    static OrderlyEndDetector create() {
        return new OrderlyEndDetector();
    }

    /** Returns whether the peer has ended its side in order. */
    boolean hasEnded() {
        return mEnded;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            mEnded = true;
        }
        ctx.fireUserEventTriggered(event);
    }
}
