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
import java.util.ArrayList;
import java.util.List;
import org.quilldyke.caller.Prompt;

/**
 * The keys under which a target keeps the parts of a prompt.
 *
 * <p>A cached part is of use only after all parts before it, and only to those that share its salt;
 * so a part's key covers the salt and everything up to the part.
 *
 * @param keys a key for each part
 * @param tokens each part's size
 */
record PromptChain(List<Long> keys, List<Integer> tokens) {
    static PromptChain of(String salt, Prompt prompt) {
        List<Long> keys = new ArrayList<>();
        List<Integer> tokens = new ArrayList<>();
        HashStream64 hash = Hashing.wyhashFinal4().hashStream();
        hash.putString(salt);
        for (Prompt.Part part : prompt.parts()) {
            hash.putLong(part.id());
            keys.add(hash.getAsLong());
            tokens.add(part.tokens());
        }
        return new PromptChain(keys, tokens);
    }

    /**
     * Returns the key by which requests for one subject are kept together: the shared parts,
     * whatever the salt, so that a subject stays where it is when weights change.
     */
    static long affinityKey(Prompt prompt) {
        HashStream64 hash = Hashing.wyhashFinal4().hashStream();
        prompt.sharedParts().forEach(part -> hash.putLong(part.id()));
        return hash.getAsLong();
    }

    int size() {
        return keys.size();
    }
}
