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
 * An engine or the KV store from which an engine can fetch cached parts of a prompt.
 *
 * @param address where the parts are fetched
 * @param tokens how many leading tokens of the prompt are cached there
 * @param isStore whether it is the store and not an engine
 * @param millisPerToken transfer time of a token
 * @param waitMillis how long a transfer waits for other transfers, and for the round trip to
 *     another region
 * @param distance how far the source is from the engine
 */
record KvSource(
        String address,
        int tokens,
        boolean isStore,
        double millisPerToken,
        double waitMillis,
        Distance distance) {
    /** Returns the store of a fleet in one region. */
    static KvSource store(String address, int tokens, double waitMillis) {
        return new KvSource(
                address,
                tokens,
                true,
                CostModel.STORE_FETCH_MILLIS_PER_TOKEN,
                waitMillis,
                Distance.SAME_REGION);
    }

    /** Returns an engine of a fleet in one region. */
    static KvSource engine(String address, int tokens) {
        return new KvSource(
                address,
                tokens,
                false,
                CostModel.ENGINE_FETCH_MILLIS_PER_TOKEN,
                0,
                Distance.SAME_REGION);
    }

    double fetchMillis(int fetchedTokens) {
        return millisPerToken * fetchedTokens;
    }

    /** Returns the cost of bringing tokens here from another region, in recomputed tokens. */
    double transferCost(int fetchedTokens) {
        return distance.transferCostPerToken() * fetchedTokens;
    }
}
