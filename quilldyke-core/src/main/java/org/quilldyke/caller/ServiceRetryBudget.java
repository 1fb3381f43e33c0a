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
 * An instance's part of the second attempts that all instances together may make on a service.
 *
 * <p>In any window of time, a service may get a share of its requests as second attempts, and a
 * fixed number besides, which the instances divide among them.
 */
public final class ServiceRetryBudget {
    private static final int BUCKETS = 20;

    /**
     * The part of the allowance that is used: other instances may count one less than there are.
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
     * Returns an allowance of which nothing is used.
     *
     * @param retriesPerRequest second attempts for each request
     * @param fixedRetries second attempts in a window besides, for all instances together
     * @param windowMillis the length of a window
     * @param instances how many instances divide the fixed part as long as nothing is known
     */
    public static ServiceRetryBudget create(
            double retriesPerRequest, double fixedRetries, long windowMillis, int instances) {
        return new ServiceRetryBudget(retriesPerRequest, fixedRetries, windowMillis, instances);
    }

    /** Takes the number of instances that divide the fixed part. */
    public void onInstanceCount(int instances) {
        mInstances = Math.max(1, instances);
    }

    /** Notes a request for a service. */
    public void onRequest(String service, long now) {
        window(service, now).mRequests[bucketIndex(now)]++;
    }

    /** Takes a second attempt on a service; returns false, and takes nothing, if none is left. */
    public boolean tryAcquire(String service, long now) {
        if (!hasAvailable(service, 1, now)) {
            return false;
        }
        window(service, now).mRetries[bucketIndex(now)]++;
        return true;
    }

    /** Returns whether so many second attempts on a service are left. */
    public boolean hasAvailable(String service, int retries, long now) {
        return retries <= available(service, now);
    }

    /** Returns how many second attempts on a service are left; less than 0 if fewer than none. */
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
