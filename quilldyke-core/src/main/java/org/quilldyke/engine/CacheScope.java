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
package org.quilldyke.engine;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * The scope within which cached blocks may be reused.
 *
 * <p>Two prompts share blocks only if all four parts are equal, so reuse never crosses an
 * organisation or a weight version.
 *
 * @param organisation the organisation that owns the prompt
 * @param model the model's name
 * @param weights the weight version
 * @param adapter the adapter's name, empty for none
 */
public record CacheScope(String organisation, String model, String weights, String adapter) {
    /** Returns the hexadecimal form of {@link #seed}, sent with each request as its salt. */
    public String salt() {
        return Long.toHexString(seed());
    }

    /** Returns the 64-bit value from which the chain of block keys starts. */
    public long seed() {
        return Hashing.xxh3_64()
                .hashStream()
                .putString(organisation)
                .putString(model)
                .putString(weights)
                .putString(adapter)
                .getAsLong();
    }
}
