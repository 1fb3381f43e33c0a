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
package org.quilldyke.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Token bucket of one organisation at the leader.
 *
 * <p>Units that were granted but not spent still count against the capacity, so that the available
 * and the granted units together never exceed it. In any window no more can be sent than was
 * available or granted at its start, plus what the rate has added since.
 */
final class QuotaBucket {
    /**
     * While less than this fraction of the capacity is available, only needed units are granted.
     */
    private static final double RESERVE_FRACTION = 0.4;

    private static final double MILLIS_PER_SECOND = 1000;

    private final Deque<ClosedAccount> mClosedAccounts = new ArrayDeque<>();
    private Quota mQuota;
    private double mCapacity;
    private double mAvailable;
    private long mRefilledAt;

    /** The granted units that were not spent, of open accounts. */
    private long mOutstanding;

    /** The same of closed accounts, whose holders may still spend them. */
    private long mClosedOutstanding;

    private QuotaBucket(Quota quota, double capacity, long now) {
        mQuota = quota;
        mCapacity = capacity;
        mRefilledAt = now;
    }

    /** Returns a bucket without units. */
    static QuotaBucket createEmpty(Quota quota, double capacity, long now) {
        return new QuotaBucket(quota, capacity, now);
    }

    /** Applies another quota; if it is lower, units beyond its capacity are discarded. */
    void onQuota(Quota quota, double capacity, long now) {
        refill(now);
        mQuota = quota;
        mCapacity = capacity;
        refill(now);
    }

    /** Records that the holder of an open account has spent units. */
    void onSpent(long units) {
        mOutstanding -= units;
    }

    /** Records that the holder of an open account has given units back. */
    void onReturned(long units) {
        mOutstanding -= units;
        mAvailable += units;
    }

    /** Closes an account; its holder may spend the rest of its units until the given time. */
    void closeAccount(long outstanding, long validUntil) {
        mOutstanding -= outstanding;
        mClosedOutstanding += outstanding;
        mClosedAccounts.add(new ClosedAccount(outstanding, validUntil));
    }

    /** Returns the units granted for a request. */
    long grant(QuotaPull.Item request, long now) {
        refill(now);
        long granted = 0;
        if (mAvailable >= request.minNeeded()) {
            granted = (long) Math.min(mAvailable, request.needed());
        }
        double surplus = mAvailable - granted - RESERVE_FRACTION * mCapacity;
        granted += (long) Math.max(0, Math.min(surplus, request.wanted()));
        mAvailable -= granted;
        mOutstanding += granted;
        return granted;
    }

    /** Returns after which time the given number of units is available if none are granted. */
    long millisUntilAvailable(long units) {
        double missing = units - mAvailable;
        return missing <= 0
                ? 0
                : (long) Math.ceil(missing * MILLIS_PER_SECOND / mQuota.perSecond());
    }

    /** Returns whether units are granted only as far as requests need them. */
    boolean isScarce() {
        return mAvailable < RESERVE_FRACTION * mCapacity;
    }

    private void refill(long now) {
        while (!mClosedAccounts.isEmpty() && mClosedAccounts.peek().validUntil() <= now) {
            mClosedOutstanding -= mClosedAccounts.remove().units();
        }
        double added = mQuota.perSecond() * Math.max(0, now - mRefilledAt) / MILLIS_PER_SECOND;
        double room = Math.max(0, mCapacity - mOutstanding - mClosedOutstanding);
        mAvailable = Math.min(mAvailable + added, room);
        mRefilledAt = Math.max(mRefilledAt, now);
    }

    private record ClosedAccount(long units, long validUntil) {}
}
