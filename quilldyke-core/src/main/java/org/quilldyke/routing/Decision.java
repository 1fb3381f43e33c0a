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

import org.quilldyke.engine.TargetRecord;

/**
 * The target that {@link Router} chose for a request, with the predictions that explain the choice.
 *
 * @param target the chosen target
 * @param reason what decided the choice
 * @param units the prompt's length, in the units of {@link org.quilldyke.engine.BlockChain}
 * @param cachedUnits units expected to be cached at the target
 * @param queueMillis predicted wait before the prefill
 * @param predictedMillis predicted time to first token
 * @param runnerUp the id of the next best target, empty if there was none
 * @param runnerUpMillis predicted time to first token at the next best target
 * @param candidates how many targets were below their request limit
 */
public record Decision(
        TargetRecord target,
        Reason reason,
        int units,
        int cachedUnits,
        long queueMillis,
        long predictedMillis,
        String runnerUp,
        long runnerUpMillis,
        int candidates) {

    /** What decided the choice. */
    public enum Reason {
        /** The only candidate. */
        ONLY,
        /** It has more blocks cached than the next best target. */
        CACHED,
        /**
         * Costs are nearly equal and it has no more blocks cached; rendezvous hashing of the prefix
         * decided.
         */
        RENDEZVOUS,
        /** Its lower load gave it the lowest cost, although it has no more blocks cached. */
        LOAD
    }
}
