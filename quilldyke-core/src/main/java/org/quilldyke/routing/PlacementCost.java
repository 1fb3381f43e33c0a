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
 * The cost of sending a prompt to an engine, in recomputed shared tokens: the common unit for late
 * answers, redundant prefill and evicted cache.
 *
 * <p>The present sites price a thousand recomputed shared tokens at 0.73 of the value of a plain
 * request. A long prompt is worth 2.9 plain requests, of which a late answer loses about 2. So a
 * late answer costs as much as 2,700 tokens, and as long as answers are early, the target that
 * prefills the fewest tokens is best.
 */
final class PlacementCost {
    /** Cost of an answer that is expected exactly at its objective; later ones cost more. */
    static final double LATE_COST_TOKENS = 2700;

    /** Up to this fraction of the objective, the risk of a late answer is small. */
    static final double LOW_RISK_FRACTION = 0.4;

    /** Cost of an answer that is expected at the end of the low-risk range. */
    static final double LOW_RISK_COST_TOKENS = 150;

    /**
     * Cost of each shared token that is brought to an engine: it evicts others there, which are
     * fetched or recomputed later.
     */
    static final double COPY_COST_PER_TOKEN = 0.15;

    /**
     * The same at the preferred target: all instances send prompts with that prefix there, so no
     * further copies are made.
     */
    static final double PREFERRED_TARGET_COPY_COST_PER_TOKEN = 0.05;

    /**
     * Cost of a byte that crosses failure domains. Three sites price it at 0.0024, 0.0028 and
     * 0.0099 recomputed shared tokens; a prompt of 18 KB costs 50 to 180 of them.
     */
    static final double CROSS_DOMAIN_COST_TOKENS_PER_BYTE = 0.007;

    /** Size of an answer that is a stream of 10 to 70 events. */
    static final int TYPICAL_RESPONSE_BYTES = 3000;

    /**
     * Cost of a new connection: two round trips, a millisecond of the target's processor and one of
     * the instance's. The large site prices one at 110 to 280 recomputed shared tokens.
     */
    static final double NEW_CONNECTION_COST_TOKENS = 150;

    /** Cost of an answer by outdated weights: a fifth of the answer's value. */
    static final double OUTDATED_WEIGHTS_COST_TOKENS = 700;

    /** Cost of a refusal: the prompt's retry mostly comes too late for its objective. */
    static final double REFUSAL_COST_TOKENS = 1500;

    private PlacementCost() {}

    /** Returns the cost of sending a request to another failure domain and its answer back. */
    static double crossDomain(int bodyBytes, Distance distance) {
        return distance.byteCostFactor()
                * CROSS_DOMAIN_COST_TOKENS_PER_BYTE
                * (bodyBytes + TYPICAL_RESPONSE_BYTES);
    }

    /** Returns how much later an answer may be for a cost, beyond the low-risk range. */
    static double inMillis(double cost, long objectiveMillis) {
        return cost
                * Math.max(1, objectiveMillis)
                * (1 - LOW_RISK_FRACTION)
                / (LATE_COST_TOKENS - LOW_RISK_COST_TOKENS);
    }

    /** Returns the cost of the expected time to the first token. */
    static double lateness(double expectedMillis, long objectiveMillis) {
        double fraction = expectedMillis / Math.max(1, objectiveMillis);
        if (fraction <= LOW_RISK_FRACTION) {
            return LOW_RISK_COST_TOKENS * fraction / LOW_RISK_FRACTION;
        }
        return LOW_RISK_COST_TOKENS
                + (LATE_COST_TOKENS - LOW_RISK_COST_TOKENS)
                        * (fraction - LOW_RISK_FRACTION)
                        / (1 - LOW_RISK_FRACTION);
    }

    /**
     * Returns the cost of providing a prompt's shared parts at an engine.
     *
     * @param sharedTokens how many tokens other prompts may share
     * @param cachedTokens how many of the prompt's tokens the engine has cached
     * @param tokensAfterFetch how many it has once it has fetched what other holders have cached
     * @param preferred whether all instances send prompts that lack the same part to this engine:
     *     what it prefills then is computed for the first time
     */
    static double prefill(
            int sharedTokens, int cachedTokens, int tokensAfterFetch, boolean preferred) {
        int copiedTokens = Math.max(0, sharedTokens - cachedTokens);
        int recomputedTokens = Math.max(0, sharedTokens - tokensAfterFetch);
        return preferred
                ? PREFERRED_TARGET_COPY_COST_PER_TOKEN * copiedTokens
                : recomputedTokens + COPY_COST_PER_TOKEN * copiedTokens;
    }
}
