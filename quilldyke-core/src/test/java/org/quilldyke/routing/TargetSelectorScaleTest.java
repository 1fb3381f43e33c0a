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

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.Prompt;
import org.quilldyke.caller.RequestFingerprint;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.manifest.RequestKind;
import org.quilldyke.manifest.Route;

/** Checks the time and the quality of a choice in a large fleet. */
class TargetSelectorScaleTest {
    private static final List<String> DOMAINS = List.of("u", "v", "w", "x", "y", "z");
    private static final Prompt PROMPT =
            new Prompt(
                    "m",
                    9000,
                    10,
                    List.of(
                            new Prompt.Part(1, 2500),
                            new Prompt.Part(2, 3800),
                            new Prompt.Part(3, 2700)));

    /**
     * Guards against comparing each engine with each other one: a choice then took 0.5 ms with 50
     * engines and 277 ms with 1,000, 540 times as long, instead of 0.05 and 0.7 ms. Measures
     * processor time of this thread, the least of several rounds, so that other load doesn't count.
     */
    @Test
    void choiceTimeGrowsLinearlyWithTheEngines() {
        double small = nanosPerChoice(50);
        double large = nanosPerChoice(1000);

        System.out.printf("a choice of 50: %.0f us, of 1000: %.0f us%n", small / 1e3, large / 1e3);
        // There are twenty times as many engines; four is the margin.
        assertThat(large / small).isLessThan(4 * 20.0);
    }

    /**
     * Guards against all engines that lack a part fetching it from the same one, the first by the
     * order of a hash table, and mostly over the slower link to another failure domain.
     */
    @Test
    void partsAreFetchedWithinTheDomainAndFromManyEngines() {
        TargetSelector selector = selector(60);
        String salt = choose(selector, Set.of()).cacheSalt();
        Set<String> holders = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            holders.add("e" + i);
            reportCached(selector, "e" + i, salt);
        }

        Set<String> excluded = new HashSet<>(holders);
        Set<String> sources = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            Choice choice = choose(selector, excluded);
            excluded.add(choice.target());
            sources.add(choice.cacheSource());
            assertThat(domainOf(choice.cacheSource())).isEqualTo(domainOf(choice.target()));
        }
        assertThat(sources.size()).isAtLeast(12);
    }

    private static double nanosPerChoice(int engines) {
        TargetSelector selector = selector(engines);
        for (int i = 0; i < engines / 2; i++) {
            reportCached(selector, "e" + i, choose(selector, Set.of()).cacheSalt());
        }
        double least = Double.MAX_VALUE;
        for (int round = 0; round < 8; round++) {
            int choices = 20_000 / engines;
            long start = threadCpuNanos();
            for (int i = 0; i < choices; i++) {
                choose(selector, Set.of());
            }
            least = Math.min(least, (threadCpuNanos() - start) / (double) choices);
        }
        return least;
    }

    private static long threadCpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static TargetSelector selector(int engines) {
        TargetSelector selector = TargetSelector.create("z", 7500, new SplittableRandom(1));
        for (int i = 0; i < engines; i++) {
            selector.onReport(
                    new TargetReport(
                            "e" + i,
                            "s",
                            "e" + i + ":1",
                            DOMAINS.get(i % DOMAINS.size()),
                            "v",
                            16,
                            false,
                            0,
                            Map.of("m", 1L),
                            1));
        }
        return selector;
    }

    private static String domainOf(String target) {
        int number = Integer.parseInt(target.replace(":1", "").substring(1));
        return DOMAINS.get(number % DOMAINS.size());
    }

    private static void reportCached(TargetSelector selector, String holder, String salt) {
        List<Long> keys = new ArrayList<>();
        for (Prompt.Part part : PROMPT.sharedParts()) {
            keys.add(CacheKeys.of(salt, part.id()));
        }
        selector.onCacheUpdate(new CacheUpdate(holder, true, false, keys, List.of()));
    }

    private static Choice choose(TargetSelector selector, Set<String> excluded) {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        RequestKind.STREAMING,
                        5000,
                        600,
                        500,
                        1,
                        List.of(new Route.Share("s", 1)),
                        1,
                        false,
                        false,
                        false);
        ForwardRequest request =
                new ForwardRequest(
                        "id",
                        route,
                        "s",
                        Optional.empty(),
                        "",
                        Optional.of(PROMPT),
                        9000,
                        0,
                        5000,
                        new RequestFingerprint(1, 1),
                        -1,
                        0);
        return selector.choose(request, excluded, 0).orElseThrow();
    }
}
