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

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** What an instance believes that one target keeps of prompts: the parts used last, up to a size. */
final class PrefixBelief {
    private final Map<Long, Integer> mParts = new LinkedHashMap<>(64, 0.75f, true);
    private final long mMaxTokens;
    private long mTokens;

    PrefixBelief(long maxTokens) {
        mMaxTokens = maxTokens;
    }

    /** Returns how many tokens of a prompt are held, from its start on. */
    int cachedTokens(PromptChain chain) {
        int cached = 0;
        for (int i = 0; i < chain.size() && mParts.containsKey(chain.keys().get(i)); i++) {
            cached += chain.tokens().get(i);
        }
        return cached;
    }

    /** Notes that the target has read a prompt. */
    void onRead(PromptChain chain) {
        for (int i = 0; i < chain.size(); i++) {
            Integer before = mParts.put(chain.keys().get(i), chain.tokens().get(i));
            mTokens += before == null ? chain.tokens().get(i) : 0;
        }
        Iterator<Integer> oldest = mParts.values().iterator();
        while (mTokens > mMaxTokens && oldest.hasNext()) {
            mTokens -= oldest.next();
            oldest.remove();
        }
    }

    /** Forgets everything, since the target holds other weights or has restarted. */
    void clear() {
        mParts.clear();
        mTokens = 0;
    }
}
