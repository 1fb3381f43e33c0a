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
package org.quilldyke.daemon.instance;

import com.google.protobuf.ByteString;
import io.grpc.Server;
import io.grpc.Status;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.quilldyke.QuilldykeException;
import org.quilldyke.control.Command;
import org.quilldyke.control.CommandResult;
import org.quilldyke.control.PeerMessage;
import org.quilldyke.daemon.instance.proto.ControlGrpc;
import org.quilldyke.daemon.instance.proto.Delivered;
import org.quilldyke.daemon.instance.proto.ExchangeReply;
import org.quilldyke.daemon.instance.proto.ExchangeRequest;
import org.quilldyke.daemon.instance.proto.InstancesGrpc;
import org.quilldyke.daemon.instance.proto.ProposeReply;
import org.quilldyke.daemon.instance.proto.ProposeRequest;
import org.quilldyke.daemon.instance.proto.ReplicaMessage;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.daemon.settings.Addresses;

/** The gRPC server of one instance; each call is taken over to the control thread. */
public final class InstanceServer {
    /** The socket is closed on a thread of its own, within a moment unless that is starved. */
    private static final long CLOSE_MILLIS = 1000;

    private final Server mServer;
    private final EventLoopGroup mLoop;

    private InstanceServer(Server server, EventLoopGroup loop) {
        mServer = server;
        mLoop = loop;
    }

    /**
     * Starts the server.
     *
     * @param address {@code IP:port}
     * @param control the control thread
     * @param handler what answers, on the control thread
     * @throws IOException if the address can't be bound
     */
    public static InstanceServer start(String address, Executor control, Handler handler)
            throws IOException {
        EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        NettyServerBuilder builder =
                NettyServerBuilder.forAddress(Addresses.parse(address))
                        .bossEventLoopGroup(loop)
                        .workerEventLoopGroup(loop)
                        .channelType(NioServerSocketChannel.class)
                        .directExecutor()
                        .maxInboundMessageSize(PeerClients.MAX_MESSAGE_BYTES)
                        .permitKeepAliveTime(1, TimeUnit.SECONDS)
                        .addService(new Instances(control, handler))
                        .addService(new Control(control, handler));
        try {
            return new InstanceServer(builder.build().start(), loop);
        } catch (IOException e) {
            loop.shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS);
            throw e;
        }
    }

    /**
     * Stops at once, and returns when the socket is closed: whoever starts the instance again binds
     * the same address. A selector keeps the socket for a moment after its channel was closed, so
     * that only the end of the thread tells.
     */
    public void close() {
        mServer.shutdownNow();
        mLoop.shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_MILLIS);
    }

    /** Answers other instances' calls. */
    public interface Handler {
        /** Takes what another instance knows and answers with what this one knows better. */
        ExchangeReply exchange(ExchangeRequest request);

        /** Takes a message for the replica here, if there is one. */
        void deliver(String from, PeerMessage message);

        /** Proposes a command at the replica here. */
        CompletableFuture<CommandResult> propose(Command command);

        /** Returns the leader as far as known, empty if not. */
        String leader();
    }

    private static final class Instances extends InstancesGrpc.InstancesImplBase {
        private final Executor mControl;
        private final Handler mHandler;

        Instances(Executor control, Handler handler) {
            mControl = control;
            mHandler = handler;
        }

        @Override
        public void exchange(ExchangeRequest request, StreamObserver<ExchangeReply> reply) {
            mControl.execute(
                    () -> {
                        reply.onNext(mHandler.exchange(request));
                        reply.onCompleted();
                    });
        }
    }

    private static final class Control extends ControlGrpc.ControlImplBase {
        private final Executor mControl;
        private final Handler mHandler;

        Control(Executor control, Handler handler) {
            mControl = control;
            mHandler = handler;
        }

        @Override
        public void deliver(ReplicaMessage request, StreamObserver<Delivered> reply) {
            try {
                PeerMessage message = Wire.decode(request);
                mControl.execute(() -> mHandler.deliver(request.getFrom(), message));
                reply.onNext(Delivered.getDefaultInstance());
                reply.onCompleted();
            } catch (QuilldykeException e) {
                reply.onError(Status.INVALID_ARGUMENT.withCause(e).asException());
            }
        }

        @Override
        public void propose(ProposeRequest request, StreamObserver<ProposeReply> reply) {
            Command command;
            try {
                command = Json.decode(request.getCommandJson().toByteArray(), Command.class);
            } catch (QuilldykeException e) {
                reply.onError(Status.INVALID_ARGUMENT.withCause(e).asException());
                return;
            }
            mControl.execute(
                    () ->
                            mHandler.propose(command)
                                    .whenComplete((result, e) -> answer(reply, result, e)));
        }

        private void answer(StreamObserver<ProposeReply> reply, CommandResult result, Throwable e) {
            ProposeReply.Builder out = ProposeReply.newBuilder().setLeader(mHandler.leader());
            if (e == null) {
                out.setAccepted(true).setResultJson(ByteString.copyFrom(Json.encode(result)));
            }
            reply.onNext(out.build());
            reply.onCompleted();
        }
    }
}
