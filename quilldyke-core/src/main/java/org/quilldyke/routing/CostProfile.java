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
package org.quilldyke.routing;

/**
 * What a site optimises for, as the price of prefill that isn't cached.
 *
 * <p>A prefill delays its own request and every request that waits behind it by the same time, and
 * it evicts blocks that others would have found. So a candidate's cost is its queueing delay plus
 * its prefill time multiplied by a price that grows with the number of requests waiting there.
 */
public enum CostProfile {
    /** For long, heavily shared prompts: favours cache hits and little recomputation. */
    REUSE(8),
    /** For callers that can't wait: favours a short predicted time to first token. */
    LATENCY(5);

    private final double mBasePrefillPrice;

    CostProfile(double basePrefillPrice) {
        mBasePrefillPrice = basePrefillPrice;
    }

    /**
     * Returns the cost of a candidate, in weighted milliseconds.
     *
     * @param queueMillis predicted wait before the prefill starts
     * @param prefillMillis predicted prefill time of what isn't cached
     * @param waiting requests that wait at the candidate
     */
    double cost(double queueMillis, double prefillMillis, int waiting) {
        return queueMillis + (mBasePrefillPrice + waiting) * prefillMillis;
    }
}
