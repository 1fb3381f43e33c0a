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
import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.quilldyke.QuilldykeException;
import org.quilldyke.daemon.control.DataFolder;
import org.quilldyke.daemon.control.DiskQueue;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.Departure;
import org.quilldyke.engine.TargetRegistry;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.gateway.engine.RefusalLog;
import org.quilldyke.gateway.instance.TargetFrames;
import org.quilldyke.gateway.instance.proto.CacheNews;
import org.quilldyke.gateway.instance.proto.Target;
import org.quilldyke.testkit.check.CheckReport;
import org.quilldyke.testkit.disk.PowerLossDisk;
import org.quilldyke.testkit.disk.PowerLostException;

/**
 * Data found after a restart is what this process saved last under this kind, or nothing; and later
 * reports replace it.
 */
class WarmStartDataFuzzTest {
    private static final int SEEDS = Integer.getInteger("quilldyke.memory.seeds", 300);
    private static final String OWNER = "10.0.0.1:7340";
    private static final List<String> FILES = List.of("hint-targets", "hint-caches", "hint-leaves");
    private static final long WRITE_TIMEOUT_MILLIS = 2000;

    private final EventLog mLog = EventLog.of("test");
    private PowerLossDisk mDisk;
    private Random mRandom;
    private long mNow;

    @Test
    void powerLossLeavesTheOldOrTheNewData() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            setUp(seed);
            Content before = Content.random(mRandom);
            save(OWNER, before);
            Content after = Content.random(mRandom);
            mDisk.failAfter(mRandom.nextInt(30));
            try {
                save(OWNER, after);
            } catch (PowerLostException e) {
                // Power was lost during the write.
            }
            mDisk.losePower(mRandom);

            WarmStartData data = open(OWNER, createDiskThread());

            String where = "seed " + seed;
            assertWithMessage(where)
                    .that(data.targets())
                    .isAnyOf(before.restoredTargets(), after.restoredTargets());
            assertWithMessage(where).that(data.caches()).isAnyOf(before.mCaches, after.mCaches);
            assertWithMessage(where).that(data.leaves()).isAnyOf(before.mLeaves, after.mLeaves);
        }
    }

    @Test
    void corruptFilesAreIgnored() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            setUp(seed);
            save(OWNER, Content.random(mRandom));
            for (String name : FILES) {
                Path file = mDisk.folder().resolve(name);
                Files.write(file, corrupted(Files.readAllBytes(file)));
            }

            assertNothingRestored(OWNER, seed);
        }
    }

    @Test
    void filesOfAnotherKindAreIgnored() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            setUp(seed);
            save(OWNER, Content.random(mRandom));
            Path targets = mDisk.folder().resolve(FILES.get(0));
            Path caches = mDisk.folder().resolve(FILES.get(1));
            Path leaves = mDisk.folder().resolve(FILES.get(2));
            byte[] ofTargets = Files.readAllBytes(targets);
            Files.write(targets, Files.readAllBytes(caches));
            Files.write(caches, Files.readAllBytes(leaves));
            Files.write(leaves, ofTargets);

            assertNothingRestored(OWNER, seed);
        }
    }

    @Test
    void filesOfAnotherMachineAreIgnored() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            setUp(seed);
            save(OWNER, Content.random(mRandom));

            assertNothingRestored(OWNER + mRandom.nextInt(10), seed);
            assertNothingRestored(OWNER.substring(0, mRandom.nextInt(OWNER.length())), seed);
        }
    }

    @Test
    void laterIncarnationsReplaceRestoredData() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            setUp(seed);
            Content stored = Content.random(mRandom);
            save(OWNER, stored);
            WarmStartData data = open(OWNER, createDiskThread());
            TargetRegistry registry = TargetRegistry.create();
            CacheInventory observedFirst = new CacheInventory();
            CacheInventory restoredFirst = new CacheInventory();
            data.targets().forEach(report -> registry.onReport(report, 0));
            data.caches().forEach(restoredFirst::apply);
            for (TargetReport old : stored.mTargets) {
                TargetReport later =
                        Content.report(old.incarnation().id(), laterStartTime(old), mRandom);
                registry.onReport(later, mRandom.nextInt(100));
                observedFirst.observeHolder(later.key());
                restoredFirst.observeHolder(later.key());
                assertThat(registry.report(old.key()).isPresent()).isFalse();
                assertThat(registry.report(later.key()).get()).isEqualTo(later);
            }
            data.caches().forEach(observedFirst::apply);

            String where = "seed " + seed;
            assertWithMessage(where).that(registry.removeRestored()).isEmpty();
            assertWithMessage(where).that(observedFirst.snapshot()).isEmpty();
            assertWithMessage(where).that(restoredFirst.snapshot()).isEmpty();
        }
    }

    private long laterStartTime(TargetReport report) {
        return report.incarnation().startedAtMillis() + 1 + mRandom.nextInt(5);
    }

    private void setUp(int seed) {
        mRandom = new Random(seed);
        mRandom.nextInt();
        mDisk = PowerLossDisk.create();
        mNow = 0;
    }

    private void assertNothingRestored(String owner, int seed) throws Exception {
        WarmStartData data = open(owner, createDiskThread());
        assertWithMessage("seed " + seed).that(data.targets()).isEmpty();
        assertWithMessage("seed " + seed).that(data.caches()).isEmpty();
        assertWithMessage("seed " + seed).that(data.leaves()).isEmpty();
    }

    private SimulatedDiskThread createDiskThread() {
        return new SimulatedDiskThread(mDisk, mRandom, new CheckReport("memory", 0));
    }

    private WarmStartData open(String owner, SimulatedDiskThread diskThread)
            throws QuilldykeException {
        SimulatedControlLoop loop = new SimulatedControlLoop(() -> mNow);
        RefusalLog rejectedReports = RefusalLog.create(new MetricRegistry(), mLog, () -> 0);
        DataFolder folder = DataFolder.open(mDisk.folder());
        return WarmStartData.withQueue(
                DiskQueue.on(diskThread, loop, mLog), folder, mLog, rejectedReports, owner);
    }

    private void save(String owner, Content content) throws QuilldykeException {
        SimulatedDiskThread diskThread = createDiskThread();
        WarmStartData data = open(owner, diskThread);
        assertThat(data.saveTargets(content.mTargets)).isTrue();
        assertThat(data.saveCaches(content.mCaches)).isTrue();
        assertThat(data.saveLeaves(content.mLeaves)).isTrue();
        for (long deadline = mNow + WRITE_TIMEOUT_MILLIS; mNow < deadline; mNow++) {
            diskThread.runDue(mNow);
        }
    }

    /** Returns a file that is truncated, extended, or has a flipped bit. */
    private byte[] corrupted(byte[] original) {
        byte[] corrupted = Arrays.copyOf(original, original.length);
        switch (mRandom.nextInt(3)) {
            case 0 -> corrupted = Arrays.copyOf(original, mRandom.nextInt(original.length));
            case 1 -> corrupted = Arrays.copyOf(original, original.length + 1 + mRandom.nextInt(9));
            default ->
                    corrupted[mRandom.nextInt(corrupted.length)] ^=
                            (byte) (1 << mRandom.nextInt(8));
        }
        return corrupted;
    }

    /** Random data to save. */
    private static final class Content {
        final List<TargetReport> mTargets = new ArrayList<>();
        final List<CacheNews> mCaches = new ArrayList<>();
        final List<Target> mLeaves = new ArrayList<>();

        static Content random(Random random) {
            Content content = new Content();
            int size = 1 + random.nextInt(5);
            for (int i = 0; i < size; i++) {
                TargetReport report = report("i-" + i, 1 + random.nextInt(100), random);
                content.mTargets.add(report);
                content.mLeaves.add(TargetFrames.encode(Departure.upTo(report, 0), i));
                CacheNews.Builder update =
                        CacheNews.newBuilder().setHolder(report.key()).setUp(true).setWhole(true);
                random.longs(random.nextInt(6)).forEach(update::addAdded);
                content.mCaches.add(update.build());
            }
            return content;
        }

        static TargetReport report(String id, long startedAtMillis, Random random) {
            String address = "10.0.1." + id.substring(2) + ":80";
            Map<String, Long> weights = Map.of("m", (long) random.nextInt(9));
            return new TargetReport(
                    id + "#" + startedAtMillis, "s", address, "d", "v", 4, false, 0, weights, 3);
        }

        List<TargetReport> restoredTargets() {
            return mTargets.stream().map(TargetReport::asRestored).toList();
        }
    }
}
