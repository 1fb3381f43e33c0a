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

/**
 * Bounds the retries of an instance to a share of its requests, so that they can't amplify an
 * overload.
 *
 * <p>Each request adds the share to a reserve of limited size, each retry takes one from it.
 */
public final class RetryBudget {
    private final double mShare;
    private final double mLimit;
    private double mReserve;

    private RetryBudget(double share, double limit) {
        mShare = share;
        mLimit = limit;
        mReserve = limit;
    }

    /**
     * Returns a budget with a full reserve.
     *
     * @param share retries allowed for each request in the long run
     * @param limit retries allowed at once after a quiet time
     */
    public static RetryBudget create(double share, double limit) {
        return new RetryBudget(share, limit);
    }

    /** Notes a new request. */
    public synchronized void onRequest() {
        mReserve = Math.min(mLimit, mReserve + mShare);
    }

    /** Takes one retry from the reserve; returns false, and takes nothing, if there is none. */
    public synchronized boolean tryRetry() {
        if (mReserve < 1) {
            return false;
        }
        mReserve -= 1;
        return true;
    }

    /** Gives back what was taken for a retry that has not run. */
    public synchronized void giveBack() {
        mReserve = Math.min(mLimit, mReserve + 1);
    }
}
