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

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.rollout.Rollout;
import org.quilldyke.rollout.RolloutPhase;
import org.quilldyke.rollout.RolloutTolerance;
import org.quilldyke.rollout.ServiceVersions;
import org.quilldyke.rollout.VersionRouting;

/** The choice among targets of several software versions. */
class TargetSelectorVersionsTest {
    /** Of commit 334b08a, before targets were chosen by their software version. */
    private static final long DIGEST_WITHOUT_ROLLOUTS = 6_187_034_157_019_313_228L;

    private static final RolloutTolerance TOLERANCE = new RolloutTolerance(0.1, 50, 5000);
    private static final int REQUESTS = 2000;
    private static final long UNCONFIRMED_AT = 1500;

    private final VersionRouting mVersions = VersionRouting.create(TOLERANCE);
    private final TargetSelector mSelector =
            TargetSelector.create(
                    Location.inOneRegion("z"), 7500, mVersions, new SplittableRandom(1));

    /** Guards against other choices, and other draws, in deployments that have no rollout. */
    @Test
    void choicesWithoutRolloutsAreThoseOfTheSameSeedBefore() {
        TargetSelector without = TargetSelector.create("z", 7500, new SplittableRandom(1));

        assertThat(ChoiceSequence.play(without)).isEqualTo(DIGEST_WITHOUT_ROLLOUTS);
        assertThat(ChoiceSequence.play(mSelector)).isEqualTo(DIGEST_WITHOUT_ROLLOUTS);
    }

    /** Guards against other choices for services beside the one that is rolled out. */
    @Test
    void rolloutOfAnotherServiceChangesNoChoice() {
        Rollout other = new Rollout("other", "v1", 12_000, 7, RolloutPhase.REVERTED);
        mVersions.onRollout(new ServiceVersions(other, List.of("v1")), 0, 0);
        mSelector.onVersionsChanged();

        assertThat(ChoiceSequence.play(mSelector)).isEqualTo(DIGEST_WITHOUT_ROLLOUTS);
    }

    /** Guards against more requests to a version under evaluation than canaries. */
    @Test
    void onlyFirstAttemptsOfCanariesGoToTheNewVersion() {
        start(RolloutPhase.CANARY, List.of());

        Map<String, Integer> first = choices(Set.of(), 0);
        assertThat(first.get("new") / (double) REQUESTS).isWithin(0.015).of(0.05);
        assertThat(choices(Set.of("new"), 0).keySet()).containsExactly("old", "old2");
        assertThat(choices(Set.of("old"), 0).keySet()).containsExactly("old2");
        assertThat(choices(Set.of(), UNCONFIRMED_AT).keySet()).containsExactly("old", "old2");
    }

    /**
     * Guards against a canary that fails twice: after a wait for a target, none of those that have
     * failed the request is excluded any more.
     */
    @Test
    void requestThatMayHaveRunIsNoCanaryAgain() {
        start(RolloutPhase.CANARY, List.of());

        for (int i = 0; i < REQUESTS; i++) {
            ForwardRequest request = ChoiceSequence.request("id-" + i, false, 0);
            assertThat(mSelector.choose(request, Set.of(), false, 0).get().target())
                    .isNotEqualTo("new");
        }
    }

    /** Guards against callers that are refused because the only new target has failed. */
    @Test
    void canaryIsAnOrdinaryRequestIfNoNewTargetIsHealthy() {
        start(RolloutPhase.CANARY, List.of());
        mSelector.onFailure("new", 0);

        assertThat(choices(Set.of(), 0).keySet()).containsExactly("old", "old2");
    }

    /** Guards against a service whose requests fail because its new version is unhealthy. */
    @Test
    void shiftingUsesTheOldVersionIfNoNewTargetIsHealthy() {
        start(RolloutPhase.SHIFTING, List.of());
        assertThat(choices(Set.of(), 0).keySet()).containsExactly("new");

        mSelector.onFailure("new", 0);
        assertThat(choices(Set.of(), 0).keySet()).containsExactly("old", "old2");
        mSelector.onFailure("old", 0);
        mSelector.onFailure("old2", 0);
        assertThat(choices(Set.of(), 0).keySet()).containsExactly("new", "old", "old2");
    }

    /** Guards against requests, relayed ones and moved streams at targets that may be stopped. */
    @Test
    void retiredTargetsAreTreatedAsLeaving() {
        start(RolloutPhase.COMPLETED, List.of("v1"));
        mSelector.onReport(ChoiceSequence.report("late", "s", "v1", false));

        assertThat(choices(Set.of(), 0).keySet()).containsExactly("new");
        assertThat(mSelector.isLeaving("old")).isTrue();
        assertThat(mSelector.isLeaving("late")).isTrue();
        assertThat(mSelector.relayDestination("old", 0).isPresent()).isFalse();
        assertThat(mSelector.relayDestination("new", 0).isPresent()).isTrue();
        assertThat(choices(Set.of("new"), 0)).isEmpty();
    }

    /** Guards against a reverted version that keeps a share of the requests. */
    @Test
    void revertedVersionGetsNothing() {
        start(RolloutPhase.REVERTED, List.of("v2"));

        assertThat(choices(Set.of(), 0).keySet()).containsExactly("old", "old2");
        assertThat(mSelector.isLeaving("new")).isTrue();
        assertThat(mSelector.isLeaving("old")).isFalse();
    }

    /**
     * Guards against an entry that was cut off before the completion, whose old targets have been
     * stopped: it isn't notified of their removal, and would refuse everything.
     */
    @Test
    void entryThatMissedTheCompletionUsesTheNewVersion() {
        start(RolloutPhase.CANARY, List.of());
        for (String id : List.of("old", "old2")) {
            for (int i = 0; i < 4; i++) {
                mSelector.onUnreachable(id, 5000);
            }
        }

        assertThat(choices(Set.of(), 5000).keySet()).containsExactly("new");
        mVersions.onConfirmed(5000);
        assertThat(choices(Set.of("old"), 5000).keySet()).containsExactly("old2");
    }

    private void start(RolloutPhase phase, List<String> retired) {
        mSelector.onReport(ChoiceSequence.report("old", "s", "v1", false));
        mSelector.onReport(ChoiceSequence.report("old2", "s", "v1", false));
        mSelector.onReport(ChoiceSequence.report("new", "s", "v2", false));
        Rollout rollout = new Rollout("s", "v2", 12_000, 7, phase);
        mVersions.onRollout(new ServiceVersions(rollout, retired), 0, 0);
        mVersions.onConfirmed(0);
        mSelector.onVersionsChanged();
    }

    /** Returns how many requests each target would get. */
    private Map<String, Integer> choices(Set<String> excluded, long now) {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < REQUESTS; i++) {
            ForwardRequest request = ChoiceSequence.request("id-" + i, false, now);
            mSelector
                    .choose(request, excluded, now)
                    .ifPresent(choice -> counts.merge(choice.target(), 1, Integer::sum));
        }
        return counts;
    }
}
