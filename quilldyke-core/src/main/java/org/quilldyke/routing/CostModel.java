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
 * What a request costs at an engine, in milliseconds.
 *
 * <p>An engine reads prompts at a steady rate, one after the other, between the steps that make the
 * next token of each request it runs; a step takes longer the more requests run.
 *
 * @param prefillTokensPerMilli how many prompt tokens are read in a millisecond
 * @param firstTokenOverheadMillis what the first token takes besides reading
 * @param stepMillis how long a step takes with one request
 * @param stepMillisPerRequest how much longer with each further one
 */
public record CostModel(
        double prefillTokensPerMilli,
        double firstTokenOverheadMillis,
        double stepMillis,
        double stepMillisPerRequest) {
    /** A token of 18 KB over an engine's link of 370 to 550 Gbit/s, between failure domains. */
    public static final double ENGINE_FETCH_MILLIS_PER_TOKEN = 0.001;

    /** A token of 18 KB over a store's link of 25 Gbit/s. */
    public static final double STORE_FETCH_MILLIS_PER_TOKEN = 0.0065;

    /**
     * What a millisecond of reading costs each request that runs and waits for it, in shared tokens
     * read again, see {@link PlacementCost}.
     */
    private static final double DELAY_COST_TOKENS_PER_MILLI = 0.14;

    /** What an engine alone takes for an event of four tokens: 20 to 25 ms on today's sites. */
    private static final double IDLE_EVENT_INTERVAL_MILLIS = 25;

    private static final int TOKENS_PER_EVENT = 4;

    /** Prompts that others will send to an engine while a stream runs are on no list. */
    private static final double UNKNOWN_PREFILL_FACTOR = 1.5;

    /** Returns the model for engines of today's sites; refined by what is seen. */
    public static CostModel standard() {
        return new CostModel(50, 15, 3.5, 0.1);
    }

    /** Returns the expected time to the first token of a prompt that needn't wait. */
    public double firstTokenMillis(long missingTokens, int running) {
        return firstTokenOverheadMillis + stepMillis(running) + prefillMillis(missingTokens);
    }

    /** Returns how long an engine reads. */
    public double prefillMillis(long tokens) {
        return tokens / prefillTokensPerMilli;
    }

    /** Returns how long a prompt waits for those before it. */
    public double waitMillis(long backlogTokens, int running, int slots) {
        double slotWaitMillis = Math.max(0, running + 1 - slots) * stepMillis(running) * 10;
        return prefillMillis(backlogTokens) + slotWaitMillis;
    }

    /** Returns how long an engine is expected to take for an event if none of its was seen. */
    public double defaultEventIntervalMillis(int running) {
        return UNKNOWN_PREFILL_FACTOR
                * (IDLE_EVENT_INTERVAL_MILLIS + TOKENS_PER_EVENT * stepMillisPerRequest * running);
    }

    private double stepMillis(int running) {
        return stepMillis + stepMillisPerRequest * running;
    }

    /** Returns what the request costs those that run already, in shared tokens read again. */
    public double costToOthers(long missingTokens, int running) {
        return missingTokens / prefillTokensPerMilli * running * DELAY_COST_TOKENS_PER_MILLI;
    }
}
