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

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.quilldyke.daemon.settings.Addresses;
import org.quilldyke.engine.Incarnation;
import org.quilldyke.engine.SocketAddresses;
import org.quilldyke.gateway.dialect.TargetDialect;

/** Connections to targets, reused for later requests. Used on the traffic thread. */
public final class TargetConnectionPool {
    /** A reachable target accepts within a few milliseconds, an unreachable one never. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    /** A target that leaves closes each connection after its answer. */
    private static final int MAX_CHECKS = 3;

    private final EventLoop mLoop;
    private final Function<HttpResponse, String> mRequestIds;
    private final LongSupplier mClock;
    private final Listener mListener;

    /** Empty if the targets are no engines. */
    private final Optional<TargetDialect> mDialect;

    private final Map<String, PerTargetPool> mPoolsByTarget = new HashMap<>();

    private TargetConnectionPool(
            EventLoop loop,
            Function<HttpResponse, String> requestIds,
            Optional<TargetDialect> dialect,
            LongSupplier clock,
            Listener listener) {
        mLoop = loop;
        mRequestIds = requestIds;
        mDialect = dialect;
        mClock = clock;
        mListener = listener;
    }

    /**
     * Returns a pool without connections.
     *
     * @param loop the traffic thread
     * @param requestIds returns the id of the request that an answer is for, empty if it has none
     * @param clock monotonic milliseconds
     */
    public static TargetConnectionPool create(
            EventLoop loop, Function<HttpResponse, String> requestIds, LongSupplier clock) {
        return create(loop, requestIds, clock, new Listener() {});
    }

    /**
     * Returns a pool without connections that notifies a listener.
     *
     * @param loop the traffic thread
     * @param requestIds returns the id of the request that an answer is for, empty if it has none
     * @param clock monotonic milliseconds
     * @param listener is notified of changes and errors of connections
     */
    public static TargetConnectionPool create(
            EventLoop loop,
            Function<HttpResponse, String> requestIds,
            LongSupplier clock,
            Listener listener) {
        return new TargetConnectionPool(loop, requestIds, Optional.empty(), clock, listener);
    }

    /**
     * Returns a pool without connections that can check the incarnations of engines.
     *
     * @param loop the traffic thread
     * @param dialect the engines' wire format
     * @param clock monotonic milliseconds
     * @param listener is notified of changes and errors of connections
     */
    public static TargetConnectionPool create(
            EventLoop loop, TargetDialect dialect, LongSupplier clock, Listener listener) {
        return new TargetConnectionPool(
                loop,
                head -> dialect.read(head).requestId(),
                Optional.of(dialect),
                clock,
                listener);
    }

    /**
     * Sends a request to a target.
     *
     * @param target the target's id: a connection is never used for another one at the same address
     * @param address the address at which it accepts requests
     * @param request the request; released when it is written or cancelled
     * @param requestId the request's id, empty if none; an answer with another id is skipped
     * @param listener receives the outcome
     */
    public Attempt send(
            String target,
            String address,
            FullHttpRequest request,
            String requestId,
            AttemptListener listener) {
        return send(target, address, new Attempt(request, requestId, listener));
    }

    /**
     * Sends a request as {@link #send} does, but only to the incarnation of the target that is
     * known, if that has a start time: another process may listen at its address by now.
     */
    public Attempt sendToIncarnation(
            String target,
            String address,
            FullHttpRequest request,
            String requestId,
            AttemptListener listener) {
        boolean isKnown = mDialect.isPresent() && Incarnation.ofKey(target).hasStart();
        return send(target, address, new Attempt(request, requestId, isKnown, listener));
    }

    private Attempt send(String target, String address, Attempt attempt) {
        PerTargetPool pool =
                mPoolsByTarget.computeIfAbsent(target, id -> new PerTargetPool(target, address));
        TargetConnection free = pool.takeFree(attempt.requestId());
        if (free != null) {
            pool.send(free, attempt);
        } else {
            pool.connect(attempt);
        }
        return attempt;
    }

    /** Sends a request as {@link #send} does, but always on a new connection. */
    public Attempt sendOnNewConnection(
            String target, String address, FullHttpRequest request, AttemptListener listener) {
        Attempt attempt = new Attempt(request, "", listener);
        mPoolsByTarget
                .computeIfAbsent(target, id -> new PerTargetPool(target, address))
                .connect(attempt);
        return attempt;
    }

    /**
     * Checks whether a target still accepts connections, unless one to it is open; a connection
     * that is made is kept for the next request.
     */
    public void probe(String target) {
        PerTargetPool pool = mPoolsByTarget.get(target);
        if (pool != null) {
            pool.probe();
        }
    }

    /** Closes the connections to a removed target, each as soon as it is free. */
    public void removeTarget(String target) {
        PerTargetPool pool = mPoolsByTarget.remove(target);
        if (pool != null) {
            pool.onRemoved();
        }
    }

    /** Returns the traffic thread. */
    public EventLoop loop() {
        return mLoop;
    }

    /** Returns whether a connection to a target is open. */
    public boolean isConnected(String target) {
        PerTargetPool pool = mPoolsByTarget.get(target);
        return pool != null && !pool.mOpen.isEmpty();
    }

    /** Returns the number of open connections, in use or free. */
    public int connections() {
        return mPoolsByTarget.values().stream().mapToInt(pool -> pool.mOpen.size()).sum();
    }

    /** Closes connections that have been idle for too long. */
    public void closeIdle() {
        mPoolsByTarget.values().forEach(PerTargetPool::closeIdle);
    }

    /** The connections to one target. */
    final class PerTargetPool {
        private final String mTarget;
        private final String mAddress;
        private final Deque<TargetConnection> mFree = new ArrayDeque<>();
        private final List<TargetConnection> mOpen = new ArrayList<>();
        private boolean mRemoved;
        private boolean mProbing;

        PerTargetPool(String target, String address) {
            mTarget = target;
            mAddress = address;
        }

        /** Sends a request on a free connection, after a check of the incarnation if required. */
        void send(TargetConnection connection, Attempt attempt) {
            if (attempt.checksIncarnation() && !connection.isIncarnationKnown()) {
                IncarnationCheck.start(this, mDialect.orElseThrow(), connection, attempt);
            } else {
                connection.send(attempt);
            }
        }

        /**
         * Sends a request on the connection that was checked for it, or on a new one if the target
         * has closed that after its answer.
         */
        void sendAfterCheck(TargetConnection connection, Attempt attempt) {
            mListener.onIncarnationChecked(true);
            if (attempt.isCancelled()) {
                return;
            }
            if (mFree.remove(connection)) {
                notifyFreeCount();
                connection.send(attempt);
            } else if (mRemoved || attempt.onCheck() == MAX_CHECKS) {
                failUnsent(attempt, "connection closed after the check of the incarnation");
            } else {
                connect(attempt);
            }
        }

        void failOtherIncarnation(Attempt attempt, String reason) {
            mListener.onIncarnationChecked(false);
            if (!attempt.isCancelled()) {
                attempt.request().release();
                attempt.listener().onOtherIncarnation(reason);
            }
        }

        EventLoop loop() {
            return mLoop;
        }

        String address() {
            return mAddress;
        }

        Incarnation incarnation() {
            return Incarnation.ofKey(mTarget);
        }

        private void notifyFreeCount() {
            mListener.onFreeConnections(mTarget, mFree.size());
        }

        long now() {
            return mClock.getAsLong();
        }

        void onInternalError(Throwable fault) {
            mListener.onInternalError(fault);
        }

        void onAnswerSkipped(String answerId, String requestId) {
            mListener.onAnswerSkipped(mTarget, answerId, requestId);
        }

        /**
         * Returns the free connection that was used most recently, of those that can identify the
         * answer; null if there is none.
         */
        TargetConnection takeFree(String requestId) {
            TargetConnection taken = null;
            Iterator<TargetConnection> connections = mFree.iterator();
            while (taken == null && connections.hasNext()) {
                TargetConnection connection = connections.next();
                if (!connection.isUsable(now())) {
                    connections.remove();
                    connection.close();
                } else if (connection.canIdentifyAnswer(requestId)) {
                    connections.remove();
                    taken = connection;
                }
            }
            notifyFreeCount();
            return taken;
        }

        void connect(Attempt attempt) {
            if (!SocketAddresses.isIpAndPort(mAddress)) {
                // Deferred: the listener must not be called before send() has returned the attempt.
                mLoop.execute(() -> failUnsent(attempt, "not IP:port: " + mAddress));
                return;
            }
            TargetConnection connection = new TargetConnection(this, mRequestIds);
            long startedAt = now();
            openChannel(connection)
                    .addListener(
                            (ChannelFuture connecting) ->
                                    onConnected(connecting, connection, attempt, startedAt));
        }

        void probe() {
            if (mProbing || mRemoved || !mOpen.isEmpty()) {
                return;
            }
            mProbing = true;
            TargetConnection connection = new TargetConnection(this, mRequestIds);
            long startedAt = now();
            openChannel(connection)
                    .addListener(
                            (ChannelFuture connecting) ->
                                    onProbed(connecting, connection, startedAt));
        }

        private void onProbed(
                ChannelFuture connecting, TargetConnection connection, long startedAt) {
            mProbing = false;
            if (connecting.isSuccess()) {
                mListener.onConnected(mTarget, now() - startedAt);
                mOpen.add(connection);
                connection.addToPool();
            } else {
                notifyIfRefused(connecting.cause());
            }
        }

        private ChannelFuture openChannel(TargetConnection connection) {
            InetSocketAddress address = Addresses.parse(mAddress);
            return bootstrap(connection).connect(address);
        }

        /**
         * Reports a refused connection, since no process listens there. A connection time-out isn't
         * reported: it may be due to the network alone.
         */
        private void notifyIfRefused(Throwable cause) {
            if (cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)) {
                mListener.onConnectionRefused(mTarget);
            }
        }

        void onFree(TargetConnection connection) {
            if (mRemoved) {
                connection.close();
            } else {
                mFree.addFirst(connection);
                notifyFreeCount();
            }
        }

        void onClosed(TargetConnection connection) {
            mOpen.remove(connection);
            if (mFree.remove(connection)) {
                notifyFreeCount();
            }
        }

        void closeIdle() {
            List<TargetConnection> stale = new ArrayList<>();
            for (TargetConnection connection : mFree) {
                if (!connection.isUsable(now())) {
                    stale.add(connection);
                }
            }
            if (mFree.removeAll(stale)) {
                notifyFreeCount();
            }
            stale.forEach(TargetConnection::close);
        }

        void onRemoved() {
            mRemoved = true;
            mFree.forEach(TargetConnection::close);
            mFree.clear();
        }

        private void onConnected(
                ChannelFuture connecting,
                TargetConnection connection,
                Attempt attempt,
                long startedAt) {
            if (!connecting.isSuccess()) {
                notifyIfRefused(connecting.cause());
                failUnsent(attempt, String.valueOf(connecting.cause()));
                return;
            }
            mListener.onConnected(mTarget, now() - startedAt);
            mOpen.add(connection);
            if (attempt.isCancelled()) {
                connection.close();
            } else {
                send(connection, attempt);
            }
        }

        void failUnsent(Attempt attempt, String reason) {
            if (!attempt.isCancelled()) {
                attempt.request().release();
                attempt.listener().onUnsent(reason);
            }
        }

        private Bootstrap bootstrap(TargetConnection connection) {
            return new Bootstrap()
                    .group(mLoop)
                    .channelFactory(TargetSocketChannel::new)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                    .handler(
                            new ChannelInitializer<Channel>() {
                                @Override
                                protected void initChannel(Channel channel) {
                                    connection.addHandlers(channel.pipeline());
                                }
                            });
        }
    }

    /** Is notified of changes and errors of connections, on the traffic thread. */
    public interface Listener {
        /** The listener of an attempt has thrown an exception, which closes its connection. */
        default void onInternalError(Throwable fault) {}

        /** The number of free connections to a target has changed. */
        default void onFreeConnections(String target, int free) {}

        /** A connection to a target was made, which took this long. */
        default void onConnected(String target, long millis) {}

        /** A target's address refuses connections: no process listens there. */
        default void onConnectionRefused(String target) {}

        /** A status request has shown whether a connection leads to the known incarnation. */
        default void onIncarnationChecked(boolean isKnown) {}

        /** An answer to {@code answerId} was skipped while {@code requestId} awaited its own. */
        default void onAnswerSkipped(String target, String answerId, String requestId) {}
    }
}
