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
package org.quilldyke.gateway.caller;

import io.netty.channel.Channel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.gateway.http.HttpListener;

/** Accepts callers' connections. */
public final class CallerServer {
    private final EntryContext mEntry;
    private final Set<CallerConnection> mConnections = new HashSet<>();
    private Channel mListener;

    private CallerServer(EntryContext entry) {
        mEntry = entry;
    }

    /**
     * Starts to accept connections.
     *
     * @param address {@code IP:port}
     * @param entry the context that all requests share
     * @throws QuilldykeException {@link ResultCode#ADDRESS_IN_USE} if the address can't be bound
     */
    public static CallerServer start(String address, EntryContext entry) throws QuilldykeException {
        CallerServer server = new CallerServer(entry);
        server.mListener = HttpListener.bind(address, entry.loop(), server::initialize);
        return server;
    }

    /** Returns the number of connections with an open request; call it on the traffic thread. */
    public int busyConnections() {
        return (int) mConnections.stream().filter(CallerConnection::isBusy).count();
    }

    /** Stops accepting connections; call it on the traffic thread. */
    public void closeListener() {
        mListener.close();
    }

    /**
     * Closes the connections without an open request; call it on the traffic thread.
     *
     * @return the number of connections that stay open: those with an open request, and those so
     *     new that their first request may be in transit
     */
    public int closeIdle() {
        new ArrayList<>(mConnections).forEach(CallerConnection::closeIfIdle);
        return mConnections.size();
    }

    /**
     * Terminates and logs all open requests and closes the other connections; call it on the
     * traffic thread.
     *
     * @return the number of connections that had an open request
     */
    public int onShutdownDeadline() {
        int busy = busyConnections();
        new ArrayList<>(mConnections).forEach(CallerConnection::onShutdownDeadline);
        return busy;
    }

    private void initialize(SocketChannel channel) {
        CallerConnection connection = new CallerConnection(mEntry);
        mConnections.add(connection);
        channel.closeFuture().addListener(closed -> mConnections.remove(connection));
        channel.pipeline().addLast(new HttpServerCodec(decoderConfig()));
        channel.pipeline().addLast(connection);
    }

    private HttpDecoderConfig decoderConfig() {
        int headerBytes = mEntry.limits().maxHeaderBytes();
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(headerBytes)
                .setMaxHeaderSize(headerBytes)
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true);
    }
}
