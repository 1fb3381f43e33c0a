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

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.MessageLite;
import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.ClientInterceptor;
import io.grpc.ForwardingClientCall.SimpleForwardingClientCall;
import io.grpc.ForwardingClientCallListener.SimpleForwardingClientCallListener;
import io.grpc.ForwardingServerCall.SimpleForwardingServerCall;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quilldyke.routing.Distance;
import org.quilldyke.routing.Topology;

/**
 * Counts the bytes that this instance sends to instances of other regions, by cause.
 *
 * <p>Both sides of a stream state their failure domain in its headers. Each instance counts what it
 * sends, so that the sum over all instances counts each byte once. Nothing is counted, and no
 * header is sent, with fewer than two regions; nothing is counted to a peer that doesn't state its
 * failure domain, as older versions don't. The counters are thread-safe.
 */
public final class RegionBytes {
    /** The gRPC prefix of a message and the header of an HTTP/2 frame. */
    static final int OVERHEAD_BYTES = 5 + 9;

    private static final Metadata.Key<byte[]> FAILURE_DOMAIN =
            Metadata.Key.of("failure-domain-bin", Metadata.BINARY_BYTE_MARSHALLER);

    private final Topology mTopology;
    private final String mFailureDomain;
    private final Map<TrafficCause, Counter> mSent = new EnumMap<>(TrafficCause.class);

    private RegionBytes(Topology topology, String failureDomain) {
        mTopology = topology;
        mFailureDomain = failureDomain;
        for (TrafficCause cause : TrafficCause.values()) {
            mSent.put(cause, new Counter());
        }
    }

    /** Returns counters that are zero, of an instance in a failure domain. */
    public static RegionBytes create(Topology topology, String failureDomain) {
        return new RegionBytes(topology, failureDomain);
    }

    /** Returns counters that stay zero, of an instance of a fleet in one region. */
    public static RegionBytes none() {
        return create(Topology.ONE_REGION, "");
    }

    /** Registers the counters if there are two regions or more. */
    public void register(MetricRegistry registry) {
        if (mTopology.hasRegions()) {
            mSent.forEach(
                    (cause, sent) -> registry.register("region-bytes." + cause.label(), sent));
        }
    }

    /** Counts bytes that pass between this instance and a failure domain. */
    public void add(String failureDomain, TrafficCause cause, long bytes) {
        if (mTopology.distance(mFailureDomain, failureDomain) == Distance.OTHER_REGION) {
            mSent.get(cause).inc(bytes);
        }
    }

    /** Returns what counts the messages of streams that this instance opens. */
    List<ClientInterceptor> ofClient() {
        return mTopology.hasRegions() ? List.of(new OpenedStreams()) : List.of();
    }

    /** Returns what counts the messages of streams that this instance accepts. */
    Optional<ServerInterceptor> ofServer() {
        return mTopology.hasRegions() ? Optional.of(new AcceptedStreams()) : Optional.empty();
    }

    private void state(Metadata headers) {
        headers.put(FAILURE_DOMAIN, mFailureDomain.getBytes(StandardCharsets.UTF_8));
    }

    private static Optional<String> stated(Metadata headers) {
        return Optional.ofNullable(headers.get(FAILURE_DOMAIN))
                .map(name -> new String(name, StandardCharsets.UTF_8));
    }

    private static long bytes(Object message) {
        return OVERHEAD_BYTES + ((MessageLite) message).getSerializedSize();
    }

    private final class OpenedStreams implements ClientInterceptor {
        @Override
        public <Q, R> ClientCall<Q, R> interceptCall(
                MethodDescriptor<Q, R> method, CallOptions options, Channel next) {
            return new OpenedStream<>(next.newCall(method, options));
        }
    }

    /** A stream of which the peer's failure domain is known once it has responded. */
    private final class OpenedStream<Q, R> extends SimpleForwardingClientCall<Q, R> {
        private final Map<TrafficCause, Long> mUncounted = new EnumMap<>(TrafficCause.class);
        private Optional<String> mPeer = Optional.empty();

        OpenedStream(ClientCall<Q, R> call) {
            super(call);
        }

        @Override
        public void start(Listener<R> listener, Metadata headers) {
            state(headers);
            super.start(
                    new SimpleForwardingClientCallListener<>(listener) {
                        @Override
                        public void onHeaders(Metadata response) {
                            onPeer(stated(response));
                            super.onHeaders(response);
                        }
                    },
                    headers);
        }

        @Override
        public void sendMessage(Q message) {
            TrafficCause cause = TrafficCause.of(message);
            if (mPeer.isPresent()) {
                add(mPeer.get(), cause, bytes(message));
            } else {
                mUncounted.merge(cause, bytes(message), Long::sum);
            }
            super.sendMessage(message);
        }

        private void onPeer(Optional<String> peer) {
            mPeer = peer;
            peer.ifPresent(domain -> mUncounted.forEach((cause, sum) -> add(domain, cause, sum)));
            mUncounted.clear();
        }
    }

    private final class AcceptedStreams implements ServerInterceptor {
        @Override
        public <Q, R> ServerCall.Listener<Q> interceptCall(
                ServerCall<Q, R> call, Metadata headers, ServerCallHandler<Q, R> next) {
            Optional<String> peer = stated(headers);
            return next.startCall(
                    new SimpleForwardingServerCall<>(call) {
                        @Override
                        public void sendHeaders(Metadata response) {
                            state(response);
                            super.sendHeaders(response);
                        }

                        @Override
                        public void sendMessage(R message) {
                            peer.ifPresent(to -> add(to, TrafficCause.of(message), bytes(message)));
                            super.sendMessage(message);
                        }
                    },
                    headers);
        }
    }
}
