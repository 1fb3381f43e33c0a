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

/** The guarantees hold for any order of events at the targets. */
class ForwardingSimulationTest {
    private static final int SIMULATIONS = 20_000;

    @Test
    void guaranteesHoldForRandomEventOrders() {
        Map<String, Integer> outcomes = new TreeMap<>();
        for (int seed = 1; seed <= SIMULATIONS; seed++) {
            ForwardingSimulation simulation = new ForwardingSimulation(seed);
            try {
                outcomes.merge(simulation.run(), 1, Integer::sum);
                if (simulation.wasShutdownSuccessorAsked()) {
                    outcomes.merge("shutdown successor", 1, Integer::sum);
                }
            } catch (RuntimeException | AssertionError e) {
                throw new AssertionError("seed " + seed + "\n" + simulation.trace(), e);
            }
        }

        // Checks that the simulations cover each outcome.
        assertWithMessage("%s", outcomes)
                .that(outcomes.keySet())
                .containsAtLeast(
                        "whole",
                        "cut",
                        "failed",
                        "refused",
                        "caller disconnected",
                        "shutdown successor");
    }
}
