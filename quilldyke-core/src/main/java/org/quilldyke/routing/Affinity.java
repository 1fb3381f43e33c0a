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
 * Among which targets the preferred one for a prefix is chosen in a fleet with two regions or more.
 * All instances of that scope prefer the same target, where the prefix is prefilled once.
 */
public enum Affinity {
    /**
     * Each region has a preferred target of its own; requests stay in their region unless its
     * targets are too busy.
     */
    REGION_FIRST {
        @Override
        boolean prefersOnePerRegion(int sharedTokens, double crossingCost) {
            return true;
        }
    },
    /** There is one preferred target in the fleet; most requests go to another region. */
    FLEET {
        @Override
        boolean prefersOnePerRegion(int sharedTokens, double crossingCost) {
            return false;
        }
    },
    /** One in the fleet if prefilling the prefix again costs more than the requests' crossings. */
    BY_COST {
        @Override
        boolean prefersOnePerRegion(int sharedTokens, double crossingCost) {
            return sharedTokens < MIN_USES_OF_PREFIX * crossingCost;
        }
    };

    static final Affinity DEFAULT = REGION_FIRST;

    /** A prefix is expected to be used at least this often before it is evicted. */
    private static final double MIN_USES_OF_PREFIX = 3;

    /**
     * Returns whether each region has a preferred target for a prefix.
     *
     * @param sharedTokens the number of tokens of the prefix
     * @param crossingCost the cost of sending the request to another region, in recomputed tokens
     */
    abstract boolean prefersOnePerRegion(int sharedTokens, double crossingCost);
}
