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
 * What a site cares about most, as the price of computing what is not cached.
 *
 * <p>A prefill costs its caller its own time, and every request that waits behind it the same time
 * again; and it evicts blocks that others would have found. So a candidate's cost is its queue plus
 * its prefill times a price that grows with the requests that wait there.
 */
public enum CostProfile {
    /** Long, heavily shared prompts: prefix hits and little recomputation first. */
    REUSE(8),
    /** Callers who cannot wait: the predicted time to first token first. */
    LATENCY(5);

    private final double mBasePrefillPrice;

    CostProfile(double basePrefillPrice) {
        mBasePrefillPrice = basePrefillPrice;
    }

    /**
     * Returns the cost of a candidate, in weighted milliseconds.
     *
     * @param queueMillis predicted wait before the prefill starts
     * @param prefillMillis predicted time to compute what is not cached
     * @param waiting requests that wait at the candidate
     */
    double cost(double queueMillis, double prefillMillis, int waiting) {
        return queueMillis + (mBasePrefillPrice + waiting) * prefillMillis;
    }
}
