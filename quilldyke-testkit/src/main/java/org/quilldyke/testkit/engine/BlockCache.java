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
package org.quilldyke.testkit.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A block cache of limited size that forgets the block used longest ago. */
final class BlockCache {
    private final int mCapacity;
    private final LinkedHashMap<Long, String> mBlocks = new LinkedHashMap<>(16, 0.75f, true);

    BlockCache(int capacity) {
        mCapacity = capacity;
    }

    /** Returns how many leading blocks are cached, and marks them as used. */
    int match(long[] keys) {
        int matched = 0;
        while (matched < keys.length && mBlocks.get(keys[matched]) != null) {
            matched++;
        }
        return matched;
    }

    /** Returns the salt under which a block was computed, or null if it isn't cached. */
    String saltOf(long key) {
        return mBlocks.get(key);
    }

    /** Stores blocks under their scope's salt; returns those that were new. */
    List<Long> store(String salt, long[] keys) {
        List<Long> added = new ArrayList<>();
        for (long key : keys) {
            if (mBlocks.put(key, salt) == null) {
                added.add(key);
            }
        }
        return added;
    }

    /** Removes and returns what is over the capacity. */
    List<Long> evict() {
        List<Long> removed = new ArrayList<>();
        Iterator<Map.Entry<Long, String>> oldest = mBlocks.entrySet().iterator();
        while (mBlocks.size() > mCapacity && oldest.hasNext()) {
            removed.add(oldest.next().getKey());
            oldest.remove();
        }
        return removed;
    }

    void clear() {
        mBlocks.clear();
    }

    List<Long> keys() {
        return new ArrayList<>(mBlocks.keySet());
    }
}
