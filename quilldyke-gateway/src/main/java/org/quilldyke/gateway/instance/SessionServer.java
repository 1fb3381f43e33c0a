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

import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.settings.Addresses;
import org.quilldyke.gateway.http.BindRetry;
import org.quilldyke.gateway.instance.proto.ControlFrame;
import org.quilldyke.gateway.instance.proto.EntryFrame;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.gateway.instance.proto.Ping;
import org.quilldyke.gateway.instance.proto.SessionsGrpc;

/** Accepts the streams of other instances. */
public final class SessionServer {
    private static final int MAX_FRAME_BYTES = 64 << 20;

    private final Server mServer;

    private SessionServer(Server server) {
        mServer = server;
    }

    /**
     * Starts to accept streams.
     *
     * @param address {@code IP:port}
     * @param loop the control thread, on which the handler is called
     * @param handler receives the frames
     * @param regionBytes counts the bytes that are sent to other regions
     * @throws QuilldykeException {@link ResultCode#ADDRESS_IN_USE} if the address can't be bound
     */
    public static SessionServer start(
            String address, NettyLoop loop, Handler handler, RegionBytes regionBytes)
            throws QuilldykeException {
        return BindRetry.bind(() -> tryStart(address, loop, handler, regionBytes));
    }

    private static SessionServer tryStart(
            String address, NettyLoop loop, Handler handler, RegionBytes regionBytes)
            throws QuilldykeException {
        try {
            NettyServerBuilder builder =
                    NettyServerBuilder.forAddress(Addresses.parse(address))
                            .bossEventLoopGroup(loop.loop())
                            .workerEventLoopGroup(loop.loop())
                            .channelType(NioServerSocketChannel.class)
                            .directExecutor()
                            .maxInboundMessageSize(MAX_FRAME_BYTES)
                            .addService(new Sessions(loop, handler));
            regionBytes.ofServer().ifPresent(builder::intercept);
            return new SessionServer(builder.build().start());
        } catch (IOException e) {
            throw QuilldykeException.of(
                    ResultCode.ADDRESS_IN_USE, Outcome.NOT_RUN, address + ": " + e, e);
        }
    }

    /** Closes all streams. */
    public void close() {
        mServer.shutdownNow();
    }

    /** Receives the frames of other instances, on the control thread. */
    public interface Handler {
        /** Handles a frame of another control process. */
        void onPeerFrame(PeerFrame frame);

        /** Accepts the stream of an entry process; returns the receiver of its frames. */
        EntrySession onSubscriber(StreamObserver<ControlFrame> out);
    }

    /** The stream of one entry process. */
    public interface EntrySession {
        /** Handles a frame. */
        void onFrame(EntryFrame frame);

        /** The stream has ended. */
        void onEnd();
    }

    /** Makes sending on a stream that the peer has cancelled a no-op instead of an exception. */
    private static void ignoreCancel(StreamObserver<?> out) {
        ((ServerCallStreamObserver<?>) out).setOnCancelHandler(() -> {});
    }

    private static final class Sessions extends SessionsGrpc.SessionsImplBase {
        private final NettyLoop mLoop;
        private final Handler mHandler;

        Sessions(NettyLoop loop, Handler handler) {
            mLoop = loop;
            mHandler = handler;
        }

        @Override
        public StreamObserver<PeerFrame> peer(StreamObserver<PeerFrame> out) {
            PeerFrame alive =
                    PeerFrame.newBuilder().setPing(Ping.newBuilder().setReply(true)).build();
            ignoreCancel(out);
            return new StreamObserver<>() {
                @Override
                public void onNext(PeerFrame frame) {
                    if (frame.getKindCase() == PeerFrame.KindCase.PING) {
                        out.onNext(alive);
                    } else {
                        mLoop.run(() -> mHandler.onPeerFrame(frame));
                    }
                }

                @Override
                public void onError(Throwable e) {
                    // The peer reopens the stream and logs the cause.
                }

                @Override
                public void onCompleted() {
                    out.onCompleted();
                }
            };
        }

        @Override
        public StreamObserver<EntryFrame> subscribe(StreamObserver<ControlFrame> out) {
            ignoreCancel(out);
            EntrySession session = mHandler.onSubscriber(out);
            return new StreamObserver<>() {
                @Override
                public void onNext(EntryFrame frame) {
                    mLoop.run(() -> session.onFrame(frame));
                }

                @Override
                public void onError(Throwable e) {
                    mLoop.run(session::onEnd);
                }

                @Override
                public void onCompleted() {
                    mLoop.run(session::onEnd);
                    out.onCompleted();
                }
            };
        }
    }
}
