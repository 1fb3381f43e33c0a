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

/** After a loss of all, prompts were read whole until the new leader had asked each engine. */
class RestartMemoryTest {
    private static final long SAVED_NANOS = 5_000_000_000L;

    @TempDir Path mFolder;
    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully();
    }

    @Test
    void whatCachesKeptIsKnownAfterARestart() throws Exception {
        CacheNews kept =
                CacheNews.newBuilder().setHolder("i-1").setUp(true).addAdded(7).addAdded(9).build();
        CacheMirror before = new CacheMirror();
        before.apply(kept);
        RestartMemory memory = memory();
        assertThat(memory.caches()).isEmpty();

        assertThat(memory.saveCaches(before.whole())).isTrue();

        long until = System.nanoTime() + SAVED_NANOS;
        while (!Files.exists(mFolder.resolve("hint-caches")) && System.nanoTime() < until) {
            Thread.sleep(5);
        }
        memory.close();
        CacheMirror after = new CacheMirror();
        memory().caches().forEach(after::apply);
        assertThat(after.whole().get(0).getAddedList()).containsExactly(7L, 9L);
    }

    /** The engine has started again while the process was down. */
    @Test
    void whatAnEarlierIncarnationKeptIsNotOfTheLater() throws Exception {
        CacheMirror before = new CacheMirror();
        before.apply(CacheNews.newBuilder().setHolder("i-1#5").setUp(true).addAdded(7).build());
        RestartMemory memory = memory();
        memory.saveCaches(before.whole());
        long until = System.nanoTime() + SAVED_NANOS;
        while (!Files.exists(mFolder.resolve("hint-caches")) && System.nanoTime() < until) {
            Thread.sleep(5);
        }
        memory.close();

        CacheMirror after = new CacheMirror();
        after.onHolder("i-1#7");
        memory().caches().forEach(after::apply);

        assertThat(after.whole()).isEmpty();
    }

    @Test
    void damagedMemoryIsTakenForNone() throws Exception {
        Files.write(mFolder.resolve("hint-caches"), new byte[] {1, 2, 3, 4, 5, 6});

        assertThat(memory().caches()).isEqualTo(List.of());
    }

    /**
     * A file of targets under the name of the caches told entries that a target's cache is down, or
     * keeps parts: both begin with an id, and texts of eight or sixteen letters were taken for keys
     * of parts. By test only.
     */
    @Test
    void memoryOfAnotherKindIsTakenForNone() throws Exception {
        RestartMemory memory = memory();
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
        memory.saveTargets(List.of(report));
        long until = System.nanoTime() + SAVED_NANOS;
        while (!Files.exists(mFolder.resolve("hint-targets")) && System.nanoTime() < until) {
            Thread.sleep(5);
        }
        memory.close();
        Files.copy(mFolder.resolve("hint-targets"), mFolder.resolve("hint-caches"));

        assertThat(memory().caches()).isEmpty();
    }

    private RestartMemory memory() throws Exception {
        EventLog log = EventLog.of("test");
        return RestartMemory.in(
                DataFolder.open(mFolder),
                new NettyLoop(mGroup.next()),
                log,
                RefusalLog.create(new MetricRegistry(), log, () -> 0),
                "10.0.0.1:7340");
    }
}
