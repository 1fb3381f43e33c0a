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
package org.quilldyke.weights;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.quilldyke.engine.Incarnation;
import org.quilldyke.engine.TargetReport;

class LoadPlannerTest {
    private static final Map<String, Long> WANTED = Map.of("m", 2L);

    private final LoadPlanner mPlanner = LoadPlanner.create();

    @Test
    void announcesThenQueriesThenOrdersAtTheRevision() {
        List<TargetReport> engines = engines(1);
        assertThat(mPlanner.tick(fleet(engines, Set.of()), WANTED, 0))
                .containsExactly(new LoadAction.AnnounceLoading("e0"));
        assertThat(mPlanner.tick(fleet(engines, Set.of()), WANTED, 20)).isEmpty();
        assertThat(mPlanner.tick(fleet(engines, Set.of()), WANTED, 50))
                .containsExactly(new LoadAction.QueryStatus("e0"));
        assertThat(mPlanner.onStatus("e0", status(false, 7, 1), 55))
                .containsExactly(new LoadAction.Order("e0", "m", 2, 7));
        assertThat(mPlanner.onOrderOutcome("e0", OrderOutcome.ACCEPTED, 60)).isEmpty();
        mPlanner.tick(fleet(engines, Set.of()), WANTED, 900);
        assertThat(mPlanner.onStatus("e0", status(true, 8, 1), 910)).isEmpty();
        mPlanner.tick(fleet(engines, Set.of()), WANTED, 1200);
        assertThat(mPlanner.onStatus("e0", status(false, 8, 2), 1210))
                .containsExactly(new LoadAction.ReturnToService("e0", "m", 2));
    }

    @Test
    void concurrentLoadsAreLimited() {
        assertThat(concurrentLoads(6, Set.of())).isEqualTo(2);
        assertThat(concurrentLoads(63, Set.of())).isEqualTo(18);
    }

    /**
     * Guards against too many engines out of service: with two of six unreachable, and again after
     * their leases had expired, two more were taken out to load.
     */
    @Test
    void unresponsiveEnginesLowerTheLimitOfConcurrentLoads() {
        assertThat(concurrentLoads(6, Set.of("e4", "e5"))).isEqualTo(1);
        assertThat(concurrentLoads(4, Set.of())).isEqualTo(1);
    }

    @Test
    void engineThatReportsItsNewWeightsIsDone() {
        List<TargetReport> engines = engines(1);
        startLoading(engines);
        mPlanner.onStatus("e0", status(false, 0, 1), 55);

        assertThat(mPlanner.tick(fleet(List.of(engine("e0", 2)), Set.of()), WANTED, 700))
                .containsExactly(new LoadAction.ReturnToService("e0", "m", 2));
    }

    /**
     * Guards against loading in the registry's order: the first engines got every version and the
     * last none.
     */
    @Test
    void oldestWeightsGoFirst() {
        List<TargetReport> engines = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            engines.add(engine("e" + i, i == 5 ? 1 : 2));
        }

        assertThat(mPlanner.tick(fleet(engines, Set.of()), Map.of("m", 3L), 0).get(0).target())
                .isEqualTo("e5");
    }

    /**
     * Guards against draining busy engines first: they took six seconds to complete 45 streams
     * while others with ten waited to load.
     */
    @Test
    void amongEqualWeightsTheEngineWithFewestOpenRequestsGoesFirst() {
        EngineFleet fleet =
                new EngineFleet(engines(3), Set.of(), Map.of("e0", 45, "e1", 10, "e2", 30));

        assertThat(mPlanner.tick(fleet, WANTED, 0))
                .containsExactly(new LoadAction.AnnounceLoading("e1"));
    }

    @Test
    void unansweredOrderIsRepeatedOnlyAtTheSameRevision() {
        List<TargetReport> engines = engines(1);
        startLoading(engines);
        mPlanner.onStatus("e0", status(false, 7, 1), 55);
        mPlanner.onOrderOutcome("e0", OrderOutcome.UNKNOWN, 700);
        mPlanner.tick(fleet(engines, Set.of()), WANTED, 1300);

        assertThat(mPlanner.onStatus("e0", status(false, 8, 1), 1310)).isEmpty();
        mPlanner.tick(fleet(engines, Set.of()), WANTED, 1600);
        assertThat(mPlanner.onStatus("e0", status(false, 7, 1), 1610))
                .containsExactly(new LoadAction.Order("e0", "m", 2, 7));
    }

    @Test
    void engineThatNeverLoadsIsAbandoned() {
        List<TargetReport> engines = engines(1);
        startLoading(engines);
        mPlanner.onStatusUnavailable("e0", 60);

        assertThat(
                        mPlanner.tick(
                                fleet(engines, Set.of()),
                                WANTED,
                                LoadPlanner.LOAD_TIMEOUT_MILLIS + 10))
                .contains(new LoadAction.ReturnToService("e0", "m", 0));
    }

    /**
     * Guards against two unreachable engines occupying both concurrent loads until their leases
     * expire.
     */
    @Test
    void unresponsiveEnginesAreSkippedAndNotCounted() {
        List<LoadAction> actions = mPlanner.tick(fleet(engines(7), Set.of("e0", "e1")), WANTED, 0);

        assertThat(actions).containsExactly(new LoadAction.AnnounceLoading("e2"));
    }

    @Test
    void engineThatStopsAnsweringIsAbandoned() {
        List<TargetReport> engines = engines(1);
        startLoading(engines);

        assertThat(mPlanner.onStatusUnavailable("e0", 60)).isEmpty();
        mPlanner.tick(fleet(engines, Set.of()), WANTED, 600);
        assertThat(mPlanner.onStatusUnavailable("e0", 1300))
                .containsExactly(new LoadAction.ReturnToService("e0", "m", 0));
    }

    @Test
    void statusOfAnotherIncarnationIsIgnored() {
        List<TargetReport> engines = List.of(engine("e#7", 1));
        startLoading(engines);
        EngineStatus otherStatus = new EngineStatus(false, 9, Map.of("m", 2L), 5);

        assertThat(mPlanner.onStatus("e#7", otherStatus, 55)).isEmpty();
        mPlanner.tick(fleet(engines, Set.of()), WANTED, 600);
        assertThat(mPlanner.onStatus("e#7", otherStatus, 610))
                .containsExactly(new LoadAction.ReturnToService("e#7", "m", 0));
    }

    @Test
    void restartedEngineIsOrderedAtItsOwnRevision() {
        startLoading(List.of(engine("e#5", 1)));
        mPlanner.onStatus("e#5", new EngineStatus(false, 4, Map.of("m", 1L), 5), 55);

        List<TargetReport> restarted = List.of(engine("e#7", 1));
        assertThat(mPlanner.tick(fleet(restarted, Set.of()), WANTED, 100))
                .containsExactly(new LoadAction.AnnounceLoading("e#7"));
        assertThat(mPlanner.onOrderOutcome("e#5", OrderOutcome.HOLDS, 110)).isEmpty();
        mPlanner.tick(fleet(restarted, Set.of()), WANTED, 150);
        assertThat(mPlanner.onStatus("e#7", new EngineStatus(false, 0, Map.of("m", 1L), 7), 155))
                .containsExactly(new LoadAction.Order("e#7", "m", 2, 0));
    }

    /** Announces the first engine at 0 ms and queries its status at 50 ms. */
    private void startLoading(List<TargetReport> engines) {
        mPlanner.tick(fleet(engines, Set.of()), WANTED, 0);
        mPlanner.tick(fleet(engines, Set.of()), WANTED, 50);
    }

    private static int concurrentLoads(int count, Set<String> unresponsive) {
        return LoadPlanner.create().tick(fleet(engines(count), unresponsive), WANTED, 0).size();
    }

    private static EngineStatus status(boolean busy, long revision, long version) {
        return new EngineStatus(busy, revision, Map.of("m", version), Incarnation.UNKNOWN_START);
    }

    private static EngineFleet fleet(List<TargetReport> engines, Set<String> unresponsive) {
        return new EngineFleet(engines, unresponsive, Map.of());
    }

    private static List<TargetReport> engines(int count) {
        List<TargetReport> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(engine("e" + i, 1));
        }
        return engines;
    }

    private static TargetReport engine(String id, long version) {
        return new TargetReport(
                id, "s", id + ":1", "z", "v1", 4, false, 0, Map.of("m", version), 1);
    }
}
