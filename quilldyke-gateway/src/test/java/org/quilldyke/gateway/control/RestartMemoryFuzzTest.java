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
 * What a restart finds in its memory is what was stored there, by this process and as this kind, or
 * nothing; and it gives way to the first word of a later time.
 */
class RestartMemoryFuzzTest {
    private static final int SEEDS = Integer.getInteger("quilldyke.memory.seeds", 300);
    private static final String OWNER = "10.0.0.1:7340";
    private static final List<String> FILES = List.of("hint-targets", "hint-caches", "hint-leaves");
    private static final long WRITTEN_BY = 2000;

    private final EventLog mLog = EventLog.of("test");
    private PowerLossDisk mDisk;
    private Random mRandom;
    private long mNow;

    @Test
    void lossOfPowerLeavesWhatWasStoredBeforeOrAfter() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            begin(seed);
            Content before = Content.draw(mRandom);
            save(OWNER, before);
            Content after = Content.draw(mRandom);
            mDisk.failAfter(mRandom.nextInt(30));
            try {
                save(OWNER, after);
            } catch (PowerLostException e) {
                // So far it got.
            }
            mDisk.losePower(mRandom);

            RestartMemory memory = memory(OWNER, queue());

            String where = "seed " + seed;
            assertWithMessage(where)
                    .that(memory.targets())
                    .isAnyOf(before.remembered(), after.remembered());
            assertWithMessage(where).that(memory.caches()).isAnyOf(before.mCaches, after.mCaches);
            assertWithMessage(where).that(memory.leaves()).isAnyOf(before.mLeaves, after.mLeaves);
        }
    }

    @Test
    void bentFilesAreTakenForNone() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            begin(seed);
            save(OWNER, Content.draw(mRandom));
            for (String name : FILES) {
                Path file = mDisk.folder().resolve(name);
                Files.write(file, bent(Files.readAllBytes(file)));
            }

            assertNothingFound(OWNER, seed);
        }
    }

    @Test
    void filesOfAnotherKindAreTakenForNone() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            begin(seed);
            save(OWNER, Content.draw(mRandom));
            Path targets = mDisk.folder().resolve(FILES.get(0));
            Path caches = mDisk.folder().resolve(FILES.get(1));
            Path leaves = mDisk.folder().resolve(FILES.get(2));
            byte[] ofTargets = Files.readAllBytes(targets);
            Files.write(targets, Files.readAllBytes(caches));
            Files.write(caches, Files.readAllBytes(leaves));
            Files.write(leaves, ofTargets);

            assertNothingFound(OWNER, seed);
        }
    }

    @Test
    void filesOfAnotherMachineAreTakenForNone() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            begin(seed);
            save(OWNER, Content.draw(mRandom));

            assertNothingFound(OWNER + mRandom.nextInt(10), seed);
            assertNothingFound(OWNER.substring(0, mRandom.nextInt(OWNER.length())), seed);
        }
    }

    @Test
    void laterBirthsPutAnEndToWhatIsRemembered() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            begin(seed);
            Content stored = Content.draw(mRandom);
            save(OWNER, stored);
            RestartMemory memory = memory(OWNER, queue());
            TargetRegistry registry = TargetRegistry.create();
            CacheMirror before = new CacheMirror();
            CacheMirror after = new CacheMirror();
            memory.targets().forEach(report -> registry.onReport(report, 0));
            memory.caches().forEach(after::apply);
            for (TargetReport old : stored.mTargets) {
                TargetReport later = Content.report(old.incarnation().id(), later(old), mRandom);
                registry.onReport(later, mRandom.nextInt(100));
                before.onHolder(later.key());
                after.onHolder(later.key());
                assertThat(registry.report(old.key()).isPresent()).isFalse();
                assertThat(registry.report(later.key()).get()).isEqualTo(later);
            }
            memory.caches().forEach(before::apply);

            String where = "seed " + seed;
            assertWithMessage(where).that(registry.removeRestored()).isEmpty();
            assertWithMessage(where).that(before.whole()).isEmpty();
            assertWithMessage(where).that(after.whole()).isEmpty();
        }
    }

    private long later(TargetReport report) {
        return report.incarnation().startedAtMillis() + 1 + mRandom.nextInt(5);
    }

    private void begin(int seed) {
        mRandom = new Random(seed);
        mRandom.nextInt();
        mDisk = PowerLossDisk.create();
        mNow = 0;
    }

    private void assertNothingFound(String owner, int seed) throws Exception {
        RestartMemory memory = memory(owner, queue());
        assertWithMessage("seed " + seed).that(memory.targets()).isEmpty();
        assertWithMessage("seed " + seed).that(memory.caches()).isEmpty();
        assertWithMessage("seed " + seed).that(memory.leaves()).isEmpty();
    }

    private VirtualDisk queue() {
        return new VirtualDisk(mDisk, mRandom, new CheckReport("memory", 0));
    }

    private RestartMemory memory(String owner, VirtualDisk writes) throws QuilldykeException {
        VirtualLoop loop = new VirtualLoop(() -> mNow);
        RefusalLog refused = RefusalLog.create(new MetricRegistry(), mLog, () -> 0);
        DataFolder folder = DataFolder.open(mDisk.folder());
        return RestartMemory.on(DiskQueue.on(writes, loop, mLog), folder, mLog, refused, owner);
    }

    private void save(String owner, Content content) throws QuilldykeException {
        VirtualDisk writes = queue();
        RestartMemory memory = memory(owner, writes);
        assertThat(memory.saveTargets(content.mTargets)).isTrue();
        assertThat(memory.saveCaches(content.mCaches)).isTrue();
        assertThat(memory.saveLeaves(content.mLeaves)).isTrue();
        for (long until = mNow + WRITTEN_BY; mNow < until; mNow++) {
            writes.run(mNow);
        }
    }

    /** Returns a file that is torn, longer, or differs in some bytes. */
    private byte[] bent(byte[] whole) {
        byte[] bent = Arrays.copyOf(whole, whole.length);
        switch (mRandom.nextInt(3)) {
            case 0 -> bent = Arrays.copyOf(whole, mRandom.nextInt(whole.length));
            case 1 -> bent = Arrays.copyOf(whole, whole.length + 1 + mRandom.nextInt(9));
            default -> bent[mRandom.nextInt(bent.length)] ^= (byte) (1 << mRandom.nextInt(8));
        }
        return bent;
    }

    /** What a process knows at a time. */
    private static final class Content {
        final List<TargetReport> mTargets = new ArrayList<>();
        final List<CacheNews> mCaches = new ArrayList<>();
        final List<Target> mLeaves = new ArrayList<>();

        static Content draw(Random random) {
            Content content = new Content();
            int size = 1 + random.nextInt(5);
            for (int i = 0; i < size; i++) {
                TargetReport report = report("i-" + i, 1 + random.nextInt(100), random);
                content.mTargets.add(report);
                content.mLeaves.add(TargetFrames.encode(Departure.upTo(report, 0), i));
                CacheNews.Builder news =
                        CacheNews.newBuilder().setHolder(report.key()).setUp(true).setWhole(true);
                random.longs(random.nextInt(6)).forEach(news::addAdded);
                content.mCaches.add(news.build());
            }
            return content;
        }

        static TargetReport report(String id, long born, Random random) {
            String address = "10.0.1." + id.substring(2) + ":80";
            Map<String, Long> weights = Map.of("m", (long) random.nextInt(9));
            return new TargetReport(
                    id + "#" + born, "s", address, "d", "v", 4, false, 0, weights, 3);
        }

        List<TargetReport> remembered() {
            return mTargets.stream().map(TargetReport::asRestored).toList();
        }
    }
}
