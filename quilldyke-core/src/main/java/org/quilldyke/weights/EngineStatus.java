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

import java.util.Map;

/**
 * An engine's answer to a status query.
 *
 * @param busy whether it is executing an order
 * @param revision the number of orders that it has accepted since its start
 * @param weights the version of each model's weights that it has loaded
 * @param startedAtMillis its start time as it reports it, {@link
 *     org.quilldyke.engine.Incarnation#UNKNOWN_START} if it reports none
 */
public record EngineStatus(
        boolean busy, long revision, Map<String, Long> weights, long startedAtMillis) {
    /** Copies the weights. */
    public EngineStatus {
        weights = Map.copyOf(weights);
    }
}
