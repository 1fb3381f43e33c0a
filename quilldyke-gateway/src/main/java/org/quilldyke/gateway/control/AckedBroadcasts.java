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
package org.quilldyke.gateway.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.gateway.instance.proto.Taken;
import org.quilldyke.gateway.instance.proto.Targets;

/**
 * Broadcasts about targets that are acknowledged to their sender only once enough other control
 * processes have stored them, so that the tolerated number of process losses can't lose them.
 */
final class AckedBroadcasts {
    /** Targets wait one second for a response, and then try another process. */
    static final long TIMEOUT_MILLIS = 700;

    /** The result where no broadcast is needed. */
    static final CompletableFuture<Boolean> COMPLETED = CompletableFuture.completedFuture(true);

    private final Consumer<PeerFrame.Builder> mToPeers;
    private final LongSupplier mClock;
    private final int mRequiredAcks;
    private final Map<Long, PendingBroadcast> mPending = new HashMap<>();
    private final Set<String> mDeliveredKeys = new HashSet<>();
    private long mLastNumber;

    /**
     * @param toPeers sends a frame to all reachable control processes
     * @param clock monotonic milliseconds
     * @param requiredAcks how many of them have to store a broadcast
     */
    AckedBroadcasts(Consumer<PeerFrame.Builder> toPeers, LongSupplier clock, int requiredAcks) {
        mToPeers = toPeers;
        mClock = clock;
        mRequiredAcks = requiredAcks;
    }

    /**
     * Sends targets to all reachable control processes.
     *
     * @return whether enough of them have stored the targets within {@link #TIMEOUT_MILLIS}
     */
    CompletableFuture<Boolean> broadcast(Targets targets) {
        PendingBroadcast pending = new PendingBroadcast(mClock.getAsLong());
        mPending.put(++mLastNumber, pending);
        mToPeers.accept(
                PeerFrame.newBuilder()
                        .setTargets(targets.toBuilder().setNumber(mLastNumber).build()));
        completeIfAcknowledged(mLastNumber, pending);
        return pending.mResult;
    }

    /**
     * Sends targets to all reachable control processes, unless an earlier broadcast with the same
     * key has succeeded.
     *
     * @return as {@link #broadcast}
     */
    CompletableFuture<Boolean> broadcastOnce(String key, Targets targets) {
        if (mDeliveredKeys.contains(key)) {
            return COMPLETED;
        }
        return broadcast(targets)
                .thenApply(
                        acknowledged -> {
                            if (acknowledged) {
                                mDeliveredKeys.add(key);
                            }
                            return acknowledged;
                        });
    }

    /** Causes the next broadcast with the key to be sent again. */
    void forget(String key) {
        mDeliveredKeys.remove(key);
    }

    /** Removes the keys that no longer exist. */
    void retain(Predicate<String> exists) {
        mDeliveredKeys.removeIf(exists.negate());
    }

    /** Handles another control process's acknowledgement that it has stored a broadcast. */
    void onAck(String from, long number) {
        PendingBroadcast pending = mPending.get(number);
        if (pending != null) {
            pending.mAckedBy.add(from);
            completeIfAcknowledged(number, pending);
        }
    }

    /** Fails the broadcasts whose timeout has passed; called periodically. */
    void expire() {
        long limit = mClock.getAsLong() - TIMEOUT_MILLIS;
        for (Map.Entry<Long, PendingBroadcast> entry : Map.copyOf(mPending).entrySet()) {
            if (entry.getValue().mStartedAt < limit) {
                mPending.remove(entry.getKey());
                entry.getValue().mResult.complete(false);
            }
        }
    }

    /** Returns the frame that acknowledges a broadcast. */
    static PeerFrame.Builder ackFrame(long number) {
        return PeerFrame.newBuilder().setTaken(Taken.newBuilder().setNumber(number));
    }

    private void completeIfAcknowledged(long number, PendingBroadcast pending) {
        if (pending.mAckedBy.size() >= mRequiredAcks) {
            mPending.remove(number);
            pending.mResult.complete(true);
        }
    }

    private static final class PendingBroadcast {
        final long mStartedAt;
        final Set<String> mAckedBy = new HashSet<>();
        final CompletableFuture<Boolean> mResult = new CompletableFuture<>();

        PendingBroadcast(long startedAt) {
            mStartedAt = startedAt;
        }
    }
}
