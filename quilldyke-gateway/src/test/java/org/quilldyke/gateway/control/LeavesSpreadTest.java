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

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.quilldyke.engine.Departure;
import org.quilldyke.engine.Suspension;
import org.quilldyke.gateway.instance.TargetFrames;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.gateway.instance.proto.Target;
import org.quilldyke.gateway.instance.proto.Targets;

/** What a control process makes of the word that a target leaves, and tells others of it. */
class LeavesSpreadTest extends SpreadFixture {
    private static final double LEAVES_PER_SECOND = 4700 / 600.0;

    /** What an instance may spend for control in all. */
    private static final double CONTROL_BYTES_PER_SECOND = 9000;

    @Test
    void targetThatHasLeftIsNotRemembered() throws Exception {
        mSpread.onReport(report(7, false), true);
        mSpread.onLeave("a");
        saveAndRestart();

        assertThat(mSpread.reports()).isEmpty();
        List<Target> told = mSpread.all().getTargetsList();
        assertThat(told).hasSize(1);
        assertThat(told.get(0).getStanding()).isEqualTo(Target.Standing.GONE);
    }

    /**
     * A process that had started anew took a target that had left for a ready one.
     *
     * <p>What users saw: requests reached a target after its leave was acknowledged. The order of
     * events: it leaves; all processes end and start anew; a report that it made before comes late.
     * The cause: who has left was known in memory only. The evidence: see LeavingTargetTest.
     */
    @Test
    void whoHasLeftIsRemembered() throws Exception {
        mSpread.onReport(report("a#7", 7), true);
        mSpread.onLeave("a#7");
        mSpread.onReport(report("b", "s", "1.1.1.2:1", 3), true);
        mSpread.onReport(leaving("b", 9), true);
        mSpread.onReport(report("c#5", "s", "1.1.1.3:1", 3), true);
        mSpread.onReport(report("c#6", "s", "1.1.1.3:1", 1), true);
        mSpread.onLeave("c");
        saveAndRestart();

        mNow = 100;
        mSpread.onReport(report("a#7", 8), true);
        mSpread.onReport(report("b", "s", "1.1.1.2:1", 8), true);
        mSpread.onReport(report("c#6", "s", "1.1.1.3:1", 2), true);

        assertThat(mSpread.reports().stream().filter(known -> !known.leaving()).toList()).isEmpty();
        mSpread.onReport(report("b", "s", "1.1.1.2:1", 10), true);
        assertThat(mSpread.reports().stream().filter(known -> !known.leaving()).toList())
                .containsExactly(report("b", "s", "1.1.1.2:1", 10));
    }

    /** Entries hand on what they were told, also to a process that has lost its memory. */
    @Test
    void whatAnEntryKnowsOfADepartureIsTaken() throws Exception {
        mSpread.onTargets(
                Targets.newBuilder()
                        .addTargets(TargetFrames.encode(new Departure("a", 9, 0), 30))
                        .build());

        mSpread.onReport(report(8, false), true);

        assertThat(mSpread.reports()).isEmpty();
    }

    @Test
    void leaveWithoutABirthEndsWhatIsKnownAndNothingThatComesAfter() throws Exception {
        mSpread.onReport(report("a#5", 50), true);

        mSpread.onLeave("a");
        assertThat(mSpread.reports()).isEmpty();
        assertThat(mTold.get(1).getId()).isEqualTo("a#5");
        assertThat(mTold.get(1).getStanding()).isEqualTo(Target.Standing.GONE);
        mSpread.onReport(report("a#7", 1), true);
        mSpread.onTargets(
                Targets.newBuilder()
                        .addTargets(TargetFrames.encode("a#5", Target.Standing.GONE))
                        .addTargets(TargetFrames.encode("a", Target.Standing.GONE))
                        .build());
        mSpread.onLeave("a#5");

        assertThat(mSpread.reports()).containsExactly(report("a#7", 1));
    }

    /**
     * A process that knows no target of an id acknowledged its leave, and nothing changed anywhere.
     *
     * <p>What users saw: requests reached a target after its leave was acknowledged. The order of
     * events: a control process has just started; a target leaves there without telling its birth;
     * then others tell the process of the target. The cause: the others were told that the plain id
     * is gone, which ends no incarnation, and the process itself took the target as ready. The
     * evidence: QD3009 {@code target=a taken_for=a became=unknown} with no incarnation ready, and
     * the incarnation that was told 10 ms later was.
     */
    @Test
    void leaveOfATargetThatIsToldOfLaterHolds() throws Exception {
        mNow = 1000;
        mSpread.onLeave("a");
        Target suspended = mTold.get(1);
        mTold.clear();
        mNow = 1010;

        mSpread.onTargets(
                Targets.newBuilder()
                        .addTargets(TargetFrames.encode(report("a#7", 5), 400))
                        .build());

        assertThat(mSpread.reports().get(0).leaving()).isTrue();
        assertThat(mTold.get(0).getLeaving()).isTrue();
        assertThat(suspended.getStanding()).isEqualTo(Target.Standing.SUSPENDED);
        assertThat(mSpread.all().getTargetsList().stream().map(Target::getStanding).toList())
                .contains(Target.Standing.SUSPENDED);
    }

    @Test
    void entriesAreToldThatATargetThatLapsedHasLeft() throws Exception {
        mSpread.onReport(report(11, true), true);
        mTold.clear();
        for (mNow = 0; mNow <= 4000; mNow += 50) {
            mSpread.tick(true);
        }

        List<Target.Standing> told = mTold.stream().map(Target::getStanding).toList();
        assertThat(told).containsExactly(Target.Standing.LAPSED, Target.Standing.GONE).inOrder();
        assertThat(mTold.get(1).getSequence()).isEqualTo(11);
        mSpread.onReport(report(10, false), true);
        assertThat(mSpread.reports()).isEmpty();
    }

    /**
     * A process that ended right after it had acknowledged a leave took the word along.
     *
     * <p>What users saw: requests reached a target after its leave was acknowledged. The order of
     * events: a control process takes a leave, acknowledges it, and ends before the others have
     * heard of it. The cause: the acknowledgement waited for nobody. The evidence: a process whose
     * peers had all ended acknowledged a leave, see LeavingTargetTest.
     */
    @Test
    void leaveIsAcknowledgedOnceOthersHaveTakenIt() throws Exception {
        mSpread.onReport(report(1, false), true);
        mToldPeers.clear();

        CompletableFuture<Boolean> acknowledged = mSpread.onLeave("a");

        long number = mToldPeers.get(0).getNumber();
        mDeliveries.onTaken("peer-1", number);
        mDeliveries.onTaken("peer-1", number);
        assertThat(acknowledged.isDone()).isFalse();
        mDeliveries.onTaken("peer-2", number);
        assertThat(acknowledged.get()).isTrue();
    }

    @Test
    void leaveThatOthersDoNotTakeIsNotAcknowledged() throws Exception {
        CompletableFuture<Boolean> first = mSpread.onLeave("a");
        mNow = Deliveries.TIMEOUT_MILLIS;
        mSpread.tick(true);
        assertThat(first.isDone()).isFalse();
        mNow++;
        mSpread.tick(true);
        assertThat(first.get()).isFalse();
        mToldPeers.clear();

        CompletableFuture<Boolean> second = mSpread.onLeave("a");
        take(mToldPeers.get(0));

        assertThat(second.get()).isTrue();
    }

    @Test
    void drainingIsDeliveredOnceAndAnewAfterAReadyReport() throws Exception {
        assertThat(mSpread.onReport(report(1, false), true).get()).isTrue();
        CompletableFuture<Boolean> draining = mSpread.onReport(report(2, true), true);
        assertThat(draining.isDone()).isFalse();
        take(mToldPeers.get(mToldPeers.size() - 1));
        assertThat(draining.get()).isTrue();
        assertThat(mSpread.onReport(report(3, true), true).get()).isTrue();

        mSpread.onReport(report(4, false), true);

        assertThat(mSpread.onReport(report(5, true), true).isDone()).isFalse();
    }

    /** Whoever told it may end before it has told the others. */
    @Test
    void leaveThatAnotherProcessTellsGoesOnToAllOnce() throws Exception {
        mSpread.onReport(report("b", "s", "1.1.1.2:1", 3), true);
        mToldPeers.clear();
        Target gone = TargetFrames.encode(new Departure("a", Departure.ALL_REPORTS, 0), 0);
        Targets news =
                Targets.newBuilder()
                        .addTargets(gone)
                        .addTargets(TargetFrames.encode(leaving("b", 9), 0))
                        .addTargets(TargetFrames.encode(new Suspension("c", 0, false), 0))
                        .addTargets(TargetFrames.encode(report("d", "s", "1.1.1.3:1", 9), 0))
                        .build();

        mSpread.onTargets(news);
        mSpread.onTargets(news);

        assertThat(mToldPeers).hasSize(1);
        assertThat(mToldPeers.get(0).getTargetsList().stream().map(Target::getId).toList())
                .containsExactly("a", "b", "c");
    }

    /**
     * Of eight control processes each hears of a leave once from the one that took it, and once
     * from each other; 4,700 targets that are all replaced within 10 minutes make 8 leaves a
     * second.
     */
    @Test
    void leavesOfALargeFleetCostAProcessLittle() throws Exception {
        mSpread.onReport(report("i-0123456789abcdef#1780000000000", 5), true);
        mToldPeers.clear();

        mSpread.onLeave("i-0123456789abcdef#1780000000000");

        assertThat(mToldPeers).hasSize(1);
        Targets told = mToldPeers.get(0);
        int frame =
                PeerFrame.newBuilder()
                        .setAddress("10.128.3.23:21418")
                        .setTargets(told)
                        .build()
                        .getSerializedSize();
        int answer =
                Deliveries.taken(told.getNumber())
                        .setAddress("10.128.3.23:21418")
                        .build()
                        .getSerializedSize();
        double heard = LEAVES_PER_SECOND * (7 * frame + answer);
        System.out.printf(
                "a leave: frame %d B, answer %d B; heard by a process of eight: %.0f B/s%n",
                frame, answer, heard);
        assertThat(heard).isLessThan(CONTROL_BYTES_PER_SECOND);
    }

    /** Two processes that told each other kept a departure for good. */
    @Test
    void departureIsToldWithItsAge() throws Exception {
        mSpread.onReport(report("a#7", 5), true);
        mSpread.onLeave("a#7");
        mNow = 70_000;
        mSpread.onTargets(mSpread.heard());
        mNow = 119_000;
        Target told = mSpread.heard().getTargets(0);
        assertThat(told.getStanding()).isEqualTo(Target.Standing.GONE);
        assertThat(told.getAgeMs()).isEqualTo(119_000);

        for (mNow = 119_050; mNow <= 125_000; mNow += 50) {
            mSpread.tick(true);
        }

        assertThat(mSpread.heard().getTargetsList()).isEmpty();
    }

    /** The other way round: the process that is told of the leave knows the target. */
    @Test
    void leaveThatAnotherProcessCouldNotPlaceHoldsHere() throws Exception {
        mSpread.onReport(report("a#7", 5), true);
        mTold.clear();
        Target suspended = TargetFrames.encode(new Suspension("a", 0, false), 0);

        mSpread.onTargets(Targets.newBuilder().addTargets(suspended).build());

        assertThat(mSpread.reports().get(0).leaving()).isTrue();
        assertThat(mTold).containsExactly(suspended);
        mSpread.onReport(report("a#7", 6), true);
        assertThat(mSpread.reports().get(0).leaving()).isTrue();
    }
}
