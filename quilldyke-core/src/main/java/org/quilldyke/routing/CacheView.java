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

import java.util.LinkedHashMap;
import java.util.Map;
import org.quilldyke.caller.Prompt;

/** What a target or a store is believed to keep of prompts, by its events and what was sent it. */
final class CacheView {
    /** More parts than any engine of today's sites keeps; the oldest are forgotten beyond. */
    private static final int MAX_PARTS = 8192;

    private final Map<Long, Boolean> mParts =
            new LinkedHashMap<>(256, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                    return size() > MAX_PARTS;
                }
            };

    /** Returns how many tokens of a prompt are kept: its parts from the first on, without a gap. */
    int cachedTokens(String salt, Prompt prompt) {
        int cached = 0;
        for (Prompt.Part part : prompt.parts()) {
            if (!mParts.containsKey(CacheKeys.of(salt, part.id()))) {
                return cached;
            }
            cached += part.tokens();
        }
        return cached;
    }

    /** Returns whether all parts that others may share are kept. */
    boolean holdsShared(String salt, Prompt prompt) {
        return cachedTokens(salt, prompt) >= prompt.sharedTokens();
    }

    void add(long key) {
        mParts.put(key, Boolean.TRUE);
    }

    void addAll(String salt, Prompt prompt) {
        prompt.parts().forEach(part -> add(CacheKeys.of(salt, part.id())));
    }

    void remove(long key) {
        mParts.remove(key);
    }

    void clear() {
        mParts.clear();
    }
}
