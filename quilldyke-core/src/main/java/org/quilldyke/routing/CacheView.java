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

/**
 * The prompt parts that a target or the KV store is assumed to have cached: those that its cache
 * events report and, for a short time, those that were sent to it, since events arrive late.
 */
final class CacheView {
    /**
     * More parts than an engine caches at the present sites. Beyond this number, the least recently
     * used part is removed.
     */
    private static final int MAX_PARTS = 8192;

    /** Within this time after it was sent, a prompt is prefilled or its target has refused it. */
    private static final long EXPECTATION_TIMEOUT_MILLIS = 3000;

    /** Parts that a cache event has confirmed don't expire. */
    private static final long CONFIRMED_EXPIRY = Long.MAX_VALUE;

    /** Until when each part is assumed to be cached, by its key. */
    private final Map<Long, Long> mPartExpiry =
            new LinkedHashMap<>(256, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                    return size() > MAX_PARTS;
                }
            };

    /**
     * Returns how many leading tokens of a prompt are cached here, or will be once the prompts that
     * were sent are prefilled. Counting stops at the first missing part.
     *
     * @param keys the keys of its parts, {@link CacheKeys#of(String, Prompt)}
     */
    int cachedTokens(long[] keys, Prompt prompt, long now) {
        return leadingTokensCachedAt(keys, prompt, now);
    }

    /**
     * Returns how many leading tokens of a prompt cache events have confirmed, so that engines may
     * fetch them.
     */
    int fetchableTokens(long[] keys, Prompt prompt) {
        // Later than the expiry of every expected part.
        return leadingTokensCachedAt(keys, prompt, CONFIRMED_EXPIRY - 1);
    }

    private int leadingTokensCachedAt(long[] keys, Prompt prompt, long time) {
        int tokens = 0;
        for (int i = 0; i < keys.length; i++) {
            Long expiry = mPartExpiry.get(keys[i]);
            if (expiry == null || expiry <= time) {
                return tokens;
            }
            tokens += prompt.parts().get(i).tokens();
        }
        return tokens;
    }

    /** Adds a part that a cache event reports. */
    void addConfirmed(long key) {
        mPartExpiry.put(key, CONFIRMED_EXPIRY);
    }

    /** Adds the parts of a prompt that is being sent to the target. */
    void addExpected(String salt, Prompt prompt, long now) {
        for (Prompt.Part part : prompt.parts()) {
            mPartExpiry.merge(
                    CacheKeys.of(salt, part.id()), now + EXPECTATION_TIMEOUT_MILLIS, Math::max);
        }
    }

    void remove(long key) {
        mPartExpiry.remove(key);
    }

    void clear() {
        mPartExpiry.clear();
    }
}
