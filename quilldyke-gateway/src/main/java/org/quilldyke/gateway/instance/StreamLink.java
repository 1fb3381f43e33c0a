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
 * A stream to another instance that is opened again whenever it ends or falls silent.
 *
 * <p>A peer that is cut off doesn't answer, and its connection hangs rather than ends; so each side
 * speaks often, and a stream on which nothing was heard for a while is dropped with its connection.
 * Lives on the control thread.
 *
 * @param <O> what is sent
 * @param <I> what is received
 */
abstract class StreamLink<O, I> {
    /** How often a sign of life is sent. */
    static final long BEAT_MILLIS = 250;

    /** A stream is dropped after this silence: several beats and a pause of the other process. */
    static final long SILENT_MILLIS = 1200;

    /**
     * The first pause before another try, doubled with each that fails: processes that were killed
     * together come back within some 100 ms of each other.
     */
    private static final long RECONNECT_MILLIS = 40;

    /**
     * The longest pause is 160 ms. Entries are up some 0.3 s before control processes, and with
     * pauses of up to 640 ms the last of them connected 0.26 s after the first.
     */
    private static final int MAX_DOUBLINGS = 2;

    private static final int CONNECT_MILLIS = 500;
    private static final int MAX_FRAME_BYTES = 64 << 20;

    private final NettyLoop mLoop;
    private final LongSupplier mClock;
    private final String mAddress;
    private ManagedChannel mChannel;
    private StreamObserver<O> mOut;
    private Receiver mReceiver;
    private long mHeardAt;
    private boolean mUp;
    private int mFailures;
    private boolean mClosed;

    StreamLink(NettyLoop loop, LongSupplier clock, String address) {
        mLoop = loop;
        mClock = clock;
        mAddress = address;
    }

    /** Opens the stream, and again whenever it ends, until {@link #close}. */
    void open() {
        connect();
        beat();
    }

    /** Closes the stream for good. */
    void close() {
        mClosed = true;
        drop();
    }

    /** Returns the peer's address. */
    String address() {
        return mAddress;
    }

    /** Returns whether the peer was heard on the present stream. */
    boolean isUp() {
        return mUp;
    }

    /** Returns when the peer was heard last. */
    long heardAt() {
        return mHeardAt;
    }

    /** Sends a frame, best effort; returns whether there is a stream to send it on. */
    boolean send(O frame) {
        if (mOut == null) {
            return false;
        }
        try {
            mOut.onNext(frame);
            return true;
        } catch (IllegalStateException e) {
            // The stream has just ended; its end is reported by itself.
            return false;
        }
    }

    /** Starts the call on a fresh channel. */
    abstract StreamObserver<O> call(ManagedChannel channel, StreamObserver<I> in);

    /** Speaks first on a fresh stream. */
    abstract void onOpened();

    /** Sends a sign of life. */
    abstract void onBeat();

    abstract void onFrame(I frame);

    /** The peer was heard on a fresh stream. */
    abstract void onUp();

    /** A stream on which the peer was heard has ended. */
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

    /** Hears one stream; what comes after the stream was dropped is ignored. */
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
