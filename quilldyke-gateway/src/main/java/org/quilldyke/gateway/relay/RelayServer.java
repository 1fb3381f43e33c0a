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

import io.netty.channel.Channel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.quilldyke.QuilldykeException;
import org.quilldyke.gateway.engine.MonitoredAttempt;
import org.quilldyke.gateway.engine.TargetConnectionPool;
import org.quilldyke.gateway.http.HttpListener;
import org.quilldyke.gateway.platform.GatewayMetrics;
import org.quilldyke.routing.TargetSelector;

/**
 * Accepts requests of entry processes that are partitioned from targets, or have used up their
 * shares of the targets' limits, and sends each to the target that it names. It decides nothing
 * else, so that at most one instance decides on a request; what it received is never relayed again.
 */
public final class RelayServer {
    /** Requests that are relayed at the same time; others are refused unsent. */
    private static final int MAX_OPEN = 256;

    /** The entry that has the caller applies the limits of the configuration. */
    private static final int MAX_HEADER_BYTES = 1 << 20;

    private final Dependencies mDependencies;
    private final Set<RelaySession> mOpen = new HashSet<>();
    private Channel mListener;

    private RelayServer(Dependencies dependencies) {
        mDependencies = dependencies;
    }

    /**
     * Starts to accept connections.
     *
     * @param address {@code IP:port}
     * @param dependencies the collaborators
     * @throws QuilldykeException {@link org.quilldyke.ResultCode#ADDRESS_IN_USE} if the address
     *     can't be bound
     */
    public static RelayServer start(String address, Dependencies dependencies)
            throws QuilldykeException {
        RelayServer server = new RelayServer(dependencies);
        server.mListener =
                HttpListener.bind(address, dependencies.pool().loop(), server::initialize);
        return server;
    }

    /** Stops accepting connections; call it on the traffic thread. */
    public void closeListener() {
        mListener.close();
    }

    /** Returns the number of open requests; call it on the traffic thread. */
    public int open() {
        return mOpen.size();
    }

    private void initialize(SocketChannel channel) {
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(
                                new HttpDecoderConfig()
                                        .setMaxInitialLineLength(MAX_HEADER_BYTES)
                                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                                        .setAllowDuplicateContentLengths(false)
                                        .setStrictLineParsing(true)
                                        .setUseRfc9112TransferEncoding(true)),
                        new HttpObjectAggregator(Integer.MAX_VALUE),
                        new RelaySession(this));
    }

    /** Returns the address to which a request is sent on, empty if it must not be. */
    Optional<String> destination(String target) {
        return mOpen.size() >= MAX_OPEN || mDependencies.isDraining().getAsBoolean()
                ? Optional.empty()
                : mDependencies
                        .targetSelector()
                        .relayDestination(target, mDependencies.clock().getAsLong());
    }

    /** Uses a permit of this instance for a limited target; returns whether there was one. */
    boolean lendPermit(String target) {
        long now = mDependencies.clock().getAsLong();
        boolean isLent = mDependencies.targetSelector().lendPermit(target, now);
        mDependencies.metrics().onPermitRequested(isLent);
        return isLent;
    }

    MonitoredAttempt send(
            String target,
            String address,
            FullHttpRequest request,
            String requestId,
            boolean checksIncarnation,
            RelaySession session) {
        TargetConnectionPool pool = mDependencies.pool();
        return MonitoredAttempt.send(
                mDependencies.targetSelector().paths(),
                mDependencies.clock(),
                target,
                session,
                listener ->
                        checksIncarnation
                                ? pool.sendToIncarnation(
                                        target, address, request, requestId, listener)
                                : pool.send(target, address, request, requestId, listener));
    }

    void onData(String target) {
        mDependencies.targetSelector().onDataReceived(target, mDependencies.clock().getAsLong());
    }

    void onHead(String target, HttpResponse head) {
        mDependencies.headListener().accept(target, head);
    }

    void onOpened(RelaySession session) {
        mOpen.add(session);
        mDependencies.metrics().onRelayed();
    }

    void onClosed(RelaySession session) {
        mOpen.remove(session);
    }

    /**
     * The collaborators of a {@link RelayServer}.
     *
     * @param pool the connections to targets
     * @param targetSelector the targets' states
     * @param clock monotonic milliseconds
     * @param isDraining whether this instance shuts down
     * @param headListener receives the target and the head of each answer
     * @param metrics counts the relayed requests
     */
    public record Dependencies(
            TargetConnectionPool pool,
            TargetSelector targetSelector,
            LongSupplier clock,
            BooleanSupplier isDraining,
            BiConsumer<String, HttpResponse> headListener,
            GatewayMetrics metrics) {}
}
