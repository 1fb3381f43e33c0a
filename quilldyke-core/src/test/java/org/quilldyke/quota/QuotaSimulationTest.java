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
package org.quilldyke.quota;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * The load that quotas are for: many entries, few organisations, prompts of thousands of tokens.
 */
class QuotaSimulationTest {
    private static final int[] ENTRY_COUNTS = {6, 95, 300};
    private static final int ALL = Integer.MAX_VALUE;
    private static final int FAULT_SEEDS = Integer.getInteger("quilldyke.quota.seeds", 12);
    private static final int SECONDS = 10;

    @Test
    void organisationsBelowTheirQuotaAreServed() {
        for (int entries : ENTRY_COUNTS) {
            for (double demand : new double[] {0.5, 0.95}) {
                for (int users : new int[] {ALL, 3}) {
                    QuotaSimulation.Result result = run(entries, demand, users, 0, 1);
                    assertThat(result.mViolations).isEqualTo(0);
                    assertThat(result.owedAdmittedShare()).isAtLeast(0.995);
                }
            }
        }
    }

    @Test
    void organisationsOverTheirQuotaUseTheWholeOfIt() {
        for (int entries : ENTRY_COUNTS) {
            for (double demand : new double[] {1.5, 4}) {
                for (int users : new int[] {ALL, 3}) {
                    QuotaSimulation.Result result = run(entries, demand, users, 0, 2);
                    assertThat(result.mViolations).isEqualTo(0);
                    assertThat(result.limitUsed()).isAtLeast(0.97);
                }
            }
        }
    }

    @Test
    void noWindowExceedsTheBoundWhileControlProcessesFail() {
        for (long seed = 1; seed <= FAULT_SEEDS; seed++) {
            double demand = seed % 2 == 0 ? 1.2 : 3;
            QuotaSimulation.Result result = run(24, demand, seed % 3 == 0 ? 3 : ALL, 700, seed);
            assertThat(result.mViolations).isEqualTo(0);
            assertThat(result.mAdmitted).isGreaterThan(0);
        }
    }

    private static QuotaSimulation.Result run(
            int entries, double demand, int users, int faultMillis, long seed) {
        QuotaSimulation.Result result =
                QuotaSimulation.run(
                        new QuotaSimulation.Config(
                                entries, demand, users, faultMillis, SECONDS, seed));
        System.out.printf(
                "entries %d demand %.2f users %s faults %d seed %d: worst window %.3f of the bound,"
                        + " owed admitted %.4f, limit used %.3f, waits over 12 ms %.4f,"
                        + " over 100 ms %.4f, unavailable %.4f,"
                        + " frames an entry a second %.1f, pulls a second %.0f%n",
                entries,
                demand,
                users == ALL ? "all" : users,
                faultMillis,
                seed,
                result.mWorstWindowFraction,
                result.owedAdmittedShare(),
                result.limitUsed(),
                (double) result.mWaits / result.mAdmitted,
                (double) result.mLongWaits / result.mAdmitted,
                (double) result.mUnavailable / result.mRequests,
                result.mEntryFrames / (double) SECONDS / entries,
                result.mLeaderPulls / (double) SECONDS);
        return result;
    }
}
