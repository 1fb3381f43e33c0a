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
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.quilldyke.daemon.control.DataFolder;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.gateway.engine.RefusalLog;
import org.quilldyke.gateway.instance.NettyLoop;
import org.quilldyke.gateway.instance.proto.CacheNews;

/**
 * Guards against full prefills after a restart of all processes: without saved cache contents,
 * caches are unknown until the new leader has polled each engine.
 */
class WarmStartDataTest {
    private static final long SAVE_TIMEOUT_NANOS = 5_000_000_000L;

    @TempDir Path mFolder;
    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully();
    }

    @Test
    void cacheContentsSurviveARestart() throws Exception {
        CacheNews update =
                CacheNews.newBuilder().setHolder("i-1").setUp(true).addAdded(7).addAdded(9).build();
        CacheInventory before = new CacheInventory();
        before.apply(update);
        WarmStartData data = open();
        assertThat(data.caches()).isEmpty();

        assertThat(data.saveCaches(before.snapshot())).isTrue();

        long deadline = System.nanoTime() + SAVE_TIMEOUT_NANOS;
        while (!Files.exists(mFolder.resolve("hint-caches")) && System.nanoTime() < deadline) {
            Thread.sleep(5);
        }
        data.close();
        CacheInventory after = new CacheInventory();
        open().caches().forEach(after::apply);
        assertThat(after.snapshot().get(0).getAddedList()).containsExactly(7L, 9L);
    }

    /** The engine restarts while the control process is down. */
    @Test
    void cacheContentsOfAnEarlierIncarnationAreDiscarded() throws Exception {
        CacheInventory before = new CacheInventory();
        before.apply(CacheNews.newBuilder().setHolder("i-1#5").setUp(true).addAdded(7).build());
        WarmStartData data = open();
        data.saveCaches(before.snapshot());
        long deadline = System.nanoTime() + SAVE_TIMEOUT_NANOS;
        while (!Files.exists(mFolder.resolve("hint-caches")) && System.nanoTime() < deadline) {
            Thread.sleep(5);
        }
        data.close();

        CacheInventory after = new CacheInventory();
        after.observeHolder("i-1#7");
        open().caches().forEach(after::apply);

        assertThat(after.snapshot()).isEmpty();
    }

    @Test
    void damagedFileIsIgnored() throws Exception {
        Files.write(mFolder.resolve("hint-caches"), new byte[] {1, 2, 3, 4, 5, 6});

        assertThat(open().caches()).isEqualTo(List.of());
    }

    /**
     * Without a kind in the header, a file of targets under the name of the caches could be parsed
     * as cache contents: both messages begin with an id, and strings of eight or sixteen bytes
     * could be read as block keys, or the target's cache as unreachable.
     */
    @Test
    void fileOfAnotherKindIsIgnored() throws Exception {
        WarmStartData data = open();
        TargetReport report =
                new TargetReport(
                        "i-1",
                        "s",
                        "10.10.10.10:8080",
                        "vault-01",
                        "v",
                        4,
                        false,
                        0,
                        Map.of("m", 7L),
                        3);
        data.saveTargets(List.of(report));
        long deadline = System.nanoTime() + SAVE_TIMEOUT_NANOS;
        while (!Files.exists(mFolder.resolve("hint-targets")) && System.nanoTime() < deadline) {
            Thread.sleep(5);
        }
        data.close();
        Files.copy(mFolder.resolve("hint-targets"), mFolder.resolve("hint-caches"));

        assertThat(open().caches()).isEmpty();
    }

    private WarmStartData open() throws Exception {
        EventLog log = EventLog.of("test");
        return WarmStartData.open(
                DataFolder.open(mFolder),
                new NettyLoop(mGroup.next()),
                log,
                RefusalLog.create(new MetricRegistry(), log, () -> 0),
                "10.0.0.1:7340");
    }
}
