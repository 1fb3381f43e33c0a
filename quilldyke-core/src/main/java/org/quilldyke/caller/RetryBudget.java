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
    private final double mTokensPerRequest;
    private final double mMaxTokens;
    private double mTokens;

    private RetryBudget(double tokensPerRequest, double maxTokens) {
        mTokensPerRequest = tokensPerRequest;
        mMaxTokens = maxTokens;
        mTokens = maxTokens;
    }

    /**
     * Returns a budget with a full reserve.
     *
     * @param tokensPerRequest retries allowed for each request in the long run
     * @param maxTokens retries allowed at once after a quiet time
     */
    public static RetryBudget create(double tokensPerRequest, double maxTokens) {
        return new RetryBudget(tokensPerRequest, maxTokens);
    }

    /** Notes a new request. */
    public synchronized void onRequest() {
        mTokens = Math.min(mMaxTokens, mTokens + mTokensPerRequest);
    }

    /** Takes one retry from the reserve; returns false, and takes nothing, if there is none. */
    public synchronized boolean tryAcquire() {
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }

    /** Gives back what was taken for a retry that has not run. */
    public synchronized void release() {
        mTokens = Math.min(mMaxTokens, mTokens + 1);
    }
}
