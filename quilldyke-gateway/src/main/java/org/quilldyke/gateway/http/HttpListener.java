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

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.function.Consumer;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.settings.Addresses;

/** Binds server sockets for HTTP connections. */
public final class HttpListener {
    /** Large enough for the callers that all connect at once after an outage. */
    private static final int BACKLOG = 1024;

    private HttpListener() {}

    /**
     * Binds an address and accepts connections.
     *
     * @param address {@code IP:port}
     * @param loop the thread that serves the connections
     * @param initializer adds the handlers of a new connection
     * @return the listening channel, to be closed
     * @throws QuilldykeException {@link ResultCode#ADDRESS_IN_USE} if the address can't be bound,
     *     also after the time that a predecessor may need to release it
     */
    public static Channel bind(String address, EventLoop loop, Consumer<SocketChannel> initializer)
            throws QuilldykeException {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        initializer.accept(channel);
                                    }
                                });
        return BindRetry.bind(() -> tryBind(bootstrap, address));
    }

    private static Channel tryBind(ServerBootstrap bootstrap, String address)
            throws QuilldykeException {
        ChannelFuture bound = bootstrap.bind(Addresses.parse(address)).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw QuilldykeException.of(
                    ResultCode.ADDRESS_IN_USE,
                    Outcome.NOT_RUN,
                    address + ": " + bound.cause(),
                    bound.cause());
        }
        return bound.channel();
    }
}
