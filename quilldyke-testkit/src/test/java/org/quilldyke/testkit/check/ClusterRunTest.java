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
package org.quilldyke.testkit.check;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ClusterRunTest {
    private static final long STEPS = 60_000;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void threeReplicasKeepTheirPromises(long seed) {
        assertGood(ClusterRun.run(3, seed, STEPS, Breaks.NONE));
    }

    @ParameterizedTest
    @ValueSource(longs = {101, 102, 103, 104})
    void fiveReplicasKeepTheirPromises(long seed) {
        assertGood(ClusterRun.run(5, seed, STEPS, Breaks.NONE));
    }

    @ParameterizedTest
    @ValueSource(longs = {201, 202, 203, 204, 205, 206})
    void membersThatLoseTheirDisksAreReplaced(long seed) {
        CheckReport report = ClusterRun.runDynamic(seed, 4 * STEPS);

        assertGood(report);
        assertThat(report.counts().keySet())
                .containsAtLeast(
                        "fault crash with loss of the disk",
                        "membership changed",
                        "leadership handed on");
    }

    private static void assertGood(CheckReport report) {
        assertWithMessage(
                        report.repeatCommand(STEPS)
                                + report.violations()
                                + String.join("\n", report.trace()))
                .that(report.isGood())
                .isTrue();
        Map<String, Long> counts = report.counts();
        assertThat(counts.keySet())
                .containsAtLeastElementsIn(
                        List.of(
                                "fault crash",
                                "fault pause",
                                "fault message lost",
                                "fault message doubled",
                                "fault message cut",
                                "leader elected",
                                "snapshot taken",
                                "checked one run a claim",
                                "checked one winner a number"));
    }
}
