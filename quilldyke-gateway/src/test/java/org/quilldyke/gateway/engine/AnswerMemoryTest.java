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
package org.quilldyke.gateway.engine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class AnswerMemoryTest {
    private static final long MAX_BYTES = 1000;
    private static final int ANSWERS = 20;

    private final AnswerMemory mMemory = AnswerMemory.ofBytes(MAX_BYTES);
    private final List<String> mDiscarded = new ArrayList<>();

    @Test
    void answerThatHoldsTheMostIsDiscarded() {
        AnswerMemory.Share small = open("small");
        AnswerMemory.Share large = open("large");
        small.set(300);
        large.set(600);
        assertThat(mDiscarded).isEmpty();

        small.set(500);

        assertThat(mDiscarded).containsExactly("large");
        assertThat(mMemory.bytes()).isEqualTo(500);
    }

    @Test
    void answerThatAloneIsOverTheBoundIsDiscarded() {
        AnswerMemory.Share other = open("other");
        other.set(100);

        open("large").set(MAX_BYTES + 1);

        assertThat(mDiscarded).containsExactly("large");
        assertThat(mMemory.bytes()).isEqualTo(100);
    }

    @Test
    void releasedBytesAreAvailable() {
        AnswerMemory.Share first = open("first");
        first.set(900);
        first.release();
        first.release();

        open("second").set(900);

        assertThat(mDiscarded).isEmpty();
        assertThat(mMemory.bytes()).isEqualTo(900);
    }

    @Property(tries = 200, seed = "7102")
    void boundHolds(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        AnswerMemory memory = AnswerMemory.ofBytes(MAX_BYTES);
        Map<Integer, Long> held = new HashMap<>();
        List<AnswerMemory.Share> shares = new ArrayList<>();
        for (int i = 0; i < ANSWERS; i++) {
            int answer = i;
            shares.add(memory.open(() -> held.remove(answer)));
        }
        for (int step = 0; step < 300; step++) {
            int answer = random.nextInt(ANSWERS);
            if (random.nextInt(4) == 0) {
                held.remove(answer);
                shares.get(answer).release();
            } else {
                long bytes = held.getOrDefault(answer, 0L) + random.nextInt(200);
                held.put(answer, bytes);
                shares.get(answer).set(bytes);
            }
            long sum = held.values().stream().mapToLong(Long::longValue).sum();
            assertThat(memory.bytes()).isEqualTo(sum);
            assertThat(sum).isAtMost(MAX_BYTES);
        }
    }

    private AnswerMemory.Share open(String name) {
        return mMemory.open(() -> mDiscarded.add(name));
    }
}
