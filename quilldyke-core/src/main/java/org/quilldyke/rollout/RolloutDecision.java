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
package org.quilldyke.rollout;

import java.util.List;
import java.util.Optional;

/**
 * What the leader does about a running rollout.
 *
 * @param next the phase that it moves to, if it does
 * @param retired the versions whose targets get no requests any more in that phase
 * @param canaryFraction the share of requests that go to the new version
 * @param reason the numbers behind the decision, for the log
 */
public record RolloutDecision(
        Optional<RolloutPhase> next, List<String> retired, double canaryFraction, String reason) {
    /** Copies the versions. */
    public RolloutDecision {
        retired = List.copyOf(retired);
    }
}
