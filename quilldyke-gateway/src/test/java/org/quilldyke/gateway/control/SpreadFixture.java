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

/** A control process's targets without sockets: what it tells entries and others, and its disk. */
abstract class SpreadFixture {
    static final long SAVED_NANOS = 5_000_000_000L;
    static final int COPIES = 2;

    @TempDir Path mFolder;
    long mNow;
    final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final List<Target> mTold = new ArrayList<>();
    final List<Targets> mToldPeers = new ArrayList<>();
    final EventLog mLog = EventLog.of("test");
    final MetricRegistry mMetrics = new MetricRegistry();
    Deliveries mDeliveries;
    RestartMemory mMemory;
    TargetSpread mSpread;

    @BeforeEach
    void start() throws Exception {
        NettyLoop loop = new NettyLoop(mGroup.next());
        RefusalLog refused = RefusalLog.create(mMetrics, mLog, () -> mNow);
        mMemory = RestartMemory.in(DataFolder.open(mFolder), loop, mLog, refused, "127.0.0.1:1");
        mDeliveries = new Deliveries(this::toPeers, () -> mNow, COPIES);
        mSpread =
                new TargetSpread(
                        this::toPeers,
                        mDeliveries,
                        targets -> mTold.addAll(targets.getTargetsList()),
                        () -> mNow,
                        mLog,
                        mMemory,
                        refused,
                        1000);
    }

    @AfterEach
    void stop() {
        mMemory.close();
        mGroup.shutdownGracefully();
    }

    static TargetReport report(String key, long sequence) {
        return new TargetReport(key, "s", "1.1.1.1:1", "z", "v", 4, false, 0, Map.of(), sequence);
    }

    void restartWithMemoryOf(TargetReport report) throws Exception {
        mSpread.onReport(report, true);
        saveAndRestart();
    }

    void saveAndRestart() throws Exception {
        mSpread.tick(true);
        awaitSaved();
        mMemory.close();
        mTold.clear();
        start();
    }

    void awaitSaved() throws InterruptedException {
        long until = System.nanoTime() + SAVED_NANOS;
        while (!Files.exists(mFolder.resolve("hint-targets")) && System.nanoTime() < until) {
            Thread.sleep(5);
        }
    }

    static TargetReport report(long sequence, boolean leaving) {
        return new TargetReport("a", "s", "1.1.1.1:1", "z", "v", 4, leaving, 0, Map.of(), sequence);
    }

    void toPeers(PeerFrame.Builder frame) {
        mToldPeers.add(frame.getTargets());
    }

    void take(Targets told) {
        for (int i = 0; i < COPIES; i++) {
            mDeliveries.onTaken("peer-" + i, told.getNumber());
        }
    }

    static TargetReport leaving(String id, long sequence) {
        return report(id, "s", "1.1.1.2:1", sequence).asLeaving();
    }

    static TargetReport report(String id, String service, String address, long sequence) {
        return new TargetReport(id, service, address, "z", "v", 4, false, 0, Map.of(), sequence);
    }
}
