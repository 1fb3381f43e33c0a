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
package org.quilldyke.caller;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongToIntFunction;

/**
 * The retries that one instance may send to a service.
 *
 * <p>In any time window, a service may receive retries from all instances together up to a fraction
 * of its requests plus a fixed number. Each instance uses that fraction of its own requests, and a
 * share of the fixed number.
 */
public final class ServiceRetryBudget {
    private static final int BUCKETS = 20;

    /** Fraction of the budget that is used; the rest is for retries that arrive late. */
    private static final double USED_FRACTION = 0.8;

    private final double mRetriesPerRequest;
    private final double mFixedRetries;
    private final long mBucketMillis;
    private final LongToIntFunction mSharers;
    private final Map<String, Window> mWindows = new HashMap<>();

    private ServiceRetryBudget(
            double retriesPerRequest,
            double fixedRetries,
            long windowMillis,
            LongToIntFunction sharers) {
        mRetriesPerRequest = retriesPerRequest;
        mFixedRetries = fixedRetries;
        mBucketMillis = Math.max(1, windowMillis / BUCKETS);
        mSharers = sharers;
    }

    /**
     * Returns an unused budget of a constant number of instances.
     *
     * @param retriesPerRequest retries per request
     * @param fixedRetries additional retries per window, for all instances together
     * @param windowMillis the length of a window
     * @param instances the number of instances
     */
    public static ServiceRetryBudget create(
            double retriesPerRequest, double fixedRetries, long windowMillis, int instances) {
        return new ServiceRetryBudget(
                retriesPerRequest, fixedRetries, windowMillis, now -> instances);
    }

    /**
     * Returns an unused budget of a number of instances that may change.
     *
     * @param retriesPerRequest retries per request
     * @param fixedRetries additional retries per window, for all instances together
     * @param windowMillis the length of a window
     * @param share this instance's share of the fixed retries
     */
    public static ServiceRetryBudget shared(
            double retriesPerRequest, double fixedRetries, long windowMillis, RetryShare share) {
        return new ServiceRetryBudget(
                retriesPerRequest, fixedRetries, windowMillis, share::sharers);
    }

    /** Records a request for a service. */
    public void onRequest(String service, long now) {
        window(service, now).mRequests.increment(now / mBucketMillis);
    }

    /** Takes a retry for a service; returns false, and takes nothing, if none is available. */
    public boolean tryAcquire(String service, long now) {
        if (!hasAvailable(service, 1, now)) {
            return false;
        }
        window(service, now).mRetries.increment(now / mBucketMillis);
        return true;
    }

    /** Returns whether the given number of retries for a service is available. */
    public boolean hasAvailable(String service, int retries, long now) {
        return retries <= available(service, now);
    }

    /** Returns the number of retries available for a service; negative if too many were taken. */
    public double available(String service, long now) {
        Window window = window(service, now);
        int sharers = mSharers.applyAsInt(now);
        double fixed = sharers == 0 ? 0 : mFixedRetries / sharers;
        double allowed = mRetriesPerRequest * window.mRequests.sum() + fixed;
        return USED_FRACTION * allowed - window.mRetries.sum();
    }

    private Window window(String service, long now) {
        Window window = mWindows.computeIfAbsent(service, name -> new Window(now / mBucketMillis));
        window.advanceTo(now / mBucketMillis);
        return window;
    }

    private static final class Window {
        final Buckets mRequests;
        final Buckets mRetries;

        Window(long newest) {
            mRequests = new Buckets(BUCKETS, newest);
            // The newest bucket is incomplete, so one more is needed to cover a whole window.
            mRetries = new Buckets(BUCKETS + 1, newest);
        }

        void advanceTo(long bucket) {
            mRequests.advanceTo(bucket);
            mRetries.advanceTo(bucket);
        }
    }

    private static final class Buckets {
        private final int[] mCounts;
        private long mNewest;

        Buckets(int count, long newest) {
            mCounts = new int[count];
            mNewest = newest;
        }

        void advanceTo(long bucket) {
            long firstNew = Math.max(mNewest + 1, bucket - mCounts.length + 1);
            for (long b = firstNew; b <= bucket; b++) {
                mCounts[index(b)] = 0;
            }
            mNewest = Math.max(mNewest, bucket);
        }

        void increment(long bucket) {
            mCounts[index(bucket)]++;
        }

        int sum() {
            return Arrays.stream(mCounts).sum();
        }

        private int index(long bucket) {
            return (int) Math.floorMod(bucket, (long) mCounts.length);
        }
    }
}
