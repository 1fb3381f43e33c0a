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
 * A target with what a request would cost there.
 *
 * @param state the target
 * @param weights the version of the model's weights that it holds
 * @param salt the name under which it shares cached prompts
 * @param cached how many of the prompt's tokens it has once it has fetched what others keep
 * @param missing how many it must read
 * @param fetched how many of them it fetches first
 * @param source where it fetches, empty for nowhere
 * @param admission the expected milliseconds, less what {@code Admission} pardons
 * @param expected the expected milliseconds to the first event
 * @param cost in the measure of {@link PlacementCost}; for plain requests in tenths of a full
 *     target
 */
record RatedTarget(
        TargetState state,
        long weights,
        String salt,
        int cached,
        int missing,
        int fetched,
        String source,
        double admission,
        double expected,
        double cost) {}
