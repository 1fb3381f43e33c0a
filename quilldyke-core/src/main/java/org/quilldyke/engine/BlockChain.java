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

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * The cache keys of a prompt's full blocks; each key covers the whole prefix up to the block's end.
 *
 * <p>Key {@code i} is XXH3 over key {@code i - 1} and the bytes of block {@code i}; for the first
 * block, {@link CacheScope#seed} replaces the previous key. A key therefore identifies the scope,
 * the position and all content before it. The last, partial block has no key, since engines cache
 * whole blocks only.
 */
public final class BlockChain {
    /** Units in a block; a unit is one byte of the prompt's UTF-8 form. */
    public static final int BLOCK_UNITS = 4000;

    private static final Hasher64 HASHER = Hashing.xxh3_64();

    private final long[] mKeys;
    private final int mUnits;

    private BlockChain(long[] keys, int units) {
        mKeys = keys;
        mUnits = units;
    }

    /**
     * Computes the chain of a prompt.
     *
     * @param scope the scope of reuse
     * @param prompt the prompt in UTF-8
     */
    public static BlockChain of(CacheScope scope, byte[] prompt) {
        return of(scope.seed(), prompt);
    }

    /**
     * Computes the chain of a prompt.
     *
     * @param seed the scope's seed, which is sent to the engine as the salt
     * @param prompt the prompt in UTF-8
     */
    public static BlockChain of(long seed, byte[] prompt) {
        long[] keys = new long[prompt.length / BLOCK_UNITS];
        long previous = seed;
        for (int i = 0; i < keys.length; i++) {
            long content = HASHER.hashBytesToLong(prompt, i * BLOCK_UNITS, BLOCK_UNITS);
            previous = HASHER.hashLongLongToLong(previous, content);
            keys[i] = previous;
        }
        return new BlockChain(keys, prompt.length);
    }

    /** Returns a chain with the given keys, for tests and benches. */
    public static BlockChain ofKeys(long[] keys, int units) {
        return new BlockChain(keys.clone(), units);
    }

    /** Returns the number of full blocks. */
    public int blocks() {
        return mKeys.length;
    }

    /** Returns the length of the prompt in units. */
    public int units() {
        return mUnits;
    }

    /** Returns the key of block {@code i}, which covers the prompt up to the block's end. */
    public long key(int i) {
        return mKeys[i];
    }

    /** Returns a copy of all keys in order. */
    public long[] keys() {
        return mKeys.clone();
    }
}
