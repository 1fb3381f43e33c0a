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
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.quilldyke.control.Ballot;
import org.quilldyke.control.Compaction;
import org.quilldyke.control.DurableState;
import org.quilldyke.control.LogEntry;
import org.quilldyke.control.Membership;
import org.quilldyke.testkit.disk.PowerLossDisk;
import org.quilldyke.testkit.disk.PowerLostException;

/**
 * A replica's files when the power goes between any two operations: what was synced is there, and
 * no disk that lost nothing is taken for a damaged one, since that is as bad as its loss.
 */
class DataFolderPowerLossTest {
    private static final int SEEDS = 300;
    private static final int STEPS = 40;
    private static final int MAX_OPERATIONS = 60;
    private static final Membership MEMBERS = Membership.ofIds(List.of("a", "b", "c"));

    private final PowerLossDisk mDisk = PowerLossDisk.create();

    /** A process that was killed before its sync finds its entries, but the disk hasn't them. */
    @Test
    void whatARestartFindsIsSynced() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            mDisk.wipe();
            DataFolder killed = opened();
            killed.append(1, entries(1, 1));
            killed.sync();
            killed.append(2, entries(2, 2));
            killed.saveBallot(new Ballot(3, "a", true));

            List<Long> found = terms(DataFolder.open(mDisk.folder()).load());
            mDisk.losePower(new Random(seed));

            assertWithMessage("seed " + seed).that(terms(state())).isEqualTo(found);
        }
    }

    /** As above, for a ballot whose name wasn't synced yet. */
    @Test
    void ballotThatARestartFindsIsSynced() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            for (int operations = 0; operations < 10; operations++) {
                mDisk.wipe();
                DataFolder killed = opened();
                killed.saveBallot(new Ballot(1, "", true));
                mDisk.failAfter(operations);
                try {
                    killed.saveBallot(new Ballot(2, "b", true));
                } catch (PowerLostException e) {
                    // Here only the process ends.
                }
                mDisk.failAfter(Long.MAX_VALUE);

                Ballot found = DataFolder.open(mDisk.folder()).load().ballot();
                mDisk.losePower(new Random(seed));

                assertWithMessage("seed " + seed + " after " + operations)
                        .that(state().ballot())
                        .isEqualTo(found);
            }
        }
    }

    /** Entries that replace others after a truncation may be torn over what was synced there. */
    @Test
    void tornReplacementOfEntriesIsNoDamage() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            mDisk.wipe();
            DataFolder folder = opened();
            for (int i = 1; i <= 6; i++) {
                folder.append(i, entries(i, 1));
                folder.sync();
            }
            folder.truncateFrom(4);
            folder.append(4, entries(40, 2));
            mDisk.losePower(new Random(seed));

            List<Long> left = terms(state());

            assertWithMessage("seed " + seed).that(left.size()).isAtLeast(3);
            assertThat(left.subList(0, 3)).containsExactly(1L, 2L, 3L).inOrder();
        }
    }

    /** A name that outlived its log would vote for a replica that remembers nothing. */
    @Test
    void clearedFolderNeverKeepsItsNameWithoutItsLog() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            for (int operations = 0; operations < 16; operations++) {
                mDisk.wipe();
                DataFolder folder = opened();
                folder.saveIdentity(new byte[] {7});
                folder.saveBallot(new Ballot(2, "a", true));
                folder.append(1, entries(2, 2));
                folder.sync();
                mDisk.failAfter(operations);
                try {
                    folder.clear();
                } catch (PowerLostException e) {
                    // The power went; what is left is looked at.
                }
                mDisk.losePower(new Random(seed));

                DataFolder after = DataFolder.open(mDisk.folder());
                DurableState state = after.load();
                boolean whole = state.ballot().term() == 2 && state.entries().size() == 2;
                assertWithMessage("seed " + seed + " after " + operations)
                        .that(whole || after.loadIdentity().length == 0)
                        .isTrue();
            }
        }
    }

    /** Any writes in any order, with the power gone at any point of them. */
    @Test
    void whatWasSyncedIsThereAfterAnyLossOfPower() throws Exception {
        for (int seed = 1; seed <= 10 * SEEDS; seed++) {
            mDisk.wipe();
            new Run(seed).play();
        }
    }

    private DataFolder opened() throws Exception {
        DataFolder folder = DataFolder.open(mDisk.folder());
        folder.load();
        return folder;
    }

    private DurableState state() throws Exception {
        return DataFolder.open(mDisk.folder()).load();
    }

    private static List<LogEntry> entries(long firstTerm, int count) {
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            byte[] payload = new byte[20 + (int) (firstTerm + i) % 7];
            entries.add(new LogEntry(firstTerm + i, payload));
        }
        return entries;
    }

    private static List<Long> terms(DurableState state) {
        return state.entries().stream().map(LogEntry::term).toList();
    }

    /** Random writes; knows what of them must be there, and what may. */
    private final class Run {
        private final Random mRandom;
        private final String mName;
        private DataFolder mFolder;
        private List<Long> mTerms = new ArrayList<>();
        private List<Long> mSynced = List.of();
        private long mBase;
        private long mMaySnapshot;
        private long mTerm;
        private Ballot mBallot = Ballot.empty();
        private Ballot mMayBallot = Ballot.empty();

        Run(long seed) {
            mRandom = new Random(seed);
            mName = "seed " + seed;
        }

        void play() throws Exception {
            mFolder = opened();
            for (int loss = 0; loss < 3; loss++) {
                mDisk.failAfter(mRandom.nextInt(MAX_OPERATIONS));
                try {
                    for (int i = 0; i < STEPS; i++) {
                        step();
                    }
                } catch (PowerLostException e) {
                    // Goes on with what is left.
                }
                mDisk.losePower(mRandom);
                check();
            }
        }

        private void step() throws Exception {
            long last = mBase + mTerms.size();
            switch (mRandom.nextInt(6)) {
                case 0, 1 -> {
                    int count = 1 + mRandom.nextInt(3);
                    mTerms.addAll(terms(count));
                    mFolder.append(last + 1, entries(mTerm - count + 1, count));
                }
                case 2 -> {
                    if (!mTerms.isEmpty()) {
                        int kept = mRandom.nextInt(mTerms.size());
                        mTerms = new ArrayList<>(mTerms.subList(0, kept));
                        // From now on the entries after it may go, whether synced or not.
                        mSynced = mSynced.subList(0, Math.min(kept, mSynced.size()));
                        mFolder.truncateFrom(mBase + kept + 1);
                    }
                }
                case 3 -> {
                    mFolder.sync();
                    mSynced = List.copyOf(mTerms);
                }
                case 4 -> {
                    mMayBallot = new Ballot(++mTerm, "x", true);
                    mFolder.saveBallot(mMayBallot);
                    mBallot = mMayBallot;
                }
                default -> snapshot();
            }
        }

        /** Replaces synced entries by a snapshot, as only such are ever committed. */
        private void snapshot() throws Exception {
            if (mSynced.isEmpty()) {
                return;
            }
            int covered = 1 + mRandom.nextInt(mSynced.size());
            List<Long> keep = List.copyOf(mTerms.subList(covered, mTerms.size()));
            List<LogEntry> entries = new ArrayList<>();
            keep.forEach(term -> entries.addAll(entries(term, 1)));
            mMaySnapshot = mBase + covered;
            mFolder.saveSnapshot(
                    new Compaction(
                            mMaySnapshot,
                            mTerms.get(covered - 1),
                            MEMBERS,
                            new byte[] {(byte) mMaySnapshot},
                            entries));
            mBase = mMaySnapshot;
            mTerms = new ArrayList<>(keep);
            mSynced = keep;
        }

        private void check() throws Exception {
            mFolder = DataFolder.open(mDisk.folder());
            DurableState state = mFolder.load();
            assertWithMessage(mName).that(state.ballot()).isAnyOf(mBallot, mMayBallot);
            assertWithMessage(mName).that(state.snapshotIndex()).isAnyOf(mBase, mMaySnapshot);
            if (state.snapshotIndex() > 0) {
                assertThat(state.snapshot()).isEqualTo(new byte[] {(byte) state.snapshotIndex()});
                assertThat(state.snapshotMembership()).isEqualTo(MEMBERS);
            }
            List<Long> found = DataFolderPowerLossTest.terms(state);
            int skip = (int) (state.snapshotIndex() - mBase);
            List<Long> must = mSynced.subList(Math.min(skip, mSynced.size()), mSynced.size());
            assertWithMessage(mName).that(found.size()).isAtLeast(must.size());
            assertWithMessage(mName).that(found.subList(0, must.size())).isEqualTo(must);
            mBallot = state.ballot();
            mMayBallot = mBallot;
            mBase = state.snapshotIndex();
            mMaySnapshot = mBase;
            mTerms = new ArrayList<>(found);
            mSynced = List.copyOf(found);
        }

        private List<Long> terms(int count) {
            List<Long> terms = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                terms.add(++mTerm);
            }
            return terms;
        }
    }
}
