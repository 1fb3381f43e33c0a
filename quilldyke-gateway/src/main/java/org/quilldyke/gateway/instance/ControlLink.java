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
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.quilldyke.gateway.instance.proto.ControlFrame;
import org.quilldyke.gateway.instance.proto.EntryFrame;
import org.quilldyke.gateway.instance.proto.SessionsGrpc;
import org.quilldyke.gateway.instance.proto.TargetLoads;

/** The stream between an entry process and one control process. */
final class ControlLink extends StreamLink<EntryFrame, ControlFrame> {
    private static final ControlFrame NO_LOADS =
            ControlFrame.newBuilder().setLoads(TargetLoads.getDefaultInstance()).build();

    private final LongSupplier mClock;
    private final ControlLinks mOwner;
    private final LongSupplier mLeaseClock;
    private final Map<Long, ControlLinks.Asked> mAsked = new HashMap<>();
    private long mQuestion;
    private long mConfirmedAt;
    private ControlFrame mOthersLoads = NO_LOADS;

    ControlLink(
            NettyLoop loop,
            LongSupplier clock,
            LongSupplier leaseClock,
            String address,
            RegionBytes regionBytes,
            ControlLinks owner) {
        super(loop, clock, address, regionBytes);
        mClock = clock;
        mLeaseClock = leaseClock;
        mOwner = owner;
        mConfirmedAt = clock.getAsLong();
    }

    /** Returns when the last answered question was sent. */
    long confirmedAt() {
        return mConfirmedAt;
    }

    /** Returns the last loads of other entries that were received on the current stream. */
    ControlFrame othersLoads() {
        return mOthersLoads;
    }

    @Override
    StreamObserver<EntryFrame> call(ManagedChannel channel, StreamObserver<ControlFrame> in) {
        return SessionsGrpc.newStub(channel).subscribe(in);
    }

    @Override
    void onOpened() {
        mAsked.clear();
        mOthersLoads = NO_LOADS;
        send(EntryFrame.newBuilder().setHello(mOwner.hello()).build());
        onBeat();
    }

    @Override
    void onBeat() {
        mQuestion++;
        mAsked.put(mQuestion, new ControlLinks.Asked(mClock.getAsLong(), mLeaseClock.getAsLong()));
        send(EntryFrame.newBuilder().setQuestion(mOwner.question(this, mQuestion)).build());
    }

    @Override
    void onFrame(ControlFrame frame) {
        if (frame.getKindCase() == ControlFrame.KindCase.ANSWER) {
            ControlLinks.Asked asked = mAsked.remove(frame.getAnswer().getNumber());
            if (asked != null) {
                mAsked.values().removeIf(other -> other.at() < asked.at());
                mConfirmedAt = Math.max(mConfirmedAt, asked.at());
                mOwner.onAnswer(this, frame.getAnswer(), asked);
            }
        } else {
            mOthersLoads = frame.hasLoads() ? frame : mOthersLoads;
            mOwner.onNews(this, frame);
        }
    }

    @Override
    void onUp() {
        mOwner.onLink(address(), true, "");
    }

    @Override
    void onDown(String why) {
        mOwner.onLink(address(), false, why);
    }
}
