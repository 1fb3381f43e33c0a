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
package org.quilldyke.gateway.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quilldyke.testkit.check.CheckReport;

/** What was acknowledged survives each loss of disks and power that a site may see. */
class LossRunTest {
    private static final int SEEDS = Integer.getInteger("quilldyke.loss.seeds", 100);
    private static final int FIRST_SEED = Integer.getInteger("quilldyke.loss.first", 1);

    @Test
    void groupOfFourBearsTheLossOfOneDisk() {
        play(4, 1);
    }

    /** Where no leader came again, and where entries of a killed process were lost. */
    @ParameterizedTest
    @ValueSource(ints = {687, 1381})
    void seedsThatOnceFailedAreBorne(int seed) {
        assertGood(4, seed, LossRun.play(4, 1, seed));
    }

    @Test
    void groupOfEightBearsTheLossOfTwoDisks() {
        play(8, 2);
    }

    private static void play(int machines, int tolerated) {
        Map<String, Long> counts = new TreeMap<>();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            CheckReport report = LossRun.play(machines, tolerated, seed);
            assertGood(machines, seed, report);
            report.counts().forEach((name, count) -> counts.merge(name, count, Long::sum));
        }
        assertThat(counts.keySet())
                .containsAtLeast(
                        "loss of disks alone",
                        "loss of power alone",
                        "loss of disks and of power",
                        "kill of all, then loss of disks and of power",
                        "fault loss of power at a start",
                        "membership proposed",
                        "checked what was acknowledged is there",
                        "checked named weights are there",
                        "checked a read gives what was acknowledged before it");
    }

    private static void assertGood(int machines, int seed, CheckReport report) {
        assertWithMessage(machines + " machines, seed " + seed).that(report.violations()).isEmpty();
    }
}
