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
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.function.LongSupplier;
import org.quilldyke.daemon.settings.Addresses;

/**
 * A stream to another instance that is reopened when it ends or times out.
 *
 * <p>The connection to an unreachable peer hangs instead of failing, so each side sends a frame at
 * a fixed interval, and a stream without received frames is closed with its connection. Confined to
 * the control thread.
 *
 * @param <O> the type of sent frames
 * @param <I> the type of received frames
 */
abstract class StreamLink<O, I> {
    /** Interval of keep-alive frames. */
    static final long BEAT_MILLIS = 250;

    /** A stream without received frames is closed after this time: several missed keep-alives. */
    static final long SILENT_MILLIS = 1200;

    /**
     * Delay before the first reconnection, doubled with each failure. Processes that were killed
     * together are back within some 100 ms of each other.
     */
    private static final long RECONNECT_MILLIS = 40;

    /**
     * Limits the delay to 160 ms: entries start some 0.3 s before control processes, and longer
     * delays would make the last of them connect much later than the first.
     */
    private static final int MAX_DOUBLINGS = 2;

    private static final int CONNECT_MILLIS = 500;
    private static final int MAX_FRAME_BYTES = 64 << 20;

    private final NettyLoop mLoop;
    private final LongSupplier mClock;
    private final String mAddress;
    private final RegionBytes mRegionBytes;
    private ManagedChannel mChannel;
    private StreamObserver<O> mOut;
    private Receiver mReceiver;
    private long mHeardAt;
    private boolean mUp;
    private int mFailures;
    private boolean mClosed;

    StreamLink(NettyLoop loop, LongSupplier clock, String address, RegionBytes regionBytes) {
        mLoop = loop;
        mClock = clock;
        mAddress = address;
        mRegionBytes = regionBytes;
    }

    /** Opens the stream, and reopens it when it ends, until {@link #close}. */
    void open() {
        connect();
        beat();
    }

    /** Closes the stream permanently. */
    void close() {
        mClosed = true;
        drop();
    }

    /** Returns the peer's address. */
    String address() {
        return mAddress;
    }

    /** Returns whether a frame was received on the current stream. */
    boolean isUp() {
        return mUp;
    }

    /** Returns when the last frame was received. */
    long heardAt() {
        return mHeardAt;
    }

    /** Sends a frame without a delivery guarantee; returns whether a stream is open. */
    boolean send(O frame) {
        if (mOut == null) {
            return false;
        }
        try {
            mOut.onNext(frame);
            return true;
        } catch (IllegalStateException e) {
            // The stream has just ended; its receiver is notified separately.
            return false;
        }
    }

    /** Starts the call on a new channel. */
    abstract StreamObserver<O> call(ManagedChannel channel, StreamObserver<I> in);

    /** Sends the first frames of a new stream. */
    abstract void onOpened();

    /** Sends a keep-alive frame. */
    abstract void onBeat();

    abstract void onFrame(I frame);

    /** The first frame was received on a new stream. */
    abstract void onUp();

    /** A stream on which frames were received has ended. */
    abstract void onDown(String why);

    private void connect() {
        if (mClosed) {
            return;
        }
        mHeardAt = mClock.getAsLong();
        mChannel =
                NettyChannelBuilder.forAddress(Addresses.parse(mAddress))
                        .usePlaintext()
                        .eventLoopGroup(mLoop.loop())
                        .channelType(NioSocketChannel.class)
                        .directExecutor()
                        .intercept(mRegionBytes.ofClient())
                        .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                        .maxInboundMessageSize(MAX_FRAME_BYTES)
                        .build();
        mReceiver = new Receiver();
        mOut = call(mChannel, mReceiver);
        onOpened();
    }

    private void beat() {
        if (mClosed) {
            return;
        }
        mLoop.schedule(BEAT_MILLIS, this::beat);
        if (mOut == null) {
            return;
        }
        if (mClock.getAsLong() - mHeardAt > SILENT_MILLIS) {
            fail("silent");
        } else {
            onBeat();
        }
    }

    private void fail(String why) {
        boolean wasUp = mUp;
        drop();
        if (wasUp) {
            onDown(why);
        }
        mFailures = wasUp ? 0 : mFailures;
        mLoop.schedule(RECONNECT_MILLIS << mFailures, this::connect);
        mFailures = Math.min(MAX_DOUBLINGS, mFailures + 1);
    }

    private void drop() {
        mUp = false;
        mOut = null;
        mReceiver = null;
        if (mChannel != null) {
            mChannel.shutdownNow();
            mChannel = null;
        }
    }

    /** Receives the frames of one stream; frames after its closing are ignored. */
    private final class Receiver implements StreamObserver<I> {
        @Override
        public void onNext(I frame) {
            mLoop.run(
                    () -> {
                        if (mReceiver != this) {
                            return;
                        }
                        mHeardAt = mClock.getAsLong();
                        if (!mUp) {
                            mUp = true;
                            onUp();
                        }
                        onFrame(frame);
                    });
        }

        @Override
        public void onError(Throwable e) {
            onEnd(String.valueOf(e.getMessage()));
        }

        @Override
        public void onCompleted() {
            onEnd("closed by the peer");
        }

        private void onEnd(String why) {
            mLoop.execute(
                    () -> {
                        if (mReceiver == this) {
                            fail(why);
                        }
                    });
        }
    }
}
