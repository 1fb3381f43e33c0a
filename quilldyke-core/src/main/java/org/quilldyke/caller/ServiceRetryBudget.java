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

import java.util.HashMap;
import java.util.Map;

/**
 * The share of one instance in the retries that all instances together may send to a service.
 *
 * <p>In any time window, a service may receive retries up to a fraction of its requests plus a
 * fixed number, which is divided among the instances.
 */
public final class ServiceRetryBudget {
    private static final int BUCKETS = 20;

    /**
     * Fraction of the budget that is used, so that the total stays within it if instances count one
     * instance less than there are.
     */
    private static final double USED_FRACTION = 0.8;

    private final double mRetriesPerRequest;
    private final double mFixedRetries;
    private final long mBucketMillis;
    private final Map<String, Window> mWindows = new HashMap<>();
    private int mInstances;

    private ServiceRetryBudget(
            double retriesPerRequest, double fixedRetries, long windowMillis, int instances) {
        mRetriesPerRequest = retriesPerRequest;
        mFixedRetries = fixedRetries;
        mBucketMillis = Math.max(1, windowMillis / BUCKETS);
        mInstances = instances;
    }

    /**
     * Returns an unused budget.
     *
     * @param retriesPerRequest retries per request
     * @param fixedRetries additional retries per window, for all instances together
     * @param windowMillis the length of a window
     * @param instances the number of instances that is assumed until it is known
     */
    public static ServiceRetryBudget create(
            double retriesPerRequest, double fixedRetries, long windowMillis, int instances) {
        return new ServiceRetryBudget(retriesPerRequest, fixedRetries, windowMillis, instances);
    }

    /** Sets the number of instances among which the fixed retries are divided. */
    public void onInstanceCount(int instances) {
        mInstances = Math.max(1, instances);
    }

    /** Records a request for a service. */
    public void onRequest(String service, long now) {
        window(service, now).mRequests[bucketIndex(now)]++;
    }

    /** Takes a retry for a service; returns false, and takes nothing, if none is available. */
    public boolean tryAcquire(String service, long now) {
        if (!hasAvailable(service, 1, now)) {
            return false;
        }
        window(service, now).mRetries[bucketIndex(now)]++;
        return true;
    }

    /** Returns whether the given number of retries for a service is available. */
    public boolean hasAvailable(String service, int retries, long now) {
        return retries <= available(service, now);
    }

    /** Returns the number of retries available for a service; negative if too many were taken. */
    public double available(String service, long now) {
        Window window = window(service, now);
        double allowed = mRetriesPerRequest * sum(window.mRequests) + mFixedRetries / mInstances;
        return USED_FRACTION * allowed - sum(window.mRetries);
    }

    private Window window(String service, long now) {
        Window window = mWindows.computeIfAbsent(service, name -> new Window(now / mBucketMillis));
        window.advanceTo(now / mBucketMillis);
        return window;
    }

    private int bucketIndex(long now) {
        return (int) Math.floorMod(now / mBucketMillis, BUCKETS);
    }

    private static int sum(int[] buckets) {
        int sum = 0;
        for (int count : buckets) {
            sum += count;
        }
        return sum;
    }

    private static final class Window {
        final int[] mRequests = new int[BUCKETS];
        final int[] mRetries = new int[BUCKETS];
        long mNewestBucket;

        Window(long newest) {
            mNewestBucket = newest;
        }

        void advanceTo(long bucket) {
            long firstNew = Math.max(mNewestBucket + 1, bucket - BUCKETS + 1);
            for (long b = firstNew; b <= bucket; b++) {
                int index = (int) Math.floorMod(b, BUCKETS);
                mRequests[index] = 0;
                mRetries[index] = 0;
            }
            mNewestBucket = Math.max(mNewestBucket, bucket);
        }
    }
}
