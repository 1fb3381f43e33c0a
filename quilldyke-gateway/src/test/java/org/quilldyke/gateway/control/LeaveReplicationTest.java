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
class LeaveReplicationTest extends TargetReplicationFixture {
    private static final double LEAVES_PER_SECOND = 4700 / 600.0;

    /** What an instance may spend for control in all. */
    private static final double MAX_CONTROL_BYTES_PER_SECOND = 9000;

    @Test
    void departedTargetIsNotRestored() throws Exception {
        mReplication.onReport(report(7, false), true);
        mReplication.onLeave("a");
        saveAndRestart();

        assertThat(mReplication.reports()).isEmpty();
        List<Target> snapshot = mReplication.snapshot().getTargetsList();
        assertThat(snapshot).hasSize(1);
        assertThat(snapshot.get(0).getStanding()).isEqualTo(Target.Standing.GONE);
    }

    /**
     * A process that had started anew took a target that had left for a ready one.
     *
     * <p>What users saw: requests reached a target after its leave was acknowledged. The order of
     * events: it leaves; all processes end and start anew; a report that it made before comes late.
     * The cause: who has left was known in memory only. The evidence: see LeavingTargetTest.
     */
    @Test
    void departuresSurviveARestart() throws Exception {
        mReplication.onReport(report("a#7", 7), true);
        mReplication.onLeave("a#7");
        mReplication.onReport(report("b", "s", "1.1.1.2:1", 3), true);
        mReplication.onReport(leaving("b", 9), true);
        mReplication.onReport(report("c#5", "s", "1.1.1.3:1", 3), true);
        mReplication.onReport(report("c#6", "s", "1.1.1.3:1", 1), true);
        mReplication.onLeave("c");
        saveAndRestart();

        mNow = 100;
        mReplication.onReport(report("a#7", 8), true);
        mReplication.onReport(report("b", "s", "1.1.1.2:1", 8), true);
        mReplication.onReport(report("c#6", "s", "1.1.1.3:1", 2), true);

        assertThat(mReplication.reports().stream().filter(known -> !known.leaving()).toList())
                .isEmpty();
        mReplication.onReport(report("b", "s", "1.1.1.2:1", 10), true);
        assertThat(mReplication.reports().stream().filter(known -> !known.leaving()).toList())
                .containsExactly(report("b", "s", "1.1.1.2:1", 10));
    }

    /** Entries hand on what they were told, also to a process that has lost its memory. */
    @Test
    void departureKnownToAnEntryIsApplied() throws Exception {
        mReplication.onTargets(
                Targets.newBuilder()
                        .addTargets(TargetFrames.encode(new Departure("a", 9, 0), 30))
                        .build());

        mReplication.onReport(report(8, false), true);

        assertThat(mReplication.reports()).isEmpty();
    }

    @Test
    void leaveWithoutStartTimeAppliesToKnownIncarnationsOnly() throws Exception {
        mReplication.onReport(report("a#5", 50), true);

        mReplication.onLeave("a");
        assertThat(mReplication.reports()).isEmpty();
        assertThat(mSentToEntries.get(1).getId()).isEqualTo("a#5");
        assertThat(mSentToEntries.get(1).getStanding()).isEqualTo(Target.Standing.GONE);
        mReplication.onReport(report("a#7", 1), true);
        mReplication.onTargets(
                Targets.newBuilder()
                        .addTargets(TargetFrames.encode("a#5", Target.Standing.GONE))
                        .addTargets(TargetFrames.encode("a", Target.Standing.GONE))
                        .build());
        mReplication.onLeave("a#5");

        assertThat(mReplication.reports()).containsExactly(report("a#7", 1));
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
    void leaveAppliesToATargetReportedLater() throws Exception {
        mNow = 1000;
        mReplication.onLeave("a");
        Target suspended = mSentToEntries.get(1);
        mSentToEntries.clear();
        mNow = 1010;

        mReplication.onTargets(
                Targets.newBuilder()
                        .addTargets(TargetFrames.encode(report("a#7", 5), 400))
                        .build());

        assertThat(mReplication.reports().get(0).leaving()).isTrue();
        assertThat(mSentToEntries.get(0).getLeaving()).isTrue();
        assertThat(suspended.getStanding()).isEqualTo(Target.Standing.SUSPENDED);
        assertThat(
                        mReplication.snapshot().getTargetsList().stream()
                                .map(Target::getStanding)
                                .toList())
                .contains(Target.Standing.SUSPENDED);
    }

    @Test
    void entriesAreNotifiedThatALapsedTargetHasLeft() throws Exception {
        mReplication.onReport(report(11, true), true);
        mSentToEntries.clear();
        for (mNow = 0; mNow <= 4000; mNow += 50) {
            mReplication.tick(true);
        }

        List<Target.Standing> standings = mSentToEntries.stream().map(Target::getStanding).toList();
        assertThat(standings)
                .containsExactly(Target.Standing.LAPSED, Target.Standing.GONE)
                .inOrder();
        assertThat(mSentToEntries.get(1).getSequence()).isEqualTo(11);
        mReplication.onReport(report(10, false), true);
        assertThat(mReplication.reports()).isEmpty();
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
    void leaveIsAcknowledgedOnceEnoughPeersHaveStoredIt() throws Exception {
        mReplication.onReport(report(1, false), true);
        mSentToPeers.clear();

        CompletableFuture<Boolean> acknowledged = mReplication.onLeave("a");

        long number = mSentToPeers.get(0).getNumber();
        mBroadcasts.onAck("peer-1", number);
        mBroadcasts.onAck("peer-1", number);
        assertThat(acknowledged.isDone()).isFalse();
        mBroadcasts.onAck("peer-2", number);
        assertThat(acknowledged.get()).isTrue();
    }

    @Test
    void leaveWithoutPeerAcknowledgementsIsNotAcknowledged() throws Exception {
        CompletableFuture<Boolean> first = mReplication.onLeave("a");
        mNow = AckedBroadcasts.TIMEOUT_MILLIS;
        mReplication.tick(true);
        assertThat(first.isDone()).isFalse();
        mNow++;
        mReplication.tick(true);
        assertThat(first.get()).isFalse();
        mSentToPeers.clear();

        CompletableFuture<Boolean> second = mReplication.onLeave("a");
        acknowledge(mSentToPeers.get(0));

        assertThat(second.get()).isTrue();
    }

    @Test
    void drainingIsBroadcastOnceAndAgainAfterAReadyReport() throws Exception {
        assertThat(mReplication.onReport(report(1, false), true).get()).isTrue();
        CompletableFuture<Boolean> draining = mReplication.onReport(report(2, true), true);
        assertThat(draining.isDone()).isFalse();
        acknowledge(mSentToPeers.get(mSentToPeers.size() - 1));
        assertThat(draining.get()).isTrue();
        assertThat(mReplication.onReport(report(3, true), true).get()).isTrue();

        mReplication.onReport(report(4, false), true);

        assertThat(mReplication.onReport(report(5, true), true).isDone()).isFalse();
    }

    /** Whoever told it may end before it has told the others. */
    @Test
    void leaveFromAPeerIsForwardedOnce() throws Exception {
        mReplication.onReport(report("b", "s", "1.1.1.2:1", 3), true);
        mSentToPeers.clear();
        Target gone = TargetFrames.encode(new Departure("a", Departure.ALL_REPORTS, 0), 0);
        Targets targets =
                Targets.newBuilder()
                        .addTargets(gone)
                        .addTargets(TargetFrames.encode(leaving("b", 9), 0))
                        .addTargets(TargetFrames.encode(new Suspension("c", 0, false), 0))
                        .addTargets(TargetFrames.encode(report("d", "s", "1.1.1.3:1", 9), 0))
                        .build();

        mReplication.onTargets(targets);
        mReplication.onTargets(targets);

        assertThat(mSentToPeers).hasSize(1);
        assertThat(mSentToPeers.get(0).getTargetsList().stream().map(Target::getId).toList())
                .containsExactly("a", "b", "c");
    }

    /**
     * Of eight control processes each hears of a leave once from the one that took it, and once
     * from each other; 4,700 targets that are all replaced within 10 minutes make 8 leaves a
     * second.
     */
    @Test
    void leavesOfALargeFleetStayWithinTheBandwidthLimit() throws Exception {
        mReplication.onReport(report("i-0123456789abcdef#1780000000000", 5), true);
        mSentToPeers.clear();

        mReplication.onLeave("i-0123456789abcdef#1780000000000");

        assertThat(mSentToPeers).hasSize(1);
        Targets sent = mSentToPeers.get(0);
        int frameBytes =
                PeerFrame.newBuilder()
                        .setAddress("10.128.3.23:21418")
                        .setTargets(sent)
                        .build()
                        .getSerializedSize();
        int answerBytes =
                AckedBroadcasts.ackFrame(sent.getNumber())
                        .setAddress("10.128.3.23:21418")
                        .build()
                        .getSerializedSize();
        double receivedBytesPerSecond = LEAVES_PER_SECOND * (7 * frameBytes + answerBytes);
        System.out.printf(
                "a leave: frame %d B, answer %d B; heard by a process of eight: %.0f B/s%n",
                frameBytes, answerBytes, receivedBytesPerSecond);
        assertThat(receivedBytesPerSecond).isLessThan(MAX_CONTROL_BYTES_PER_SECOND);
    }

    /** Two processes that told each other kept a departure for good. */
    @Test
    void departureIsSentWithItsAge() throws Exception {
        mReplication.onReport(report("a#7", 5), true);
        mReplication.onLeave("a#7");
        mNow = 70_000;
        mReplication.onTargets(mReplication.snapshotForPeers());
        mNow = 119_000;
        Target sent = mReplication.snapshotForPeers().getTargets(0);
        assertThat(sent.getStanding()).isEqualTo(Target.Standing.GONE);
        assertThat(sent.getAgeMs()).isEqualTo(119_000);

        for (mNow = 119_050; mNow <= 125_000; mNow += 50) {
            mReplication.tick(true);
        }

        assertThat(mReplication.snapshotForPeers().getTargetsList()).isEmpty();
    }

    /** The other way round: the process that is told of the leave knows the target. */
    @Test
    void leaveThatAPeerCouldNotMatchAppliesHere() throws Exception {
        mReplication.onReport(report("a#7", 5), true);
        mSentToEntries.clear();
        Target suspended = TargetFrames.encode(new Suspension("a", 0, false), 0);

        mReplication.onTargets(Targets.newBuilder().addTargets(suspended).build());

        assertThat(mReplication.reports().get(0).leaving()).isTrue();
        assertThat(mSentToEntries).containsExactly(suspended);
        mReplication.onReport(report("a#7", 6), true);
        assertThat(mReplication.reports().get(0).leaving()).isTrue();
    }
}
