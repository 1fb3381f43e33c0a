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

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.quilldyke.daemon.control.DataFolder;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.gateway.engine.RefusalLog;
import org.quilldyke.gateway.instance.NettyLoop;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.gateway.instance.proto.Target;
import org.quilldyke.gateway.instance.proto.Targets;

/**
 * A control process's target replication without sockets: records what it sends to entries and
 * peers, and saves to a temporary folder.
 */
abstract class TargetReplicationFixture {
    static final long SAVE_TIMEOUT_NANOS = 5_000_000_000L;
    static final int REQUIRED_ACKS = 2;

    @TempDir Path mFolder;
    long mNow;
    final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final List<Target> mSentToEntries = new ArrayList<>();
    final List<Targets> mSentToPeers = new ArrayList<>();
    final EventLog mLog = EventLog.of("test");
    final MetricRegistry mMetrics = new MetricRegistry();
    AckedBroadcasts mBroadcasts;
    WarmStartData mWarmStart;
    TargetReplication mReplication;

    @BeforeEach
    void start() throws Exception {
        NettyLoop loop = new NettyLoop(mGroup.next());
        RefusalLog rejectedReports = RefusalLog.create(mMetrics, mLog, () -> mNow);
        mWarmStart =
                WarmStartData.open(
                        DataFolder.open(mFolder), loop, mLog, rejectedReports, "127.0.0.1:1");
        mBroadcasts = new AckedBroadcasts(this::sendToPeers, () -> mNow, REQUIRED_ACKS);
        mReplication =
                new TargetReplication(
                        this::sendToPeers,
                        mBroadcasts,
                        targets -> mSentToEntries.addAll(targets.getTargetsList()),
                        () -> mNow,
                        mLog,
                        mWarmStart,
                        rejectedReports,
                        1000);
    }

    @AfterEach
    void stop() {
        mWarmStart.close();
        mGroup.shutdownGracefully();
    }

    static TargetReport report(String key, long sequence) {
        return new TargetReport(key, "s", "1.1.1.1:1", "z", "v", 4, false, 0, Map.of(), sequence);
    }

    void restartWithSaved(TargetReport report) throws Exception {
        mReplication.onReport(report, true);
        saveAndRestart();
    }

    void saveAndRestart() throws Exception {
        mReplication.tick(true);
        awaitSaved();
        mWarmStart.close();
        mSentToEntries.clear();
        start();
    }

    void awaitSaved() throws InterruptedException {
        long deadline = System.nanoTime() + SAVE_TIMEOUT_NANOS;
        while (!Files.exists(mFolder.resolve("hint-targets")) && System.nanoTime() < deadline) {
            Thread.sleep(5);
        }
    }

    static TargetReport report(long sequence, boolean leaving) {
        return new TargetReport("a", "s", "1.1.1.1:1", "z", "v", 4, leaving, 0, Map.of(), sequence);
    }

    void sendToPeers(PeerFrame.Builder frame) {
        mSentToPeers.add(frame.getTargets());
    }

    void acknowledge(Targets sent) {
        for (int i = 0; i < REQUIRED_ACKS; i++) {
            mBroadcasts.onAck("peer-" + i, sent.getNumber());
        }
    }

    static TargetReport leaving(String id, long sequence) {
        return report(id, "s", "1.1.1.2:1", sequence).asLeaving();
    }

    static TargetReport report(String id, String service, String address, long sequence) {
        return new TargetReport(id, service, address, "z", "v", 4, false, 0, Map.of(), sequence);
    }
}
