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
package org.quilldyke.caller;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Requests whose targets do all that targets do, in any order: whatever comes, the promises hold.
 */
class ForwardingWalkTest {
    private static final int WALKS = 20_000;

    @Test
    void promisesHoldInAnyOrderOfEvents() {
        Map<String, Integer> ends = new TreeMap<>();
        for (int seed = 1; seed <= WALKS; seed++) {
            ForwardingWalk walk = new ForwardingWalk(seed);
            try {
                ends.merge(walk.play(), 1, Integer::sum);
                if (walk.wasHurried()) {
                    ends.merge("hurried", 1, Integer::sum);
                }
            } catch (RuntimeException | AssertionError e) {
                throw new AssertionError("seed " + seed + "\n" + walk.told(), e);
            }
        }

        // Each way to end was walked, or the walks show less than they seem to.
        assertWithMessage("%s", ends)
                .that(ends.keySet())
                .containsAtLeast("whole", "cut", "failed", "refused", "caller gone", "hurried");
    }
}
