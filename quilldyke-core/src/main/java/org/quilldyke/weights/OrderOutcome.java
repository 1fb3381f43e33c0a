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

/** What an engine answered to an order. */
public enum OrderOutcome {
    /** It carries the order out. */
    ACCEPTED,
    /** What the order asks for holds already. */
    HOLDS,
    /** It didn't take the order: another one is under way, or its revision is another. */
    CONFLICT,
    /** It didn't take the order, for another reason. */
    REFUSED,
    /** It gave no answer: it may carry the order out, even seconds later. */
    UNKNOWN;

    /**
     * Returns what this answer says of the engine that was ordered: nothing if another incarnation
     * gave it.
     *
     * @param orderedKey the key of the incarnation that was ordered
     * @param startedAtMillis the birth that the answer tells, {@link Incarnation#UNKNOWN_START} if
     *     none
     */
    public OrderOutcome ifFrom(String orderedKey, long startedAtMillis) {
        return Incarnation.ofKey(orderedKey).mayMatch(startedAtMillis) ? this : UNKNOWN;
    }
}
