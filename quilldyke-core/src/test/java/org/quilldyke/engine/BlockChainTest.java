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

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class BlockChainTest {
    private static final CacheScope SCOPE = new CacheScope("abstract-co", "lm", "w1", "");

    @Test
    void partialBlockHasNoKey() {
        BlockChain chain = BlockChain.of(SCOPE, new byte[2 * BlockChain.BLOCK_UNITS + 17]);

        assertThat(chain.blocks()).isEqualTo(2);
        assertThat(chain.units()).isEqualTo(8017);
    }

    @Test
    void everyPartOfTheScopeChangesAllKeys() {
        byte[] prompt = new byte[BlockChain.BLOCK_UNITS];
        long key = BlockChain.of(SCOPE, prompt).key(0);

        CacheScope[] others = {
            new CacheScope("other-co", "lm", "w1", ""),
            new CacheScope("abstract-co", "lm2", "w1", ""),
            new CacheScope("abstract-co", "lm", "w2", ""),
            new CacheScope("abstract-co", "lm", "w1", "plats"),
            // The same concatenation as SCOPE.
            new CacheScope("abstract-col", "m", "w1", "")
        };
        for (CacheScope other : others) {
            assertThat(BlockChain.of(other, prompt).key(0)).isNotEqualTo(key);
        }
    }

    @Property(tries = 100, seed = "11")
    void promptsShareKeysUpToTheirFirstDifference(
            @ForAll @IntRange(min = 0, max = 19_999) int difference) {
        byte[] a = new byte[5 * BlockChain.BLOCK_UNITS];
        byte[] b = a.clone();
        b[difference] = 1;

        BlockChain first = BlockChain.of(SCOPE, a);
        BlockChain second = BlockChain.of(SCOPE, b);

        for (int i = 0; i < 5; i++) {
            boolean endsBeforeDifference = (i + 1) * BlockChain.BLOCK_UNITS <= difference;
            assertThat(first.key(i) == second.key(i)).isEqualTo(endsBeforeDifference);
        }
    }
}
