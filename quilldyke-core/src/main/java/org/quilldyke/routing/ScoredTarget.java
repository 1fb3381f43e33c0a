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
 * A target with the predicted cost of a request there.
 *
 * @param state the target
 * @param weights the version of the model's weights that it has loaded
 * @param cacheSalt the salt under which it shares cached prompts
 * @param cachedTokens how many of the prompt's tokens it has, cached or fetched
 * @param missingTokens how many it must prefill
 * @param fetchedTokens how many it fetches first
 * @param cacheSource where it fetches them, empty for nowhere
 * @param admissionMillis the expected time to the first event, less what {@code Admission}
 *     discounts
 * @param expectedMillis the expected time to the first event
 * @param cost in the unit of {@link PlacementCost}; for plain requests in tenths of the load of a
 *     target with all slots in use. {@code admissionMillis} is 0 for them, and {@code
 *     expectedMillis} is the cost
 */
record ScoredTarget(
        TargetState state,
        long weights,
        String cacheSalt,
        int cachedTokens,
        int missingTokens,
        int fetchedTokens,
        String cacheSource,
        double admissionMillis,
        double expectedMillis,
        double cost) {}
