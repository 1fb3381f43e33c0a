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
 * News that others count on once they are acknowledged: they are known at so many other control
 * processes that those which may be lost can't take them along.
 */
final class Deliveries {
    /** A target waits for a second, and asks another process then. */
    static final long TIMEOUT_MILLIS = 700;

    /** What needs no delivery. */
    static final CompletableFuture<Boolean> DONE = CompletableFuture.completedFuture(true);

    private final Consumer<PeerFrame.Builder> mPeers;
    private final LongSupplier mClock;
    private final int mCopies;
    private final Map<Long, Delivery> mOpen = new HashMap<>();
    private final Set<String> mDelivered = new HashSet<>();
    private long mNumber;

    /**
     * @param peers sends a frame to all other control processes in reach
     * @param clock monotonic milliseconds
     * @param copies how many of them have to take news
     */
    Deliveries(Consumer<PeerFrame.Builder> peers, LongSupplier clock, int copies) {
        mPeers = peers;
        mClock = clock;
        mCopies = copies;
    }

    /**
     * Tells news to all other control processes in reach.
     *
     * @return whether enough of them have taken the news, within {@link #TIMEOUT_MILLIS}
     */
    CompletableFuture<Boolean> deliver(Targets news) {
        Delivery delivery = new Delivery(mClock.getAsLong());
        mOpen.put(++mNumber, delivery);
        mPeers.accept(
                PeerFrame.newBuilder().setTargets(news.toBuilder().setNumber(mNumber).build()));
        completeIfDone(mNumber, delivery);
        return delivery.mDone;
    }

    /**
     * Does so, unless it was done for the same subject.
     *
     * @return as {@link #deliver}
     */
    CompletableFuture<Boolean> deliverOnce(String subject, Targets news) {
        if (mDelivered.contains(subject)) {
            return DONE;
        }
        return deliver(news)
                .thenApply(
                        taken -> {
                            if (taken) {
                                mDelivered.add(subject);
                            }
                            return taken;
                        });
    }

    /** News of a subject are to be delivered again. */
    void forget(String subject) {
        mDelivered.remove(subject);
    }

    /** Forgets the subjects that there are no more. */
    void retain(Predicate<String> exists) {
        mDelivered.removeIf(exists.negate());
    }

    /** Takes the word of another control process that it has taken the news with a number. */
    void onTaken(String from, long number) {
        Delivery delivery = mOpen.get(number);
        if (delivery != null) {
            delivery.mTakenBy.add(from);
            completeIfDone(number, delivery);
        }
    }

    /** Gives up those that wait for too long; call it often. */
    void expire() {
        long limit = mClock.getAsLong() - TIMEOUT_MILLIS;
        for (Map.Entry<Long, Delivery> open : Map.copyOf(mOpen).entrySet()) {
            if (open.getValue().mSince < limit) {
                mOpen.remove(open.getKey());
                open.getValue().mDone.complete(false);
            }
        }
    }

    /** Returns the answer to news with a number. */
    static PeerFrame.Builder taken(long number) {
        return PeerFrame.newBuilder().setTaken(Taken.newBuilder().setNumber(number));
    }

    private void completeIfDone(long number, Delivery delivery) {
        if (delivery.mTakenBy.size() >= mCopies) {
            mOpen.remove(number);
            delivery.mDone.complete(true);
        }
    }

    private static final class Delivery {
        final long mSince;
        final Set<String> mTakenBy = new HashSet<>();
        final CompletableFuture<Boolean> mDone = new CompletableFuture<>();

        Delivery(long since) {
            mSince = since;
        }
    }
}
