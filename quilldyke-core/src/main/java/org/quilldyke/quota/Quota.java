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
package org.quilldyke.quota;

import java.util.OptionalLong;

/**
 * The limit on what an organisation may send through all instances together.
 *
 * @param perSecond the sustained rate, in units a second
 * @param burst how much may be sent beyond the rate at once, in units
 * @param unit what is counted
 * @param defaultTokens the size of a request that doesn't state its tokens
 */
public record Quota(double perSecond, double burst, Unit unit, long defaultTokens) {
    /** What a quota counts. */
    public enum Unit {
        /** Each request counts one. */
        REQUESTS {
            @Override
            long cost(OptionalLong tokens, long defaultTokens) {
                return 1;
            }
        },
        /** Each request counts its prompt tokens and its maximum number of output tokens. */
        TOKENS {
            @Override
            long cost(OptionalLong tokens, long defaultTokens) {
                return Math.max(0, tokens.orElse(defaultTokens));
            }
        };

        abstract long cost(OptionalLong tokens, long defaultTokens);
    }

    /**
     * Returns the units that a request counts.
     *
     * @param tokens the tokens that the request states, if any
     */
    public long cost(OptionalLong tokens) {
        return unit.cost(tokens, defaultTokens);
    }
}
