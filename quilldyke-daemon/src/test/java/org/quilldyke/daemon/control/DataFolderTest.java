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
package org.quilldyke.daemon.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.control.Ballot;
import org.quilldyke.control.Compaction;
import org.quilldyke.control.DurableState;
import org.quilldyke.control.LogEntry;
import org.quilldyke.control.Membership;

class DataFolderTest {
    private static final Membership MEMBERS = Membership.ofIds(List.of("a", "b"));

    @TempDir Path mFolder;

    @Test
    void emptyFolderIsBlank() throws Exception {
        try (DataFolder folder = DataFolder.open(mFolder)) {
            DurableState state = folder.load();

            assertThat(state.ballot()).isEqualTo(Ballot.empty());
            assertThat(state.entries()).isEmpty();
        }
    }

    @Test
    void whatWasSyncedIsThereAgain() throws Exception {
        write(entries(1, 5));
        try (DataFolder folder = DataFolder.open(mFolder)) {
            folder.load();
            folder.saveBallot(new Ballot(7, "b", true));
            folder.truncateFrom(4);
            folder.append(4, entries(40, 2));
            folder.sync();
        }

        try (DataFolder folder = DataFolder.open(mFolder)) {
            DurableState state = folder.load();

            assertThat(state.ballot()).isEqualTo(new Ballot(7, "b", true));
            assertThat(terms(state)).containsExactly(1L, 2L, 3L, 40L, 41L).inOrder();
        }
    }

    @Test
    void snapshotReplacesTheEntriesItCovers() throws Exception {
        write(entries(1, 5));
        byte[] snapshot = {1, 2, 3};
        try (DataFolder folder = DataFolder.open(mFolder)) {
            folder.load();
            folder.saveSnapshot(new Compaction(3, 3, MEMBERS, snapshot, entries(4, 2)));
            folder.append(6, entries(6, 1));
            folder.sync();
        }

        try (DataFolder folder = DataFolder.open(mFolder)) {
            DurableState state = folder.load();

            assertThat(state.snapshotIndex()).isEqualTo(3);
            assertThat(state.snapshot()).isEqualTo(snapshot);
            assertThat(state.snapshotMembership()).isEqualTo(MEMBERS);
            assertThat(terms(state)).containsExactly(4L, 5L, 6L).inOrder();
        }
    }

    @Test
    void entryThatIsNotWholeIsCutOff() throws Exception {
        write(entries(1, 5));
        byte[] log = Files.readAllBytes(mFolder.resolve("log"));
        Files.write(mFolder.resolve("log"), Arrays.copyOf(log, log.length - 3));

        try (DataFolder folder = DataFolder.open(mFolder)) {
            assertThat(terms(folder.load())).containsExactly(1L, 2L, 3L, 4L).inOrder();
            assertThat(folder.cutBytes()).isGreaterThan(0L);
            folder.append(5, entries(50, 1));
            folder.sync();
        }
        try (DataFolder folder = DataFolder.open(mFolder)) {
            assertThat(terms(folder.load())).containsExactly(1L, 2L, 3L, 4L, 50L).inOrder();
        }
    }

    @Test
    void damageInTheMiddleIsRefused() throws Exception {
        writeOneByOne(mFolder, 5);
        flip(mFolder.resolve("log"), 60);

        assertDamaged();
    }

    /** After a loss of power, of writes that no sync covered any may be missing or torn. */
    @Test
    void unsyncedEntriesAfterTheFirstTornOneAreCutOff() throws Exception {
        write(entries(1, 2));
        long synced = Files.size(mFolder.resolve("log"));
        try (DataFolder folder = DataFolder.open(mFolder)) {
            folder.load();
            folder.append(3, entries(3, 3));
        }
        flip(mFolder.resolve("log"), (int) synced + 12);

        try (DataFolder folder = DataFolder.open(mFolder)) {
            assertThat(terms(folder.load())).containsExactly(1L, 2L).inOrder();
            assertThat(folder.cutBytes()).isGreaterThan(0L);
        }
    }

    @Test
    void membershipAndIdentityAreThereAgain() throws Exception {
        try (DataFolder folder = DataFolder.open(mFolder)) {
            folder.load();
            assertThat(folder.loadIdentity()).isEmpty();
            folder.saveIdentity(new byte[] {7, 1});
            folder.append(1, List.of(LogEntry.ofMembership(4, MEMBERS)));
            folder.sync();
        }

        try (DataFolder folder = DataFolder.open(mFolder)) {
            assertThat(folder.loadIdentity()).isEqualTo(new byte[] {7, 1});
            LogEntry entry = folder.load().entries().get(0);
            assertThat(entry.membership()).isEqualTo(MEMBERS);
            assertThat(entry.hasNoCommand()).isTrue();
        }
    }

    @Test
    void repeatedAppendReplacesWhatTheFirstTryLeft() throws Exception {
        try (DataFolder folder = DataFolder.open(mFolder)) {
            folder.load();
            folder.append(1, entries(1, 3));
            folder.append(2, entries(2, 2));
            folder.sync();
        }

        try (DataFolder folder = DataFolder.open(mFolder)) {
            assertThat(terms(folder.load())).containsExactly(1L, 2L, 3L).inOrder();
        }
    }

    @Test
    void damagedSnapshotAndBallotAreRefused() throws Exception {
        write(entries(1, 2));
        try (DataFolder folder = DataFolder.open(mFolder)) {
            folder.load();
            folder.saveBallot(new Ballot(1, "", true));
        }
        flip(mFolder.resolve("ballot"), 6);

        assertDamaged();
    }

    @Test
    void folderThatIsAFileIsRefused() throws Exception {
        Path file = mFolder.resolve("file");
        Files.createFile(file);

        QuilldykeException e =
                assertThrows(QuilldykeException.class, () -> DataFolder.open(file.resolve("x")));

        assertThat(e.code()).isEqualTo(ResultCode.DISK_FAILED);
    }

    @Property(tries = 60, seed = "3")
    void anyFlippedByteIsEitherCutOrRefused(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        Path path = Files.createTempDirectory("quilldyke-log-");
        writeOneByOne(path, 8);
        flip(path.resolve("log"), random.nextInt((int) Files.size(path.resolve("log"))));

        try (DataFolder folder = DataFolder.open(path)) {
            List<Long> terms = terms(folder.load());
            assertThat(terms).containsExactly(1L, 2L, 3L, 4L, 5L, 6L, 7L).inOrder();
        } catch (QuilldykeException e) {
            assertThat(e.code()).isEqualTo(ResultCode.LOG_DAMAGED);
        }
    }

    private void write(List<LogEntry> entries) throws Exception {
        try (DataFolder folder = DataFolder.open(mFolder)) {
            folder.load();
            folder.append(1, entries);
            folder.sync();
        }
    }

    private static void writeOneByOne(Path path, int count) throws Exception {
        try (DataFolder folder = DataFolder.open(path)) {
            folder.load();
            for (int i = 1; i <= count; i++) {
                folder.append(i, entries(i, 1));
                folder.sync();
            }
        }
    }

    private void assertDamaged() throws Exception {
        try (DataFolder folder = DataFolder.open(mFolder)) {
            QuilldykeException e = assertThrows(QuilldykeException.class, folder::load);

            assertThat(e.code()).isEqualTo(ResultCode.LOG_DAMAGED);
        }
    }

    private static void flip(Path file, int at) throws Exception {
        byte[] bytes = Files.readAllBytes(file);
        bytes[at] ^= 0x10;
        Files.write(file, bytes, StandardOpenOption.TRUNCATE_EXISTING);
    }

    private static List<LogEntry> entries(long firstTerm, int count) {
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(new LogEntry(firstTerm + i, new byte[] {1, 2, 3, (byte) i}));
        }
        return entries;
    }

    private static List<Long> terms(DurableState state) {
        return state.entries().stream().map(LogEntry::term).toList();
    }
}
