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
package org.quilldyke.testkit.disk;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * One folder of files in memory that can lose power between any two operations.
 *
 * <p>After a loss of power a file holds what its last sync covered, and each later write is there,
 * torn or missing; sometimes all later ones are gone. A new file's name is durable with the file's
 * own sync, other names once the folder is synced; until then each change of a name is kept or lost
 * by itself. When a program merely ends, all stays as it was. A disk that fills up takes a part of
 * one write and refuses all after it.
 */
public final class PowerLossDisk {
    private static final int DROP_ALL_IN = 4;
    private static final long NO_LIMIT = Long.MAX_VALUE;

    private final List<Naming> mNamings = new ArrayList<>();
    private final DiskPath mFolder = DiskPath.folderOf(this);
    private Map<String, DiskFile> mNames = new TreeMap<>();
    private Map<String, DiskFile> mSyncedNames = new TreeMap<>();
    private long mOperationsLeft = NO_LIMIT;
    private long mRoom = NO_LIMIT;

    /** Returns an empty disk. */
    public static PowerLossDisk create() {
        return new PowerLossDisk();
    }

    /** Returns the folder, to be used as any other. */
    public Path folder() {
        return mFolder;
    }

    /** Has the power go after so many operations more, with {@link PowerLostException}. */
    public void failAfter(long operations) {
        mOperationsLeft = operations;
    }

    /**
     * Has the disk take so many bytes more and refuse each write after them; what is removed makes
     * no room.
     */
    public void fillUpAfter(long bytes) {
        mRoom = bytes;
    }

    /** Has the disk take all writes again. */
    public void makeRoom() {
        mRoom = NO_LIMIT;
    }

    /** Returns whether the disk refuses writes, or soon will. */
    public boolean isFillingUp() {
        return mRoom != NO_LIMIT;
    }

    /** Takes the power away and gives it back: what wasn't synced is there in part. */
    public void losePower(Random random) {
        boolean dropAll = random.nextInt(DROP_ALL_IN) == 0;
        for (Naming naming : mNamings) {
            if (!dropAll && random.nextBoolean()) {
                naming.apply(mSyncedNames);
            }
        }
        mNamings.clear();
        mNames = new TreeMap<>(mSyncedNames);
        mNames.values().forEach(file -> file.losePower(random, dropAll));
        mOperationsLeft = NO_LIMIT;
    }

    /** Loses all content, as a machine with a new disk does. */
    public void wipe() {
        mNamings.clear();
        mNames.clear();
        mSyncedNames.clear();
        mOperationsLeft = NO_LIMIT;
        mRoom = NO_LIMIT;
    }

    /** Returns whether there is no file. */
    public boolean isEmpty() {
        return mNames.isEmpty();
    }

    DiskFile find(String name) {
        return mNames.get(name);
    }

    DiskFile create(String name) {
        DiskFile file = new DiskFile();
        operate(() -> change(new Naming("", name, file)));
        return file;
    }

    void rename(String from, String to) {
        operate(() -> change(new Naming(from, to, mNames.get(from))));
    }

    void remove(String name) {
        operate(() -> change(new Naming(name, "", mNames.get(name))));
    }

    void syncFolder() {
        operate(
                () -> {
                    mNamings.clear();
                    mSyncedNames = new TreeMap<>(mNames);
                });
    }

    void sync(DiskFile file) {
        operate(
                () -> {
                    file.sync();
                    keepCreation(file);
                });
    }

    /** Returns how many of the wanted bytes there is room for, and takes it. */
    int takeRoom(int wanted) {
        int taken = (int) Math.min(wanted, mRoom);
        mRoom -= mRoom == NO_LIMIT ? 0 : taken;
        return taken;
    }

    /** Does what changes the disk; the power may go before or after it. */
    void operate(Runnable operation) {
        usePower();
        operation.run();
        usePower();
    }

    private void usePower() {
        if (mOperationsLeft <= 0) {
            throw new PowerLostException();
        }
        mOperationsLeft -= mOperationsLeft == NO_LIMIT ? 0 : 1;
    }

    private void change(Naming naming) {
        naming.apply(mNames);
        mNamings.add(naming);
    }

    private void keepCreation(DiskFile file) {
        for (Naming naming : List.copyOf(mNamings)) {
            if (naming.file() == file && naming.from().isEmpty()) {
                naming.apply(mSyncedNames);
                mNamings.remove(naming);
            }
        }
    }

    /**
     * A change of a name: a creation, a removal or both.
     *
     * @param from the name that the file no longer has, empty if it had none
     * @param to the name that it has, empty if it has none
     */
    private record Naming(String from, String to, DiskFile file) {
        void apply(Map<String, DiskFile> names) {
            names.remove(from, file);
            if (!to.isEmpty()) {
                names.put(to, file);
            }
        }
    }
}
