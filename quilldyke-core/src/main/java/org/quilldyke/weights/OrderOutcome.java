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

import org.quilldyke.engine.Incarnation;

/** An engine's answer to an order. */
public enum OrderOutcome {
    /** It executes the order. */
    ACCEPTED,
    /** It has already loaded what the order asks for. */
    HOLDS,
    /** It rejected the order: another one is in progress, or its revision differs. */
    CONFLICT,
    /** It rejected the order for another reason. */
    REFUSED,
    /** It didn't state what becomes of the order: it may execute it, even seconds later. */
    UNKNOWN;

    /**
     * Returns this outcome if the ordered incarnation may have given it, {@link #UNKNOWN} if
     * another one did.
     *
     * @param orderedKey the key of the incarnation that was ordered
     * @param startedAtMillis the start time that the answer reports, {@link
     *     Incarnation#UNKNOWN_START} if none
     */
    public OrderOutcome ifFrom(String orderedKey, long startedAtMillis) {
        return Incarnation.ofKey(orderedKey).mayMatch(startedAtMillis) ? this : UNKNOWN;
    }
}
