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

import static com.google.common.truth.Truth.assertThat;

import it.unimi.dsi.fastutil.longs.LongList;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.quilldyke.engine.BlockChain;
import org.quilldyke.engine.CacheEvent;

class PrefixIndexTest {
    private static final BlockChain CHAIN = BlockChain.ofKeys(new long[] {1, 2, 3}, 12_500);

    private final PrefixIndex mIndex = PrefixIndex.create();

    @Test
    void dispatchedBlocksAreExpected() {
        mIndex.onIncarnation("e1", 7);

        mIndex.onDispatch("e1", 7, CHAIN);

        assertThat(mIndex.matchedBlocks("e1", 7, CHAIN)).isEqualTo(3);
    }

    @Test
    void newIncarnationDropsBlocksOfTheOldOne() {
        mIndex.onIncarnation("e1", 7);
        mIndex.onDispatch("e1", 7, CHAIN);

        mIndex.onIncarnation("e1", 8);

        assertThat(mIndex.matchedBlocks("e1", 8, CHAIN)).isEqualTo(0);
        assertThat(mIndex.matchedBlocks("e1", 7, CHAIN)).isEqualTo(0);
        mIndex.onDispatch("e1", 7, CHAIN);
        assertThat(mIndex.size()).isEqualTo(0);
    }

    @Test
    void gapIsReportedOnceAndClearedByResync() {
        mIndex.onIncarnation("e1", 1);

        assertThat(mIndex.onEvent("e1", 1, stored(1, 10))).isFalse();
        assertThat(mIndex.onEvent("e1", 1, stored(3, 12))).isTrue();
        assertThat(mIndex.needsResync("e1")).isTrue();
        mIndex.onResync("e1", 1, 4, new long[] {10, 11, 12});

        assertThat(mIndex.needsResync("e1")).isFalse();
        assertThat(mIndex.onEvent("e1", 1, stored(4, 99))).isFalse();
        assertThat(mIndex.onEvent("e1", 1, stored(5, 13))).isFalse();
        assertThat(mIndex.blocksOf("e1", 1)).hasLength(4);
    }

    @Property(tries = 200, seed = "5")
    void duplicatedAndLateEventsChangeNothing(@ForAll long seed) {
        Random random = new Random(seed);
        PrefixIndex index = PrefixIndex.create();
        index.onIncarnation("e", 1);
        Set<Long> expected = new HashSet<>();
        List<CacheEvent> sent = new ArrayList<>();
        for (int i = 1; i <= 60; i++) {
            long key = random.nextInt(20);
            boolean store = random.nextBoolean();
            CacheEvent event =
                    new CacheEvent(
                            i,
                            store ? CacheEvent.Kind.STORED : CacheEvent.Kind.REMOVED,
                            LongList.of(key));
            if (store) {
                expected.add(key);
            } else {
                expected.remove(key);
            }
            sent.add(event);
            index.onEvent("e", 1, event);
            index.onEvent("e", 1, sent.get(random.nextInt(sent.size())));
        }

        Set<Long> indexed = new HashSet<>();
        for (long key : index.blocksOf("e", 1)) {
            indexed.add(key);
        }
        assertThat(indexed).isEqualTo(expected);
    }

    @Property(tries = 200, seed = "6")
    void lostEventsAreDetectedAndResyncRestoresTheIndex(@ForAll long seed) {
        Random random = new Random(seed);
        PrefixIndex index = PrefixIndex.create();
        index.onIncarnation("e", 1);
        Set<Long> expected = new HashSet<>();
        boolean lost = false;
        for (int i = 1; i <= 60; i++) {
            long key = random.nextInt(20);
            expected.add(key);
            if (random.nextInt(10) == 0) {
                lost = true;
                continue;
            }
            boolean gap = index.onEvent("e", 1, stored(i, key));
            assertThat(gap).isEqualTo(lost);
            if (gap) {
                index.onResync("e", 1, i, expected.stream().mapToLong(Long::longValue).toArray());
                lost = false;
            }
            assertThat(index.blocksOf("e", 1)).hasLength(expected.size());
        }
    }

    private static CacheEvent stored(long sequence, long key) {
        return new CacheEvent(sequence, CacheEvent.Kind.STORED, LongList.of(key));
    }
}
