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
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.quilldyke.control.PeerMessage;
import org.quilldyke.daemon.instance.proto.ControlGrpc;
import org.quilldyke.daemon.instance.proto.Delivered;
import org.quilldyke.daemon.instance.proto.ExchangeReply;
import org.quilldyke.daemon.instance.proto.ExchangeRequest;
import org.quilldyke.daemon.instance.proto.InstancesGrpc;
import org.quilldyke.daemon.instance.proto.ProposeReply;
import org.quilldyke.daemon.instance.proto.ProposeRequest;
import org.quilldyke.daemon.settings.Addresses;
import org.quilldyke.daemon.settings.Site;

/** The gRPC clients of one instance, a channel to each other instance. */
public final class PeerClients {
    static final int MAX_MESSAGE_BYTES = 64 << 20;
    private static final long EXCHANGE_DEADLINE_MILLIS = 1000;
    private static final long DELIVER_DEADLINE_MILLIS = 1000;
    private static final long KEEP_ALIVE_SECONDS = 10;

    private final String mSelf;
    private final Map<String, ManagedChannel> mChannels = new HashMap<>();
    private final Map<String, InstancesGrpc.InstancesStub> mInstances = new HashMap<>();
    private final Map<String, ControlGrpc.ControlStub> mControl = new HashMap<>();

    private PeerClients(String self) {
        mSelf = self;
    }

    /** Opens channels from {@code self} to all other instances; they connect by and by. */
    public static PeerClients open(Site site, String self) {
        PeerClients clients = new PeerClients(self);
        for (Site.Instance other : site.others(self)) {
            clients.connect(other.id(), other.internal());
        }
        return clients;
    }

    /** Sends a replica's message, best effort. */
    public void deliver(String to, PeerMessage message) {
        ControlGrpc.ControlStub stub = mControl.get(to);
        stub.withDeadlineAfter(DELIVER_DEADLINE_MILLIS, TimeUnit.MILLISECONDS)
                .deliver(Wire.encode(mSelf, to, message), new Ignored());
    }

    /** Sends an exchange and returns the reply. */
    CompletableFuture<ExchangeReply> exchange(String to, ExchangeRequest request) {
        Reply<ExchangeReply> reply = new Reply<>();
        mInstances
                .get(to)
                .withDeadlineAfter(EXCHANGE_DEADLINE_MILLIS, TimeUnit.MILLISECONDS)
                .exchange(request, reply);
        return reply.mFuture;
    }

    /** Proposes an encoded command at another instance. */
    public CompletableFuture<ProposeReply> propose(String to, byte[] command, long millis) {
        Reply<ProposeReply> reply = new Reply<>();
        mControl.get(to)
                .withDeadlineAfter(millis, TimeUnit.MILLISECONDS)
                .propose(
                        ProposeRequest.newBuilder()
                                .setCommandJson(ByteString.copyFrom(command))
                                .build(),
                        reply);
        return reply.mFuture;
    }

    /** Closes all channels. */
    public void close() {
        mChannels.values().forEach(ManagedChannel::shutdownNow);
    }

    private void connect(String id, String address) {

        ManagedChannel channel =
                NettyChannelBuilder.forAddress(Addresses.parse(address))
                        .usePlaintext()
                        .directExecutor()
                        .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                        .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
                        .build();
        mChannels.put(id, channel);
        mInstances.put(id, InstancesGrpc.newStub(channel));
        mControl.put(id, ControlGrpc.newStub(channel));
    }

    /**
     * Ends the wait before the next attempt to connect, so that a restarted peer is reached at
     * once.
     */
    void reconnect(String id) {
        mChannels.get(id).resetConnectBackoff();
    }

    private static final class Reply<T> implements StreamObserver<T> {
        final CompletableFuture<T> mFuture = new CompletableFuture<>();

        @Override
        public void onNext(T value) {
            mFuture.complete(value);
        }

        @Override
        public void onError(Throwable e) {
            mFuture.completeExceptionally(e);
        }

        @Override
        public void onCompleted() {
            // The value has come with onNext.
        }
    }

    /** Takes no notice: the replica's protocol sends again what was lost. */
    private static final class Ignored implements StreamObserver<Delivered> {
        @Override
        public void onNext(Delivered value) {
            // Nothing in it.
        }

        @Override
        public void onError(Throwable e) {
            // Lost; the replica sends again at its next heartbeat.
        }

        @Override
        public void onCompleted() {
            // Done.
        }
    }
}
