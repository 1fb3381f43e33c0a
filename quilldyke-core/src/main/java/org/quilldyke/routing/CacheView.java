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
 * What a target or a store is believed to keep of prompts: what its events say, and for a while
 * what was sent to it, since events come late.
 */
final class CacheView {
    /** More parts than any engine of today's sites keeps; the oldest are forgotten beyond. */
    private static final int MAX_PARTS = 8192;

    /** A prompt that was sent is read within this time, or its target has refused it. */
    private static final long EXPECTATION_TIMEOUT_MILLIS = 3000;

    private static final long CONFIRMED = Long.MAX_VALUE;

    /** Until when each part is believed to be kept, by its key. */
    private final Map<Long, Long> mPartExpiry =
            new LinkedHashMap<>(256, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                    return size() > MAX_PARTS;
                }
            };

    /**
     * Returns how many tokens of a prompt are kept here, or will be when what was sent is read: its
     * parts from the first on, without a gap.
     *
     * @param keys the keys of its parts, {@link CacheKeys#of(String, Prompt)}
     */
    int cachedTokens(long[] keys, Prompt prompt, long now) {
        return prefixTokensAt(keys, prompt, now);
    }

    /**
     * Returns how many tokens of a prompt are surely kept by now, so that others may fetch them.
     */
    int fetchableTokens(long[] keys, Prompt prompt) {
        return prefixTokensAt(keys, prompt, CONFIRMED - 1);
    }

    private int prefixTokensAt(long[] keys, Prompt prompt, long time) {
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

    /** Takes a part that is kept, by an event. */
    void addConfirmed(long key) {
        mPartExpiry.put(key, CONFIRMED);
    }

    /** Takes a prompt that is sent. */
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
