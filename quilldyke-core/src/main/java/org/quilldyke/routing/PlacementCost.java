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
 * What it costs to send a prompt to an engine, in shared tokens read again: the common measure of
 * lateness, wasted reading, and cache that gives way.
 *
 * <p>Today's sites price a thousand shared tokens that are read again at 0.73 of the worth of a
 * plain request; a late answer loses some 2 of the 2.9 that a long prompt is worth. So a late
 * answer costs as much as 2,700 tokens, and as long as answers are early, the place that reads
 * least is best.
 */
final class PlacementCost {
    /** An answer that comes at its objective costs this many tokens; one that is later, more. */
    static final double LATE_COST_TOKENS = 2700;

    /** Up to this part of the objective, the risk of coming late is small. */
    static final double LOW_RISK_FRACTION = 0.4;

    /** What an answer costs that is expected at the end of the easy part. */
    static final double LOW_RISK_COST_TOKENS = 150;

    /**
     * What each shared token costs that is brought to an engine: something else must give way
     * there, which is brought back or read again later.
     */
    static final double COPY_COST_PER_TOKEN = 0.15;

    /** The same at the engine to which all instances bring a subject back: no further copy. */
    static final double PREFERRED_TARGET_COPY_COST_PER_TOKEN = 0.05;

    /**
     * What a byte between failure domains costs. Three sites price it at 0.0024, 0.0028 and 0.0099
     * shared tokens read again; a prompt of 18 KB is worth 50 to 180 of them.
     */
    static final double CROSS_DOMAIN_COST_TOKENS_PER_BYTE = 0.007;

    /** An answer, as a stream of 10 to 70 events. */
    static final int TYPICAL_RESPONSE_BYTES = 3000;

    /**
     * What a new connection costs: two round trips, a millisecond of the target and one of the
     * instance's processor. The large site prices one like 110 to 280 shared tokens read again.
     */
    static final double NEW_CONNECTION_COST_TOKENS = 150;

    /** Replaced weights cost a fifth of an answer's worth. */
    static final double OUTDATED_WEIGHTS_COST_TOKENS = 700;

    /** A prompt that is refused comes back, mostly too late for its objective. */
    static final double REFUSAL_COST_TOKENS = 1500;

    private PlacementCost() {}

    /** Returns what it costs to send a request to another failure domain, and its answer back. */
    static double crossDomain(int bodyBytes) {
        return CROSS_DOMAIN_COST_TOKENS_PER_BYTE * (bodyBytes + TYPICAL_RESPONSE_BYTES);
    }

    /** Returns what it costs that the first token is expected after so many milliseconds. */
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
     * Returns what it costs to have a prompt's shared parts at an engine.
     *
     * @param sharedTokens how many tokens others may share
     * @param cachedTokens how many of the prompt's tokens the engine keeps
     * @param heldTokens how many it has once it has fetched what others keep
     * @param preferred whether all instances send there what lacks the same part: what is read
     *     then, is read for the first time
     */
    static double prefill(int sharedTokens, int cachedTokens, int heldTokens, boolean preferred) {
        int copiedTokens = Math.max(0, sharedTokens - cachedTokens);
        int recomputedTokens = Math.max(0, sharedTokens - heldTokens);
        return preferred
                ? PREFERRED_TARGET_COPY_COST_PER_TOKEN * copiedTokens
                : recomputedTokens + COPY_COST_PER_TOKEN * copiedTokens;
    }
}
