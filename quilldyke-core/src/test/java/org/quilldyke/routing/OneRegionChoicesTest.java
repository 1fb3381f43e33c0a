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

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.Prompt;
import org.quilldyke.caller.RequestFingerprint;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.manifest.RequestKind;
import org.quilldyke.manifest.Route;
import org.quilldyke.manifest.Service;
import org.quilldyke.rollout.RolloutTolerance;
import org.quilldyke.rollout.VersionRouting;

/** Choices in a fleet of one region, compared with those made before regions were introduced. */
class OneRegionChoicesTest {
    private static final List<String> DOMAINS = List.of("u", "v", "w", "x");
    private static final int STEPS = 4000;

    /** The digest of the same choices at commit 334b08a, the last one that knew no regions. */
    private static final long DIGEST_WITHOUT_REGIONS = -4978607754976309675L;

    /** Guards against any change of choices for fleets that aren't configured with regions. */
    @Test
    void fleetWithoutRegionsChoosesAsBefore() {
        TargetSelector selector = TargetSelector.create("u", 7500, new SplittableRandom(5));

        assertThat(digest(selector)).isEqualTo(DIGEST_WITHOUT_REGIONS);
    }

    /** Guards against a fleet being treated as one of several regions that names only one. */
    @Test
    void fleetOfOneNamedRegionChoosesAsBefore() {
        Topology topology = Topology.of(Map.of("u", "r", "v", "r", "w", "r", "x", "r"));
        for (Affinity affinity : Affinity.values()) {
            TargetSelector selector =
                    TargetSelector.create(
                            new Location("u", topology, affinity),
                            7500,
                            VersionRouting.create(RolloutTolerance.NO_ROLLOUTS),
                            new SplittableRandom(5));

            assertThat(digest(selector)).isEqualTo(DIGEST_WITHOUT_REGIONS);
        }
    }

    /** Guards against a digest that regions wouldn't change. */
    @Test
    void fleetOfTwoRegionsChoosesOtherwise() {
        Topology topology = Topology.of(Map.of("u", "r", "v", "r", "w", "q", "x", "q"));
        TargetSelector selector =
                TargetSelector.create(
                        Location.of("u", topology),
                        7500,
                        VersionRouting.create(RolloutTolerance.NO_ROLLOUTS),
                        new SplittableRandom(5));

        assertThat(digest(selector)).isNotEqualTo(DIGEST_WITHOUT_REGIONS);
    }

    private static long digest(TargetSelector selector) {
        Random random = new Random(7);
        for (int i = 0; i < 12; i++) {
            selector.onReport(report("e" + i, "s", 16, DOMAINS.get(i % 4)));
        }
        for (int i = 0; i < 4; i++) {
            selector.onReport(report("p" + i, "t", 4, DOMAINS.get(i)));
        }
        selector.onServices(services());
        long digest = 0;
        List<Choice> open = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            long now = step * 7L;
            ForwardRequest request = request(random);
            Optional<Choice> choice =
                    random.nextInt(5) == 0
                            ? selector.chooseSuccessor(
                                            request, Set.of("e1"), random.nextInt(50), now)
                                    .map(SuccessorChoice::choice)
                            : selector.choose(request, Set.of(), now);
            digest = 31 * digest + ChoiceSequence.comparable(choice.toString()).hashCode();
            if (choice.isPresent()) {
                selector.onDispatch(choice.get(), request, now);
                open.add(choice.get());
            }
            if (open.size() > 30) {
                finish(selector, open.remove(random.nextInt(open.size())), random, now);
            }
            String engine = "e" + random.nextInt(12);
            switch (random.nextInt(40)) {
                case 0 -> selector.onFailure(engine, now);
                case 1 -> selector.onOverloaded("p" + random.nextInt(4), now);
                case 2 -> selector.onOtherInstancesLoad(engine, random.nextInt(20), 5000);
                case 3 -> selector.onOtherInstancesLoad("p" + random.nextInt(4), 3, 0);
                default -> selector.onFreeConnections(engine, random.nextInt(2));
            }
        }
        return digest;
    }

    private static void finish(TargetSelector selector, Choice choice, Random random, long now) {
        selector.onPrefillEnd(choice);
        selector.onFirstEvent(choice, 50 + random.nextInt(400), now);
        selector.onFinished(choice);
        if (!choice.cacheSalt().isEmpty()) {
            List<Long> keys =
                    List.of(
                            CacheKeys.of(choice.cacheSalt(), 1 + random.nextInt(2)),
                            CacheKeys.of(choice.cacheSalt(), 100 + random.nextInt(20)));
            String holder = random.nextInt(4) == 0 ? "store:1" : choice.target();
            selector.onCacheUpdate(new CacheUpdate(holder, true, false, keys, List.of()));
        }
    }

    private static List<Service> services() {
        return List.of(
                new Service(
                        "s",
                        "/",
                        0,
                        Optional.of(
                                new Service.EngineSpec(
                                        16, 300_000, 163_840, 370_000, 4, List.of("m"))),
                        Optional.empty()),
                new Service(
                        "k",
                        "",
                        0,
                        Optional.empty(),
                        Optional.of(new Service.KvStore("store:1", "w", 1_000_000, 25_000))));
    }

    private static TargetReport report(String id, String service, int slots, String domain) {
        return new TargetReport(
                id, service, id + ":1", domain, "v", slots, false, 0, Map.of("m", 1L), 1);
    }

    private static ForwardRequest request(Random random) {
        boolean plain = random.nextInt(4) == 0;
        List<Prompt.Part> parts =
                List.of(
                        new Prompt.Part(1 + random.nextInt(2), 2500),
                        new Prompt.Part(100 + random.nextInt(20), 3800),
                        new Prompt.Part(1000 + random.nextInt(1_000_000), 2900));
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        RequestKind.STREAMING,
                        4000,
                        800,
                        500,
                        random.nextInt(2),
                        List.of(new Route.Share("s", 1)),
                        1,
                        false,
                        true,
                        false);
        return new ForwardRequest(
                "id",
                route,
                plain ? "t" : "s",
                Optional.empty(),
                "",
                plain ? Optional.empty() : Optional.of(new Prompt("m", 9200, 10, parts)),
                random.nextInt(20_000),
                0,
                4000,
                new RequestFingerprint(1, 1),
                -1,
                0);
    }
}
