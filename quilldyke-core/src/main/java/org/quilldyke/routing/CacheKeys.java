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

/**
 * Hash keys of cached prompt parts, and of the prefixes by which requests are routed.
 *
 * <p>A salt keeps apart what must not be shared: {@code PromptCacheLocations#salt}.
 */
public final class CacheKeys {
    private CacheKeys() {}

    /** Returns the key of a prompt part that is cached under a salt. */
    public static long of(String salt, long partId) {
        return Hashing.wyhashFinal4().hashStream().putString(salt).putLong(partId).getAsLong();
    }

    /** Returns the keys of a prompt's parts under a salt, in order. */
    static long[] of(String salt, Prompt prompt) {
        return prompt.parts().stream().mapToLong(part -> of(salt, part.id())).toArray();
    }

    /** Returns a key of all shared parts, which identifies requests with the same shared prefix. */
    public static long sharedPrefixKey(Prompt prompt) {
        HashStream64 hash = Hashing.wyhashFinal4().hashStream();
        prompt.sharedParts().forEach(part -> hash.putLong(part.id()));
        return hash.getAsLong();
    }

    /**
     * Returns the key that selects the preferred target of prompts with the same shared parts. It
     * covers all of them: a key of the first missing part would send all prompts that begin with it
     * to one target while no target has it, as after a change of weights. The version of the
     * weights is not included, so that the preferred target stays the same when weights change.
     *
     * @param cacheScope the scope in which cached prompts are shared
     */
    static long affinityKey(String cacheScope, Prompt prompt) {
        HashStream64 hash = Hashing.wyhashFinal4().hashStream().putString(cacheScope);
        prompt.sharedParts().forEach(part -> hash.putLong(part.id()));
        return hash.getAsLong();
    }
}
