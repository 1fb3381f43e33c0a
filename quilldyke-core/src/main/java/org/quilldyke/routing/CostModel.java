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
 * Predicts how long an engine takes for a request.
 *
 * <p>An engine prefills prompts at a steady rate, one after the other, between decode steps. Each
 * step generates the next token of every running request and takes longer the more requests run.
 *
 * @param prefillTokensPerMilli how many prompt tokens are prefilled in a millisecond
 * @param firstTokenOverheadMillis time to the first token beyond the prefill and one step
 * @param stepMillis duration of a step with one request
 * @param stepMillisPerRequest how much longer a step takes for each further request
 * @param attentionMillisPerSquare time for attention, by the square of the number of tokens: a
 *     token takes longer the more tokens are before it
 */
public record CostModel(
        double prefillTokensPerMilli,
        double firstTokenOverheadMillis,
        double stepMillis,
        double stepMillisPerRequest,
        double attentionMillisPerSquare) {
    /** 18 KB per token over an engine's link of 370 to 550 Gbit/s, between failure domains. */
    public static final double ENGINE_FETCH_MILLIS_PER_TOKEN = 0.001;

    /** 18 KB per token over the store's link of 25 Gbit/s. */
    public static final double STORE_FETCH_MILLIS_PER_TOKEN = 0.0065;

    /**
     * 9,200 tokens take 20 ms longer than in proportion at engines that prefill 40.8 tokens per
     * millisecond, which is 16 ms at the 50 of the standard model.
     */
    private static final double STANDARD_ATTENTION_MILLIS_PER_SQUARE = 16.3 / 9200 / 9200;

    /**
     * Cost of a millisecond of prefill for each running request that it delays, in recomputed
     * shared tokens, see {@link PlacementCost}.
     */
    private static final double DELAY_COST_TOKENS_PER_MILLI = 0.14;

    /**
     * Interval of events of four tokens at an engine with one request: 20 to 25 ms at the present
     * sites.
     */
    private static final double IDLE_EVENT_INTERVAL_MILLIS = 25;

    private static final int TOKENS_PER_EVENT = 4;

    /**
     * Margin for the prefill of prompts that will be sent to the engine during the stream and
     * aren't known yet.
     */
    private static final double FUTURE_PREFILL_FACTOR = 1.5;

    /**
     * Returns the model for the engines of the present sites; {@link DelayTracker} adds measured
     * delays.
     */
    public static CostModel standard() {
        return new CostModel(50, 15, 3.5, 0.1, 0);
    }

    /** Returns the standard model with the cost of attention, for fleets that measure rates. */
    static CostModel withAttention() {
        return new CostModel(50, 15, 3.5, 0.1, STANDARD_ATTENTION_MILLIS_PER_SQUARE);
    }

    /** Returns the model of an engine whose prefill takes a multiple of the time. */
    CostModel withPrefillFactor(double factor) {
        return new CostModel(
                prefillTokensPerMilli / factor,
                firstTokenOverheadMillis,
                stepMillis,
                stepMillisPerRequest,
                attentionMillisPerSquare * factor);
    }

    /**
     * Returns the expected time to the first token of a prompt that doesn't queue.
     *
     * @param cachedTokens how many of its tokens the engine has
     * @param missingTokens how many of its tokens the engine must prefill
     * @param running how many other requests run there
     */
    public double firstTokenMillis(long cachedTokens, long missingTokens, int running) {
        return firstTokenOverheadMillis
                + stepMillis(running)
                + prefillMillis(cachedTokens, missingTokens);
    }

    /**
     * Returns the prefill time of a number of tokens.
     *
     * @param contextTokens how many tokens are before them in their prompt
     */
    public double prefillMillis(long contextTokens, long tokens) {
        double squares = (double) tokens * (2 * contextTokens + tokens);
        return tokens / prefillTokensPerMilli + attentionMillisPerSquare * squares;
    }

    /**
     * Returns how long a prompt waits for a slot: ten steps for each request, itself included, that
     * exceeds the slots.
     */
    public double slotWaitMillis(int running, int slots) {
        return Math.max(0, running + 1 - slots) * stepMillis(running) * 10;
    }

    /** Returns the expected interval of events at an engine for which none was measured. */
    public double defaultEventIntervalMillis(int running) {
        return FUTURE_PREFILL_FACTOR
                * (IDLE_EVENT_INTERVAL_MILLIS + TOKENS_PER_EVENT * stepMillisPerRequest * running);
    }

    private double stepMillis(int running) {
        return stepMillis + stepMillisPerRequest * running;
    }

    /** Returns the cost of delaying the requests that already run, in recomputed shared tokens. */
    public double costToOthers(long cachedTokens, long missingTokens, int running) {
        return prefillMillis(cachedTokens, missingTokens) * running * DELAY_COST_TOKENS_PER_MILLI;
    }
}
