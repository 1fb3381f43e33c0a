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

/** Handling and replication of targets' leave notices. */
class LeaveReplicationTest extends TargetReplicationFixture {
    private static final double LEAVES_PER_SECOND = 4700 / 600.0;

    /** The limit for an instance's control traffic in total. */
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
     * Guards against requests to a target after its leave was acknowledged: the target leaves, all
     * control processes restart, and an earlier report of the target arrives late. A process that
     * keeps departures in memory only would treat the target as ready. See also LeavingTargetTest.
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

    /** Entries forward the departures they know, also to a process that has lost its saved data. */
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
     * Guards against requests to a target after its leave was acknowledged, when a control process
     * that has just started receives the leave notice before it knows the target.
     *
     * <p>The notice has no start time, so the process can't name an incarnation. Reporting the
     * plain id as gone would end no incarnation at its peers, and the process itself would treat
     * the target as ready once a peer reports it. In the log this is QD3009 with {@code target=a
     * taken_for=a became=unknown} and no ready incarnation, followed within 10 ms by a report of
     * the incarnation as ready.
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
     * Guards against requests to a target after its leave was acknowledged: a control process
     * acknowledges a leave and stops before its peers have received it. See also LeavingTargetTest,
     * where a process without reachable peers receives a leave.
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
    void leavingReportIsBroadcastOnceAndAgainAfterAReadyReport() throws Exception {
        assertThat(mReplication.onReport(report(1, false), true).get()).isTrue();
        CompletableFuture<Boolean> acknowledged = mReplication.onReport(report(2, true), true);
        assertThat(acknowledged.isDone()).isFalse();
        acknowledge(mSentToPeers.get(mSentToPeers.size() - 1));
        assertThat(acknowledged.get()).isTrue();
        assertThat(mReplication.onReport(report(3, true), true).get()).isTrue();

        mReplication.onReport(report(4, false), true);

        assertThat(mReplication.onReport(report(5, true), true).isDone()).isFalse();
    }

    /** The sender may stop before it has notified the other processes. */
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
     * With eight control processes, each receives a leave once from the process that handled it,
     * and once from each of the others. Replacing 4,700 targets within 10 minutes makes 8 leaves a
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
                "a leave: frame %d B, answer %d B; received by each of eight processes: %.0f B/s%n",
                frameBytes, answerBytes, receivedBytesPerSecond);
        assertThat(receivedBytesPerSecond).isLessThan(MAX_CONTROL_BYTES_PER_SECOND);
    }

    /**
     * Guards against departures that two processes report to each other, and thereby keep
     * permanently.
     */
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

    /**
     * The reverse of {@link #leaveAppliesToATargetReportedLater}: the process that receives the
     * leave from a peer knows the target.
     */
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
