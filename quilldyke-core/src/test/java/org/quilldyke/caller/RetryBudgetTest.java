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

import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    @Test
    void retriesAreLimitedToAFractionOfRequests() {
        RetryBudget budget = RetryBudget.create(0.1, 5);
        int retries = 0;
        for (int i = 0; i < 1000; i++) {
            budget.onRequest();
            retries += budget.tryAcquire() ? 1 : 0;
        }

        assertThat(retries).isAtMost(106);
        assertThat(retries).isAtLeast(100);
    }

    @Test
    void tokensAccumulateUpToTheMaximum() {
        RetryBudget budget = RetryBudget.create(0.5, 3);
        for (int i = 0; i < 100; i++) {
            budget.onRequest();
        }

        assertThat(budget.tryAcquire()).isTrue();
        assertThat(budget.tryAcquire()).isTrue();
        assertThat(budget.tryAcquire()).isTrue();
        assertThat(budget.tryAcquire()).isFalse();
    }

    @Test
    void releasedTokensDoNotExceedTheMaximum() {
        RetryBudget budget = RetryBudget.create(0.5, 1);
        budget.release();

        assertThat(budget.tryAcquire()).isTrue();
        assertThat(budget.tryAcquire()).isFalse();
        budget.release();
        assertThat(budget.tryAcquire()).isTrue();
    }
}
