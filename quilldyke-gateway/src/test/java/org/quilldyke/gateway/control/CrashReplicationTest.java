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

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.quilldyke.caller.RequestFingerprint;
import org.quilldyke.caller.TargetCrash;
import org.quilldyke.daemon.control.DataFolder;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.gateway.engine.RefusalLog;
import org.quilldyke.gateway.instance.CrashFrames;
import org.quilldyke.gateway.instance.NettyLoop;
import org.quilldyke.gateway.instance.proto.CrashNews;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.gateway.instance.proto.SuspectRequest;

/** Evaluation and replication of the crashes that entries report. */
class CrashReplicationTest {
    private static final RequestFingerprint CRASHING = new RequestFingerprint(1, 1);
    private static final int PARTS_PER_REQUEST = 10;
    private static final int REQUESTS_PER_CRASH = 32;
    private static final long REPORT_MILLIS = 1000;

    /** Longer than a report may be under way. */
    private static final long LATE_MILLIS = 11_000;

    private static final long SAVE_TIMEOUT_NANOS = 5_000_000_000L;

    @TempDir Path mFolder;
    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLog mLog = EventLog.of("test");
    private final List<CrashNews> mToPeers = new ArrayList<>();
    private final List<SuspectRequest> mToEntries = new ArrayList<>();
    private WarmStartData mWarmStart;
    private CrashReplication mReplication;
    private long mNow;

    @BeforeEach
    void start() throws Exception {
        NettyLoop loop = new NettyLoop(mGroup.next());
        RefusalLog rejectedReports = RefusalLog.create(new MetricRegistry(), mLog, () -> mNow);
        mWarmStart =
                WarmStartData.open(
                        DataFolder.open(mFolder), loop, mLog, rejectedReports, "127.0.0.1:1");
        mReplication = newReplication();
    }

    @AfterEach
    void stop() {
        mWarmStart.close();
        mGroup.shutdownGracefully();
    }

    @Test
    void entryReportsGoToPeersAndSuspectsToEntries() {
        crash("a");
        crash("b");
        crash("c");
        crash("c");

        assertThat(mToPeers).hasSize(3);
        assertThat(standings())
                .containsExactly(SuspectRequest.Standing.WATCHED, SuspectRequest.Standing.REFUSED)
                .inOrder();
    }

    @Test
    void peerReportsAreEvaluatedAndNotForwarded() {
        mReplication.onPeerReport(report("a"));
        mReplication.onPeerReport(report("b"));
        mReplication.onPeerReport(report("c"));

        assertThat(mToPeers).isEmpty();
        assertThat(standings()).contains(SuspectRequest.Standing.REFUSED);
    }

    @Test
    void completedRequestIsCleared() {
        crash("a");
        crash("b");
        crash("c");

        mReplication.onEntryReport(
                CrashNews.newBuilder()
                        .addCompletions(CrashFrames.encode(CRASHING, mNow, mNow))
                        .build());

        assertThat(standings().get(2)).isEqualTo(SuspectRequest.Standing.CLEARED);
        assertThat(mReplication.suspects().getSuspectsList()).isEmpty();
    }

    @Test
    void refusalSurvivesARestart() throws Exception {
        crash("a");
        crash("b");
        crash("c");
        mNow = 1000;
        mReplication.tick();
        long deadline = System.nanoTime() + SAVE_TIMEOUT_NANOS;
        while (!Files.exists(mFolder.resolve("hint-crashes")) && System.nanoTime() < deadline) {
            Thread.sleep(5);
        }
        mWarmStart.close();
        mToEntries.clear();
        mNow = 7;
        start();

        assertThat(standings()).containsExactly(SuspectRequest.Standing.REFUSED);
        assertThat(mReplication.suspects().getSuspectsList()).hasSize(1);
    }

    @Test
    void processThatLostItsDataRecoversFromEntriesAndPeers() throws Exception {
        crash("a");
        crash("b");
        crash("c");
        CrashNews atEntries = mReplication.suspects();
        CrashNews atPeers = mReplication.snapshotForPeers().orElseThrow();

        start();
        mReplication.onEntryReport(atEntries);
        assertThat(mReplication.suspects().getSuspectsCount()).isEqualTo(1);

        start();
        mReplication.onPeerReport(atPeers);
        assertThat(mReplication.suspects().getSuspectsCount()).isEqualTo(1);
    }

    /** Guards against a refusal that entries keep though its targets did not crash. */
    @Test
    void reportsOfRunningTargetsClearARequestHereAndAtPeers() throws Exception {
        crash("a#1");
        crash("b#1");
        crash("c#1");
        CrashReplication peer = newReplication();
        mToPeers.forEach(peer::onPeerReport);
        assertThat(refusals(peer)).isEqualTo(1);

        mToPeers.clear();
        mNow += LATE_MILLIS;
        mToEntries.clear();
        reportTwice("a#1");
        assertThat(refusals(mReplication)).isEqualTo(0);
        reportTwice("b#1");

        assertThat(standings())
                .containsExactly(SuspectRequest.Standing.WATCHED, SuspectRequest.Standing.CLEARED)
                .inOrder();
        assertThat(mToPeers).hasSize(2);
        mToPeers.forEach(peer::onPeerReport);
        assertThat(peer.suspects().getSuspectsList()).isEmpty();
    }

    /** Guards against a peer that dates a crash later since it was notified later. */
    @Test
    void survivalIsReportedAgainForPeersThatHeardLate() {
        crash("a#1");
        crash("b#1");
        crash("c#1");
        CrashReplication peer = newReplication();
        mNow += LATE_MILLIS / 2;
        mToPeers.forEach(peer::onPeerReport);
        assertThat(refusals(peer)).isEqualTo(1);

        mToPeers.clear();
        mNow += LATE_MILLIS / 2;
        reportTwice("a#1");
        mNow += LATE_MILLIS / 2;
        reportTwice("a#1");
        mToPeers.forEach(peer::onPeerReport);

        assertThat(refusals(peer)).isEqualTo(0);
    }

    /** Guards against reports of survivals without end. */
    @Test
    void survivalIsNotReportedForever() {
        crash("a#1");
        for (int i = 0; i < 10; i++) {
            mNow += LATE_MILLIS;
            reportTwice("a#1");
        }
        mToPeers.clear();

        reportTwice("a#1");

        assertThat(mToPeers).isEmpty();
    }

    /** Guards against a crash that a control process counts again after a restart. */
    @Test
    void snapshotOmitsCrashesThatDidNotHappen() {
        crash("a#1");
        mNow += LATE_MILLIS;

        reportTwice("a#1");

        CrashNews snapshot = mReplication.snapshotForPeers().orElseThrow();
        assertThat(snapshot.getCrashesList()).isEmpty();
        assertThat(snapshot.getSurvivalsCount()).isEqualTo(1);
    }

    @Test
    void frameOfCrashWithPromptPartsStaysSmall() {
        Set<RequestFingerprint> suspects = new HashSet<>();
        for (int i = 0; i < REQUESTS_PER_CRASH; i++) {
            suspects.add(new RequestFingerprint(-i - 1, i + 1));
            for (int j = 0; j < PARTS_PER_REQUEST; j++) {
                suspects.add(RequestFingerprint.ofPromptPart(0x5c1e07a2L + 100 * i + j));
            }
        }
        TargetCrash crash = new TargetCrash("i-0123456789#1796278568028", suspects, 0);
        CrashNews report = CrashNews.newBuilder().addCrashes(CrashFrames.encode(crash, 20)).build();
        int bytes = PeerFrame.newBuilder().setCrashes(report).build().getSerializedSize();

        System.out.printf(
                "crash of %d requests with %d parts each: %d bytes%n",
                REQUESTS_PER_CRASH, PARTS_PER_REQUEST, bytes);
        assertThat(bytes).isLessThan(8000);
    }

    @Test
    void crashAndRefusalFramesStaySmall() {
        Set<RequestFingerprint> requests =
                IntStream.range(0, REQUESTS_PER_CRASH)
                        .mapToObj(i -> new RequestFingerprint(-i - 1, i + 1))
                        .collect(Collectors.toSet());
        TargetCrash crash = new TargetCrash("i-0123456789#1796278568028", requests, 0);
        CrashNews report = CrashNews.newBuilder().addCrashes(CrashFrames.encode(crash, 20)).build();
        int crashBytes = PeerFrame.newBuilder().setCrashes(report).build().getSerializedSize();
        crash("i-0123456780#1796278568028");
        crash("i-0123456781#1796278568028");
        crash("i-0123456782#1796278568028");
        int refusalBytes = mReplication.suspects().getSerializedSize();

        System.out.printf(
                "crash of %d requests: %d bytes, refusal: %d bytes%n",
                REQUESTS_PER_CRASH, crashBytes, refusalBytes);
        assertThat(crashBytes).isLessThan(1000);
        assertThat(refusalBytes).isLessThan(200);
    }

    private List<SuspectRequest.Standing> standings() {
        return mToEntries.stream().map(SuspectRequest::getStanding).toList();
    }

    private void crash(String target) {
        mReplication.onEntryReport(report(target));
    }

    private CrashReplication newReplication() {
        return new CrashReplication(
                frame -> mToPeers.add(frame.build().getCrashes()),
                suspects -> mToEntries.addAll(suspects.getSuspectsList()),
                () -> mNow,
                mLog,
                mWarmStart,
                REPORT_MILLIS);
    }

    private static long refusals(CrashReplication replication) {
        return replication.suspects().getSuspectsList().stream()
                .filter(s -> s.getStanding() == SuspectRequest.Standing.REFUSED)
                .count();
    }

    private void reportTwice(String target) {
        mReplication.onTargetReport(targetReport(target, mNow));
        mNow += REPORT_MILLIS;
        mReplication.onTargetReport(targetReport(target, mNow));
    }

    private static TargetReport targetReport(String target, long sequence) {
        return new TargetReport(
                target, "s", "127.0.0.1:1", "z", "v1", 4, false, 0, Map.of(), sequence);
    }

    private CrashNews report(String target) {
        TargetCrash crash = new TargetCrash(target, Set.of(CRASHING), mNow);
        return CrashNews.newBuilder().addCrashes(CrashFrames.encode(crash, mNow)).build();
    }
}
