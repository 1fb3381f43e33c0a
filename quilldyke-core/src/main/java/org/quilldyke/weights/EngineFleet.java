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
package org.quilldyke.weights;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quilldyke.engine.TargetReport;

/**
 * The engines as the planner sees them.
 *
 * @param engines the engines whose leases haven't expired
 * @param unresponsive the ids of those that don't answer at present; they aren't ordered to load
 * @param openRequestCounts open requests of each engine by id; idle engines may be missing
 */
public record EngineFleet(
        List<TargetReport> engines,
        Set<String> unresponsive,
        Map<String, Integer> openRequestCounts) {
    /** Copies all parts. */
    public EngineFleet {
        engines = List.copyOf(engines);
        unresponsive = Set.copyOf(unresponsive);
        openRequestCounts = Map.copyOf(openRequestCounts);
    }

    boolean isUnresponsive(TargetReport engine) {
        return unresponsive.contains(engine.key());
    }

    int openRequests(TargetReport engine) {
        return openRequestCounts.getOrDefault(engine.key(), 0);
    }
}
