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
 * Limits the retries of an instance to a fraction of its requests, so that they cannot amplify an
 * overload.
 *
 * <p>A token bucket: each request adds a fraction of a token up to a maximum, each retry takes one.
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
     * Returns a budget with the maximum number of tokens.
     *
     * @param tokensPerRequest retries allowed per request in the long run
     * @param maxTokens retries allowed in a burst
     */
    public static RetryBudget create(double tokensPerRequest, double maxTokens) {
        return new RetryBudget(tokensPerRequest, maxTokens);
    }

    /** Adds the tokens of a new request. */
    public synchronized void onRequest() {
        mTokens = Math.min(mMaxTokens, mTokens + mTokensPerRequest);
    }

    /** Takes a token for a retry; returns false, and takes nothing, if none is left. */
    public synchronized boolean tryAcquire() {
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }

    /** Puts back the token of a retry that was not run. */
    public synchronized void release() {
        mTokens = Math.min(mMaxTokens, mTokens + 1);
    }
}
