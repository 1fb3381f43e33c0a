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
package org.quilldyke.engine;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TargetRegistryTest {
    private final TargetRegistry mRegistry = TargetRegistry.create();

    @Test
    void reportWithLowerSequenceIsIgnored() {
        assertThat(mRegistry.onReport(report("a", "1:1", 5, true), 100)).isTrue();

        assertThat(mRegistry.onReport(report("a", "1:1", 4, false), 200)).isFalse();

        assertThat(mRegistry.report("a").get().leaving()).isTrue();
        assertThat(mRegistry.lastSeenAt("a")).isEqualTo(200);
    }

    @Test
    void equivalentReportIsNoChange() {
        mRegistry.onReport(report("a", "1:1", 1, false), 0);

        assertThat(mRegistry.onReport(report("a", "1:1", 2, false), 10)).isFalse();
        assertThat(mRegistry.onReport(report("a", "1:1", 3, true), 20)).isTrue();
    }

    @Test
    void lateReportDoesNotRestoreDepartedTarget() {
        mRegistry.onReport(report("a", "1:1", 1, false), 0);

        assertThat(mRegistry.onPermanentDeparture("a", 10)).isTrue();
        assertThat(mRegistry.onPermanentDeparture("a", 11)).isFalse();

        assertThat(mRegistry.onReport(report("a", "1:1", 9, false), 20)).isFalse();
        assertThat(mRegistry.reports()).isEmpty();
        assertThat(mRegistry.departures()).containsExactly(Departure.permanent("a", 10));
    }

    /**
     * What is kept of targets that have left grew with each that left, at all instances and for
     * good.
     *
     * <p>What users would see: tables that grow by each target that was ever replaced, told anew
     * every 5 s. The cause: each telling counted as the time of the departure, so that two
     * processes kept it alive between them. The evidence: this test on the code before.
     */
    @Test
    void repeatedDepartureDoesNotExtendRetention() {
        mRegistry.onPermanentDeparture("a", 0);
        long repeatedAt = TargetRegistry.TOMBSTONE_RETENTION_MILLIS / 2;

        assertThat(mRegistry.onDeparture(Departure.permanent("a", repeatedAt))).isFalse();

        mRegistry.expireTombstones(TargetRegistry.TOMBSTONE_RETENTION_MILLIS);
        assertThat(mRegistry.departures()).hasSize(1);
        mRegistry.expireTombstones(TargetRegistry.TOMBSTONE_RETENTION_MILLIS + 1);
        assertThat(mRegistry.departures()).isEmpty();
    }

    @Test
    void silentTargetLapsesAndReturnsWithNextReport() {
        mRegistry.onReport(report("a", "1:1", 1, false), 0);
        mRegistry.onReport(report("b", "1:2", 1, false), 0);
        mRegistry.onAlive("b", 900);

        assertThat(ids(mRegistry.lapse(500, 1000))).containsExactly("a");
        assertThat(mRegistry.onReport(report("a", "1:1", 2, false), 1100)).isTrue();
    }

    @Test
    void addressBelongsToLatestReporter() {
        mRegistry.onReport(report("a", "1:1", 50, false), 0);

        mRegistry.onReport(report("b", "1:1", 1, false), 10);

        assertThat(ids(mRegistry.reports())).containsExactly("b");
        assertThat(mRegistry.takeDisplaced()).containsExactly("a");
        assertThat(mRegistry.takeDisplaced()).isEmpty();
    }

    /** A report was held up by a cut until its sender had crashed and started again. */
    @Test
    void lateReportOfDisplacedTargetIsIgnored() {
        mRegistry.onReport(report("a", "1:1", 50, false), 0);
        mRegistry.onReport(report("b", "1:1", 1, false), 10);

        assertThat(mRegistry.onReport(report("a", "1:1", 51, false), 20)).isFalse();
        assertThat(ids(mRegistry.reports())).containsExactly("b");

        mRegistry.onAlive("b", 1200);
        assertThat(mRegistry.onReport(report("a", "1:1", 52, false), 1300)).isFalse();
        assertThat(ids(mRegistry.reports())).containsExactly("b");
    }

    @Test
    void lateReportOfLapsedTargetIsIgnoredAfterAddressReuse() {
        mRegistry.onReport(report("a", "1:1", 50, false), 0);
        mRegistry.lapse(500, 1000);
        mRegistry.onReport(report("b", "1:1", 1, false), 1100);

        assertThat(mRegistry.onReport(report("a", "1:1", 51, false), 1200)).isFalse();
        assertThat(ids(mRegistry.reports())).containsExactly("b");
    }

    /**
     * What seems a new incarnation may be the late report of one that this instance didn't know.
     */
    @Test
    void displacedTargetReturnsWhileAddressHolderIsSilent() {
        mRegistry.onReport(report("b", "1:1", 7, false), 0);
        mRegistry.onReport(report("a", "1:1", 50, false), 10);
        assertThat(ids(mRegistry.reports())).containsExactly("a");

        assertThat(mRegistry.onReport(report("b", "1:1", 8, false), 1200)).isFalse();
        assertThat(mRegistry.onReport(report("b", "1:1", 9, false), 2400)).isTrue();
        assertThat(ids(mRegistry.reports())).containsExactly("b");
    }

    /** An entry hears of a target only once what the control processes make of its reports. */
    @Test
    void followerAcceptsReportsOfDisplacedTargets() {
        TargetRegistry follower = TargetRegistry.createFollower();
        follower.onReport(report("b", "1:1", 7, false), 0);
        follower.onReport(report("a", "1:1", 50, false), 10);

        assertThat(follower.onReport(report("b", "1:1", 8, false), 20)).isTrue();
        assertThat(ids(follower.reports())).containsExactly("b");
    }

    @Test
    void observedWeightsOverrideReportedOnes() {
        mRegistry.onReport(report("a", "1:1", 1, false), 0);

        mRegistry.onWeights("a", "m", 3);
        mRegistry.onWeights("a", "m", 2);

        assertThat(mRegistry.report("a").get().weights()).containsExactly("m", 3L);
    }

    /** Its counts start anew, and it may stand elsewhere. */
    @Test
    void laterIncarnationSupersedesEarlierAtOnce() {
        mRegistry.onReport(report("a#5", "1:1", 50, false), 100);

        assertThat(mRegistry.onReport(report("a#7", "1:2", 1, false), 100)).isTrue();

        assertThat(ids(mRegistry.reports())).containsExactly("a#7");
        assertThat(mRegistry.takeSuperseded()).containsExactly("a#5");
        assertThat(mRegistry.takeSuperseded()).isEmpty();
    }

    @Test
    void lateMessagesOfEarlierIncarnationAreIgnored() {
        mRegistry.onReport(report("a#7", "1:1", 1, false), 100);

        assertThat(mRegistry.onReport(report("a#5", "1:1", 50, false), 200)).isFalse();
        assertThat(mRegistry.onReport(report("a#5", "1:2", 51, false), 300)).isFalse();
        assertThat(mRegistry.onReport(report("a", "1:2", 52, false), 300)).isFalse();
        mRegistry.onAlive("a#5", 400);
        mRegistry.onWeights("a#5", "m", 9);
        mRegistry.onLapsed("a#5");
        mRegistry.onPermanentDeparture("a#5", 500);

        assertThat(ids(mRegistry.reports())).containsExactly("a#7");
        assertThat(mRegistry.lastSeenAt("a#7")).isEqualTo(100);
        assertThat(mRegistry.report("a#7").get().weights()).doesNotContainEntry("m", 9L);
        assertThat(mRegistry.takeSuperseded()).isEmpty();
    }

    @Test
    void earlierIncarnationStaysSupersededAfterLaterLapsesOrDeparts() {
        mRegistry.onReport(report("a#7", "1:1", 1, false), 0);
        mRegistry.lapse(500, 1000);
        assertThat(mRegistry.onReport(report("a#5", "1:1", 50, false), 1000)).isFalse();

        mRegistry.onPermanentDeparture("a#7", 1100);
        long later = 1100 + 2 * TargetRegistry.TOMBSTONE_RETENTION_MILLIS;
        mRegistry.lapse(500, later);
        assertThat(mRegistry.onReport(report("a#5", "1:1", 51, false), later)).isFalse();
        assertThat(mRegistry.reports()).isEmpty();
    }

    /** Other processes tell of the end only, or remember what was before. */
    @Test
    void departureOfLaterIncarnationSupersedesEarlier() {
        TargetRegistry follower = TargetRegistry.createFollower();
        follower.onReport(report("a#5", "1:1", 50, false), 0);

        follower.onPermanentDeparture("a#7", 10);

        assertThat(follower.reports()).isEmpty();
        assertThat(follower.takeSuperseded()).containsExactly("a#5");
        assertThat(follower.onReport(report("a#5", "1:1", 9, false).asRestored(), 20)).isFalse();
    }

    @Test
    void laterIncarnationSupersedesRestoredOne() {
        mRegistry.onReport(report("a#5", "1:1", 50, false).asRestored(), 0);

        mRegistry.onReport(report("a#7", "1:1", 1, false), 10);

        assertThat(ids(mRegistry.reports())).containsExactly("a#7");
        assertThat(mRegistry.takeSuperseded()).containsExactly("a#5");
    }

    /**
     * Whoever answers still, though its reports have ended, ends with the word of its successor.
     */
    @Test
    void lapsedIncarnationIsSupersededToo() {
        TargetRegistry follower = TargetRegistry.createFollower();
        follower.onReport(report("a#5", "1:1", 50, false), 0);
        follower.onLapsed("a#5");

        follower.onReport(report("a#7", "1:1", 1, false), 10);

        assertThat(follower.takeSuperseded()).containsExactly("a#5");
    }

    @Test
    void leaveWithoutStartAppliesToLatestKnownIncarnation() {
        mRegistry.onReport(report("a#5", "1:1", 50, false), 0);
        assertThat(mRegistry.onLeave("a#4", 0).target()).isEqualTo("a#4");
        assertThat(ids(mRegistry.reports())).containsExactly("a#5");

        LeaveOutcome outcome = mRegistry.onLeave("a", 10);

        assertOutcome(outcome, "a#5", LeaveOutcome.Result.ENDED, true);
        assertThat(mRegistry.reports()).isEmpty();
        assertThat(mRegistry.onReport(report("a#5", "1:1", 51, false), 20)).isFalse();
        assertThat(mRegistry.onReport(report("a#7", "1:1", 1, false), 20)).isTrue();
        mRegistry.onPermanentDeparture("a", 30);

        assertThat(ids(mRegistry.reports())).containsExactly("a#7");
        assertThat(mRegistry.reports().get(0).leaving()).isFalse();
    }

    @Test
    void leaveWithoutStartOfUnknownTargetAppliesToPlainId() {
        LeaveOutcome outcome = mRegistry.onLeave("a", 0);

        assertOutcome(outcome, "a", LeaveOutcome.Result.UNPLACED, true);
        // The same word again, since nobody acknowledged the first.
        assertOutcome(mRegistry.onLeave("a", 700), "a", LeaveOutcome.Result.UNPLACED, false);
        assertThat(mRegistry.onReport(report("a", "1:1", 9, false), 10)).isFalse();
    }

    /** A process that has just started is told of the targets after the leave has come. */
    @Test
    void leaveWithoutStartSuspendsIncarnationLearnedLater() {
        mRegistry.onLeave("a", 1000);

        mRegistry.onReport(report("a#5", "1:1", 40, false), 300);
        mRegistry.onReport(report("a#7", "1:1", 5, false), 900);
        mRegistry.onReport(report("a#7", "1:1", 6, false), 1100);

        assertThat(ids(mRegistry.reports())).containsExactly("a#7");
        assertThat(mRegistry.reports().get(0).leaving()).isTrue();
        mRegistry.onReport(report("a#9", "1:1", 1, false), 5000);
        assertThat(mRegistry.reports().get(0).leaving()).isFalse();
    }

    /** Another process didn't know any incarnation of the id when the leave came. */
    @Test
    void suspensionOfPlainIdAppliesToLatestIncarnation() {
        mRegistry.onReport(report("a#7", "1:1", 5, false), 100);

        assertThat(mRegistry.onSuspension(new Suspension("a", 200, false))).isTrue();

        assertThat(mRegistry.reports().get(0).leaving()).isTrue();
        assertThat(mRegistry.suspensions()).containsExactly(new Suspension("a#7", 200, false));
    }

    /** Who is gone never comes back: a living engine would be lost for good. */
    @Test
    void lateLeaveWithoutStartDoesNotRemoveSuccessor() {
        mRegistry.onReport(report("a#5", "1:1", 50, false), 0);
        mRegistry.onReport(report("a#7", "1:1", 1, false), 100);
        long leaveAt = 100 + Suspension.MAX_MESSAGE_DELAY_MILLIS - 1;

        LeaveOutcome outcome = mRegistry.onLeave("a", leaveAt);

        assertOutcome(outcome, "a#7", LeaveOutcome.Result.SUSPENDED, true);
        assertThat(ids(mRegistry.reports())).containsExactly("a#7");
        long afterSuspension = leaveAt + Suspension.MAX_MESSAGE_DELAY_MILLIS + 1;
        assertThat(mRegistry.onReport(report("a#7", "1:1", 9, false), afterSuspension)).isTrue();
        assertThat(mRegistry.reports().get(0).leaving()).isFalse();

        assertThat(mRegistry.onLeave("a", afterSuspension).result())
                .isEqualTo(LeaveOutcome.Result.ENDED);
        assertThat(mRegistry.reports()).isEmpty();
    }

    /**
     * A young target's own leave was taken for its predecessor's, and changed nothing.
     *
     * <p>What users saw: requests reached a target, and ran there, more than the drain time after
     * its leave was acknowledged, until it had lapsed. The order of events: a target starts again
     * under its id; within 10 s it leaves without telling its birth, reports no more and serves on.
     * The cause: such a leave was taken for the late word of the predecessor, which is gone anyway,
     * and acknowledged. The evidence: see LeavingTargetTest.
     */
    @Test
    void ambiguousLeaveSuspendsTarget() {
        mRegistry.onReport(report("a#5", "1:1", 50, false), 0);
        mRegistry.onReport(report("a#7", "1:1", 5, false), 100);

        mRegistry.onLeave("a", 4000);

        assertThat(mRegistry.reports().get(0).leaving()).isTrue();
        // Made before the leave, and heard after it.
        mRegistry.onReport(
                report("a#7", "1:1", 6, false), 4000 + Suspension.MAX_MESSAGE_DELAY_MILLIS);
        assertThat(mRegistry.reports().get(0).leaving()).isTrue();
    }

    /**
     * A process that doesn't know of the predecessor ended a target that another one had suspended.
     *
     * <p>What callers would see: a target that lives gets no request any more. The order of events:
     * a late leave of its predecessor suspends it; the acknowledgement is lost, and the leave comes
     * again to a process that knows the target only. The cause: there it was taken for the target's
     * own. The evidence: this test on the code before; found by reading.
     */
    @Test
    void repeatedLeaveDoesNotRemoveSuspendedTarget() {
        mRegistry.onReport(report("a#7", "1:1", 5, false), 100);
        mRegistry.onSuspension(new Suspension("a#7", 200, false));

        assertOutcome(mRegistry.onLeave("a", 1300), "a#7", LeaveOutcome.Result.SUSPENDED, true);

        long afterSuspension = 1300 + Suspension.MAX_MESSAGE_DELAY_MILLIS + 1;
        assertThat(mRegistry.onReport(report("a#7", "1:1", 16, false), afterSuspension)).isTrue();
        assertThat(mRegistry.reports().get(0).leaving()).isFalse();
    }

    @Test
    void lateReportDoesNotLiftSuspensionOfLapsedTarget() {
        mRegistry.onReport(report("a#5", "1:1", 50, false), 0);
        mRegistry.onReport(report("a#7", "1:1", 5, false), 100);
        mRegistry.onLeave("a", 200);
        mRegistry.lapse(500, 5000);

        mRegistry.onReport(report("a#7", "1:1", 6, false), 5100);

        assertThat(mRegistry.reports().get(0).leaving()).isTrue();
    }

    @Test
    void suspensionDoesNotApplyToLaterIncarnation() {
        mRegistry.onReport(report("a#5", "1:1", 50, false), 0);
        mRegistry.onReport(report("a#7", "1:1", 5, false), 100);
        mRegistry.onLeave("a", 200);

        mRegistry.onReport(report("a#9", "1:1", 1, false), 3000);

        assertThat(ids(mRegistry.reports())).containsExactly("a#9");
        assertThat(mRegistry.reports().get(0).leaving()).isFalse();
    }

    /** An entry may have heard the last report before the suspension, or after it. */
    @Test
    void followerMarksSuspendedTargetAsLeaving() {
        TargetRegistry follower = TargetRegistry.createFollower();
        follower.onReport(report("a#7", "1:1", 5, false), 100);

        assertThat(follower.onSuspension(new Suspension("a#7", 200, false))).isTrue();
        assertThat(follower.onSuspension(new Suspension("a#7", 210, false))).isFalse();

        assertThat(follower.reports().get(0).leaving()).isTrue();
        assertThat(follower.onReport(report("a#7", "1:1", 6, false), 300)).isFalse();
        assertThat(follower.reports().get(0).leaving()).isTrue();
    }

    /**
     * A target that had said that it leaves was ready again.
     *
     * <p>What users saw: requests reached a target after its leaving was acknowledged. The order of
     * events: it says that it leaves, reports no more and lapses; a report from before, held up on
     * its way, comes after that. The cause: of a target that lapses only its address was kept, so
     * that the late report was that of a new target. The evidence: see LeavingTargetTest.
     */
    @Test
    void lateReportDoesNotRestoreLapsedLeavingTarget() {
        mRegistry.onReport(report("a", "1:1", 11, true), 0);
        assertThat(ids(mRegistry.lapse(500, 1000))).containsExactly("a");

        assertThat(mRegistry.onReport(report("a", "1:1", 10, false), 1100)).isFalse();
        assertThat(mRegistry.onReport(report("a", "1:1", 11, true), 1100)).isFalse();

        assertThat(mRegistry.reports()).isEmpty();
        assertThat(mRegistry.departures()).containsExactly(new Departure("a", 11, 1000));
    }

    /**
     * A report that its sender leaves was dropped, and acknowledged.
     *
     * <p>What users saw: requests reached a target after its leaving was acknowledged, as long as
     * it answered. The order of events: another target claims its address; its own reports are
     * dropped as late ones of a target that has ended; it says that it leaves. The cause: that was
     * dropped as well, and entries keep a target that still answers. The evidence: see
     * LeavingTargetTest.
     */
    @Test
    void displacedTargetDepartsWhenItReportsLeaving() {
        mRegistry.onReport(report("a", "1:1", 50, false), 0);
        mRegistry.onReport(report("b", "1:1", 1, false), 10);

        mRegistry.onReport(report("a", "1:1", 51, true), 20);

        assertThat(mRegistry.takeInferredDepartures()).containsExactly(new Departure("a", 51, 20));
        assertThat(mRegistry.takeInferredDepartures()).isEmpty();
        assertThat(ids(mRegistry.reports())).containsExactly("b");
    }

    /** It was out of reach for a while, or has changed its mind. */
    @Test
    void newerReportRestoresLapsedLeavingTarget() {
        mRegistry.onReport(report("a", "1:1", 11, true), 0);
        mRegistry.lapse(500, 1000);

        assertThat(mRegistry.onReport(report("a", "1:1", 12, true), 1100)).isTrue();

        assertThat(mRegistry.reports().get(0).leaving()).isTrue();
    }

    /** Another process, which heard the target on, is told that it has lapsed elsewhere. */
    @Test
    void departureDoesNotRemoveTargetWithLaterReport() {
        mRegistry.onReport(report("a", "1:1", 15, true), 0);

        mRegistry.onDeparture(new Departure("a", 11, 10));

        assertThat(ids(mRegistry.reports())).containsExactly("a");
        assertThat(mRegistry.onDeparture(Departure.permanent("a", 20))).isTrue();
        assertThat(mRegistry.reports()).isEmpty();
    }

    /** What another process has suspended is told with the sequence that is known already. */
    @Test
    void leavingReportWinsAtEqualSequence() {
        mRegistry.onReport(report("a", "1:1", 5, false), 0);

        assertThat(mRegistry.onReport(report("a", "1:1", 5, true), 10)).isTrue();
        assertThat(mRegistry.onReport(report("a", "1:1", 5, false), 20)).isFalse();

        assertThat(mRegistry.reports().get(0).leaving()).isTrue();
    }

    /**
     * The leave of a target whose reports are late was taken for that of its predecessor.
     *
     * <p>What a soak saw (LeaveSoakTest, seed 45, twice): 27 and 22 requests reached a target more
     * than the drain time after its leave was acknowledged. The order of events: its predecessor is
     * silent, but for a late report; it starts, leaves without telling its birth before any report
     * of it has arrived, and serves on; 4 s later its first report comes. The cause: the leave
     * suspended the predecessor, and who is heard of later was taken for one that started after it.
     * The evidence: QD3009 {@code taken_for} the predecessor, {@code became=suspended}, then QD3001
     * of the target, ready. That a late report made the predecessor seem to live, in the second
     * run, is inferred: no line tells of one.
     */
    @Test
    void leaveAlsoSuspendsSuccessorWhoseReportsAreLate() {
        mRegistry.onReport(report("a#5", "1:1", 50, false), 0);
        mRegistry.onReport(report("a#7", "1:1", 5, true), 100);
        // Made before the one that it drains.
        mRegistry.onReport(report("a#7", "1:1", 4, false), 3000);
        mRegistry.onLeave("a", 4400);

        mRegistry.onReport(report("a#9", "1:1", 1, false), 8500);

        assertThat(ids(mRegistry.reports())).containsExactly("a#9");
        assertThat(mRegistry.reports().get(0).leaving()).isTrue();
        mRegistry.onReport(report("a#11", "1:1", 1, false), 9000);
        assertThat(mRegistry.reports().get(0).leaving()).isFalse();
    }

    /** The predecessor has lapsed or is gone; its own leave may also have come again. */
    @Test
    void leaveAfterDepartureSuspendsNextIncarnation() {
        mRegistry.onReport(report("a#5", "1:1", 50, false), 0);
        mRegistry.onLeave("a#5", 100);

        assertOutcome(mRegistry.onLeave("a", 5000), "a#5", LeaveOutcome.Result.KNOWN, true);

        mRegistry.onReport(report("a#7", "1:1", 1, false), 9000);
        assertThat(mRegistry.reports().get(0).leaving()).isTrue();
        long afterSuspension = 5000 + Suspension.MAX_MESSAGE_DELAY_MILLIS + 1;
        mRegistry.onReport(report("a#7", "1:1", 6, false), afterSuspension);
        assertThat(mRegistry.reports().get(0).leaving()).isFalse();
    }

    @Test
    void followerSuspendsSuccessorToo() {
        TargetRegistry follower = TargetRegistry.createFollower();
        follower.onReport(report("a#7", "1:1", 5, false), 100);
        follower.onSuspension(new Suspension("a#7", 5000, true));

        follower.onReport(report("a#9", "1:1", 1, false), 8000);

        assertThat(follower.reports().get(0).leaving()).isTrue();
        assertThat(follower.suspensions()).containsExactly(new Suspension("a#9", 5000, false));
    }

    private static void assertOutcome(
            LeaveOutcome outcome,
            String target,
            LeaveOutcome.Result result,
            boolean needsPropagation) {
        assertThat(outcome.target()).isEqualTo(target);
        assertThat(outcome.result()).isEqualTo(result);
        assertThat(outcome.needsPropagation()).isEqualTo(needsPropagation);
    }

    private static List<String> ids(List<TargetReport> reports) {
        return reports.stream().map(TargetReport::id).toList();
    }

    private static TargetReport report(String id, String address, long sequence, boolean leaving) {
        return new TargetReport(
                id, "s", address, "z", "v1", 4, leaving, 0, Map.of("m", 1L), sequence);
    }
}
