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
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.gateway.instance.TargetFrames;
import org.quilldyke.gateway.instance.proto.Target;
import org.quilldyke.gateway.instance.proto.Targets;

class TargetSpreadTest extends SpreadFixture {
    /** An entry that had lapsed an engine by mistake once never heard of it again. */
    @Test
    void targetsThatLiveAreToldAnew() throws Exception {
        mSpread.onReport(report(1, false), true);
        assertThat(mTold).hasSize(1);
        mTold.clear();

        for (mNow = 0; mNow <= TargetSpread.REFRESH_MILLIS; mNow += 50) {
            if (mNow % 1000 == 0) {
                mSpread.onReport(report(2 + mNow, false), true);
            }
            mSpread.tick(true);
        }

        assertThat(mTold).hasSize(1);
        assertThat(mTold.get(0).getStanding()).isEqualTo(Target.Standing.LIVE);
    }

    @Test
    void silentTargetLapsesOnlyWhereOthersAreHeard() throws Exception {
        mSpread.onReport(report(1, false), true);
        mTold.clear();
        for (mNow = 0; mNow <= 4000; mNow += 50) {
            mSpread.tick(false);
        }
        assertThat(mTold).isEmpty();

        for (; mNow <= 8000; mNow += 50) {
            mSpread.tick(true);
        }

        List<Target.Standing> told = mTold.stream().map(Target::getStanding).toList();
        assertThat(told).containsExactly(Target.Standing.LIVE, Target.Standing.LAPSED).inOrder();
    }

    @Test
    void whatAnotherProcessToldGoesOnToTheEntriesOnce() throws Exception {
        Targets news =
                Targets.newBuilder().addTargets(TargetFrames.encode(report(5, true), 0)).build();

        mSpread.onTargets(news);
        mSpread.onTargets(news);

        assertThat(mTold).hasSize(1);
        assertThat(mTold.get(0).getLeaving()).isTrue();
        mSpread.onLeave("a");
        assertThat(mTold.get(1).getStanding()).isEqualTo(Target.Standing.GONE);
    }

    /** Until engines reported themselves again, up to 1.2 s, entries knew some of them or none. */
    @Test
    void entriesAreToldAtOnceWhatIsRemembered() throws Exception {
        restartWithMemoryOf(report(7, false));

        assertThat(mSpread.all().getTargetsList()).hasSize(1);
        assertThat(mSpread.heard().getTargetsList()).isEmpty();
        mSpread.onReport(report(1, false), true);
        assertThat(mTold).hasSize(1);
        assertThat(mSpread.heard().getTargetsList()).hasSize(1);
    }

    @Test
    void rememberedTargetThatDoesNotReportItselfIsForgotten() throws Exception {
        restartWithMemoryOf(report(7, false));
        long start = mNow;
        for (; mNow < start + 1500; mNow += 50) {
            mSpread.tick(true);
        }
        assertThat(mTold).isEmpty();
        mSpread.tick(true);

        assertThat(mTold).hasSize(1);
        assertThat(mTold.get(0).getStanding()).isEqualTo(Target.Standing.LAPSED);
        assertThat(mSpread.all().getTargetsList()).isEmpty();
    }

    @Test
    void damagedMemoryIsTakenForNone() throws Exception {
        Files.writeString(mFolder.resolve("hint-targets"), "not a checked file");
        start();

        assertThat(mSpread.all().getTargetsList()).isEmpty();
    }

    /** A report of another service ended the target that had its address. */
    @Test
    void reportOfAnUnknownServiceChangesNothing() throws Exception {
        mSpread.onServices(Set.of("s"));
        mSpread.onReport(report(1, false), true);
        mTold.clear();
        List<TargetReport> before = mSpread.reports();

        for (String id : new String[] {"a", "b"}) {
            TargetReport other = report(id, "other", "1.1.1.1:1", 9);
            QuilldykeException e =
                    assertThrows(QuilldykeException.class, () -> mSpread.onReport(other, true));
            assertThat(e.code()).isEqualTo(ResultCode.REPORT_SERVICE);
        }

        assertThat(mSpread.reports()).isEqualTo(before);
        assertThat(mTold).isEmpty();
    }

    /** Its requests end well while it is leaving, though its service is no more. */
    @Test
    void knownTargetOutlivesItsServicesName() throws Exception {
        mSpread.onServices(Set.of("s"));
        mSpread.onReport(report(1, false), true);

        mSpread.onServices(Set.of("other"));
        mSpread.onReport(report(2, true), true);

        assertThat(mSpread.reports().get(0).leaving()).isTrue();
    }

    /** Targets that run no models say nothing of them, and engines always do. */
    @Test
    void engineThatSaysNothingOfItsWeightsIsNotBelieved() throws Exception {
        TargetReport engine = report(1, false).withWeights(Map.of("m", 3L));
        mSpread.onReport(engine, true);

        assertThrows(QuilldykeException.class, () -> mSpread.onReport(report(2, false), false));
        assertThat(mSpread.reports()).containsExactly(engine);
        mSpread.onReport(report(3, false), true);
        assertThat(mSpread.reports().get(0).weights()).isEmpty();
    }

    @Test
    void withoutAManifestAnyServiceMayHaveTargets() throws Exception {
        mSpread.onReport(report(1, false), true);

        assertThat(mSpread.reports()).hasSize(1);
    }

    /**
     * Before the first manifest nobody knows which services there are.
     *
     * <p>What users saw: a machine that had just started took a report of a service that is in no
     * manifest, under the id of an engine that serves. The order of events: the engine is known, by
     * its own report or another instance's; the machine hasn't applied the manifest yet; the other
     * writer's report comes with a higher sequence, or with the engine's address. The cause: as
     * long as no services are known, all were taken, whatever they displaced. The evidence: the
     * test of other writers met 200 instead of 400 at a control process that another one had
     * outrun.
     */
    @Test
    void withoutAManifestNoReportDisplacesAKnownTarget() throws Exception {
        mSpread.onReport(report(1, false), true);
        mTold.clear();

        for (String id : new String[] {"a", "b"}) {
            TargetReport other = report(id, "other", "1.1.1.1:1", 9000);
            QuilldykeException e =
                    assertThrows(QuilldykeException.class, () -> mSpread.onReport(other, true));
            assertThat(e.code()).isEqualTo(ResultCode.REPORT_SERVICE);
        }

        assertThat(mSpread.reports()).containsExactly(report(1, false));
        assertThat(mTold).isEmpty();
        mSpread.onReport(report(2, true), true);
        assertThat(mSpread.reports()).containsExactly(report(2, true));
    }

    /** An engine may start again, or another take its address, before there is a manifest. */
    @Test
    void withoutAManifestTargetsOfOneServiceFollowEachOther() throws Exception {
        mSpread.onReport(report("a#5", 50), true);
        mNow = 100;

        mSpread.onReport(report("a#7", 1), true);
        mNow = 200;
        mSpread.onReport(report("b", "s", "1.1.1.1:1", 1), true);

        assertThat(mSpread.reports()).containsExactly(report("b", "s", "1.1.1.1:1", 1));
    }

    @Test
    void withoutAManifestWhatIsOnlyRememberedGivesWay() throws Exception {
        restartWithMemoryOf(report(7, false));

        mNow = 100;
        mSpread.onReport(report("b", "other", "1.1.1.1:1", 1), true);

        assertThat(mSpread.reports()).containsExactly(report("b", "other", "1.1.1.1:1", 1));
    }

    /** An instance without a manifest hands on what it took; here the services are known. */
    @Test
    void whatAnotherInstanceTellsOfAnUnknownServiceDisplacesNobody() throws Exception {
        mSpread.onServices(Set.of("s"));
        mSpread.onReport(report(1, false), true);
        mTold.clear();
        mNow = 100;
        Targets news =
                Targets.newBuilder()
                        .addTargets(TargetFrames.encode(report("a", "other", "1.1.1.1:1", 9000), 0))
                        .addTargets(TargetFrames.encode(report("b", "other", "1.1.1.1:1", 9), 0))
                        .addTargets(TargetFrames.encode(report("c", "other", "1.1.1.3:1", 9), 0))
                        .build();

        mSpread.onTargets(news);

        assertThat(mSpread.reports())
                .containsExactly(report(1, false), report("c", "other", "1.1.1.3:1", 9));
        assertThat(mTold.stream().map(Target::getId).toList()).containsExactly("c");
    }

    @Test
    void badTargetOfAnotherInstanceCostsOnlyItself() throws Exception {
        Target good = TargetFrames.encode(report(1, false), 0);
        Targets.Builder news = Targets.newBuilder();
        news.addTargets(good.toBuilder().setId("b").setAddress("x"));
        news.addTargets(good.toBuilder().setId("").setAddress("1.1.1.2:1"));
        news.addTargets(good.toBuilder().setId("c").setSlots(-1));
        news.addTargets(good);

        mSpread.onTargets(news.build());

        assertThat(mTold).containsExactly(good);
        assertThat(mMetrics.counter("news-refused.instance.QR3012").getCount()).isEqualTo(1);
        assertThat(mMetrics.counter("news-refused.instance.QR3015").getCount()).isEqualTo(1);
        assertThat(mMetrics.counter("news-refused.instance.QR3011").getCount()).isEqualTo(1);
    }

    @Test
    void badTargetInMemoryCostsOnlyItself() throws Exception {
        mMemory.saveTargets(List.of(report("a", "s", "x", 1), report("b", "s", "1.1.1.2:1", 1)));
        awaitSaved();
        mMemory.close();
        start();

        assertThat(mSpread.reports().stream().map(TargetReport::key).toList()).containsExactly("b");
        assertThat(mMetrics.counter("news-refused.memory.QR3012").getCount()).isEqualTo(1);
    }

    @Test
    void whatAnotherProcessTellsOfAnEarlierIncarnationGoesNoFurther() throws Exception {
        mSpread.onReport(report("a#7", 1), true);
        mTold.clear();
        Targets late =
                Targets.newBuilder()
                        .addTargets(TargetFrames.encode(report("a#5", 50), 0))
                        .addTargets(TargetFrames.encode(report("a", 50), 0))
                        .build();

        mSpread.onTargets(late);

        assertThat(mTold).isEmpty();
        assertThat(mSpread.reports()).containsExactly(report("a#7", 1));
    }

    @Test
    void whatIsRememberedOfAnEarlierIncarnationIsNotOfTheLater() throws Exception {
        mSpread.onReport(report("a#5", 50), true);
        saveAndRestart();
        assertThat(mSpread.all().getTargetsList()).hasSize(1);

        mSpread.onReport(report("a#7", 1), true);

        assertThat(mSpread.reports()).containsExactly(report("a#7", 1));
        assertThat(mSpread.heard().getTargetsList()).hasSize(1);
    }
}
