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

import io.grpc.ManagedChannel;
import io.grpc.stub.StreamObserver;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.gateway.instance.proto.Ping;
import org.quilldyke.gateway.instance.proto.SessionsGrpc;

/** The stream on which a control process speaks to another one; answers come on the other's. */
final class PeerLink extends StreamLink<PeerFrame, PeerFrame> {
    private final String mSelf;
    private final BiConsumer<String, Boolean> mListener;

    PeerLink(
            NettyLoop loop,
            LongSupplier clock,
            String self,
            String address,
            RegionBytes regionBytes,
            BiConsumer<String, Boolean> listener) {
        super(loop, clock, address, regionBytes);
        mSelf = self;
        mListener = listener;
    }

    void send(PeerFrame.Builder frame) {
        send(frame.setAddress(mSelf).build());
    }

    @Override
    StreamObserver<PeerFrame> call(ManagedChannel channel, StreamObserver<PeerFrame> in) {
        return SessionsGrpc.newStub(channel).peer(in);
    }

    @Override
    void onOpened() {
        onBeat();
    }

    @Override
    void onBeat() {
        send(PeerFrame.newBuilder().setPing(Ping.getDefaultInstance()));
    }

    @Override
    void onFrame(PeerFrame frame) {
        // Signs of life only.
    }

    @Override
    void onUp() {
        mListener.accept(address(), true);
    }

    @Override
    void onDown(String why) {
        mListener.accept(address(), false);
    }
}
