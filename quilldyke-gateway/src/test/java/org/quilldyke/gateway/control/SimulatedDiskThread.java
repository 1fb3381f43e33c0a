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

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.TimeUnit;
import org.quilldyke.testkit.check.CheckReport;
import org.quilldyke.testkit.disk.PowerLossDisk;
import org.quilldyke.testkit.disk.PowerLostException;

/** A process's disk thread in virtual time: each write takes some milliseconds. */
final class SimulatedDiskThread extends AbstractExecutorService {
    private static final int MAX_FAST_WRITE_MILLIS = 8;
    private static final int MAX_SLOW_WRITE_MILLIS = 300;
    private static final int WRITES_PER_SLOW_WRITE = 40;

    /** More than the disk operations of the longest write. */
    private static final int MAX_OPERATIONS = 24;

    private final Deque<Runnable> mWrites = new ArrayDeque<>();
    private final PowerLossDisk mDisk;
    private final Random mRandom;
    private final CheckReport mReport;
    private long mDueAt = -1;
    private long mStalledUntil;

    SimulatedDiskThread(PowerLossDisk disk, Random random, CheckReport report) {
        mDisk = disk;
        mRandom = random;
        mReport = report;
    }

    @Override
    public void execute(Runnable write) {
        mWrites.add(write);
    }

    /** Executes the next write if it is due. */
    void runDue(long now) {
        if (mWrites.isEmpty() || now < mStalledUntil) {
            return;
        }
        if (mDueAt < 0) {
            boolean slow = mRandom.nextInt(WRITES_PER_SLOW_WRITE) == 0;
            mDueAt = now + mRandom.nextInt(slow ? MAX_SLOW_WRITE_MILLIS : MAX_FAST_WRITE_MILLIS);
        }
        if (now >= mDueAt) {
            mDueAt = -1;
            mWrites.remove().run();
        }
    }

    /** Delays writes until the given time. */
    void stallUntil(long until) {
        mStalledUntil = until;
    }

    /**
     * Executes a random part of the pending writes, as when the process ends during any disk
     * operation.
     */
    void abort() {
        mDisk.failAfter(mRandom.nextInt(MAX_OPERATIONS));
        try {
            while (!mWrites.isEmpty() && mRandom.nextInt(4) > 0) {
                mWrites.remove().run();
            }
        } catch (PowerLostException e) {
            mReport.count("fault killed during a write");
        }
        mWrites.clear();
        mDisk.failAfter(Long.MAX_VALUE);
    }

    @Override
    public void shutdown() {
        mWrites.clear();
    }

    @Override
    public List<Runnable> shutdownNow() {
        mWrites.clear();
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return true;
    }
}
