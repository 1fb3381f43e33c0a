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

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.quilldyke.caller.Prompt;

/** Short keys for cached parts of prompts, and for where requests for one subject belong. */
public final class CacheKeys {
    private CacheKeys() {}

    /** Returns the key of a part that is kept under a salt. */
    public static long of(String salt, long part) {
        return Hashing.wyhashFinal4().hashStream().putString(salt).putLong(part).getAsLong();
    }

    /**
     * Returns the key by which requests for one subject are kept together: the shared parts,
     * whatever the salt, so that a subject stays where it is when weights change.
     */
    static long affinity(Prompt prompt) {
        HashStream64 hash = Hashing.wyhashFinal4().hashStream();
        prompt.sharedParts().forEach(part -> hash.putLong(part.id()));
        return hash.getAsLong();
    }
}
