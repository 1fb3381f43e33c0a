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

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class ServiceRetryBudgetTest {
    @Test
    void fixedRetriesAreDividedAmongTheInstances() {
        ServiceRetryBudget budget = ServiceRetryBudget.create(0, 60, 10_000, 10);

        int taken = 0;
        while (budget.tryAcquire("s", 0)) {
            taken++;
        }

        assertThat(taken).isAtMost(6);
        assertThat(taken).isAtLeast(4);
        assertThat(budget.tryAcquire("other", 0)).isTrue();
    }

    @Test
    void requestsAddRetriesAndUsedRetriesExpireWithTheWindow() {
        ServiceRetryBudget budget = ServiceRetryBudget.create(0.2, 0, 10_000, 1);
        for (int i = 0; i < 100; i++) {
            budget.onRequest("s", 0);
        }
        int taken = 0;
        while (budget.tryAcquire("s", 1)) {
            taken++;
        }
        assertThat(taken).isAtMost(20);
        assertThat(taken).isAtLeast(15);
        assertThat(budget.tryAcquire("s", 5000)).isFalse();
        for (int i = 0; i < 100; i++) {
            budget.onRequest("s", 12_000);
        }
        assertThat(budget.tryAcquire("s", 12_000)).isTrue();
    }

    @Test
    void retriesAtBothEndsOfAWindowCountTogether() {
        ServiceRetryBudget budget = ServiceRetryBudget.create(0, 10, 10_000, 1);
        int taken = 0;
        while (budget.tryAcquire("s", 499)) {
            taken++;
        }
        while (budget.tryAcquire("s", 10_000)) {
            taken++;
        }

        assertThat(taken).isAtMost(10);
    }

    /** Checks windows at any offset, not only those aligned with the buckets. */
    @Test
    void noSlidingWindowExceedsTheBudget() {
        Random random = new Random(7);
        ServiceRetryBudget budget = ServiceRetryBudget.create(0.2, 10, 10_000, 1);
        int[] requests = new int[60_000];
        int[] retries = new int[60_000];
        for (int now = 0; now < 60_000; now++) {
            if (random.nextInt(40) == 0) {
                budget.onRequest("s", now);
                requests[now]++;
            }
            if (random.nextInt(10) == 0 && budget.tryAcquire("s", now)) {
                retries[now]++;
            }
        }
        for (int end = 20_000; end < 60_000; end += 97) {
            int taken = 0;
            int inWindow = 0;
            int inPreviousWindow = 0;
            for (int i = end - 10_000; i < end; i++) {
                taken += retries[i];
                inWindow += requests[i];
                inPreviousWindow += requests[i - 10_000];
            }
            assertThat((double) taken).isAtMost(0.2 * Math.max(inWindow, inPreviousWindow) + 10);
        }
    }
}
