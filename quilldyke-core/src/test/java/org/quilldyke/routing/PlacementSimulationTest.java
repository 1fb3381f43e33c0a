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

import org.junit.jupiter.api.Test;

/** The load after new weights: no engine has a prompt cached, and all entries start at once. */
class PlacementSimulationTest {
    private static final double ON_TIME_TARGET = 0.95;

    @Test
    void streamsAreOnTimeWhileCachesAreEmpty() {
        int onTime = 0;
        int all = 0;
        for (long seed = 1; seed <= 5; seed++) {
            PlacementSimulation.Result result = run(95, 45, 185, 331, seed);
            onTime += result.mShortOnTime + result.mLongOnTime;
            all += result.mShortCount + result.mLongCount;
        }

        assertThat(onTime / (double) all).isAtLeast(ON_TIME_TARGET);
    }

    private static PlacementSimulation.Result run(
            int entries, int engines, double longPerSecond, double shortPerSecond, long seed) {
        PlacementSimulation.Result result =
                PlacementSimulation.run(
                        new PlacementSimulation.Config(
                                entries, engines, longPerSecond, shortPerSecond, 4000, seed));
        System.out.printf(
                "placement entries %d engines %d seed %d: short on time %.3f, long on time %.3f,"
                        + " refused %d, recomputed tokens %d, longest pause %d ms%n",
                entries,
                engines,
                seed,
                result.shortOnTimeShare(),
                result.longOnTimeShare(),
                result.mRefused,
                result.mRecomputedTokens,
                result.mMaxPauseMillis);
        return result;
    }
}
