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
package org.quilldyke.gateway.relay;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;
import org.quilldyke.ResultCode;

/** A relay's connection to the entry that decides on the request. */
class RelaySessionTest {
    /** Guards against an exception where the entry and the target disconnect at the same time. */
    @Test
    void runMayFailAfterTheEntryHasDisconnected() {
        RelaySession session = new RelaySession(null);
        SocketLikeChannel channel = new SocketLikeChannel();
        channel.pipeline().addLast(session);
        channel.close();

        session.onFailed(ResultCode.TARGET_LOST, "connection closed");

        assertThat(channel.isOpen()).isFalse();
    }

    /** Like a socket, it has no options once it is closed. */
    private static final class SocketLikeChannel extends EmbeddedChannel {
        @Override
        public ChannelConfig config() {
            return new DefaultChannelConfig(this) {
                @Override
                public <T> boolean setOption(ChannelOption<T> option, T value) {
                    if (!isOpen()) {
                        throw new ChannelException("Socket is closed");
                    }
                    return super.setOption(option, value);
                }
            };
        }
    }
}
