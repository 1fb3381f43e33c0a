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

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.quilldyke.control.ReplicaSettings;
import org.quilldyke.daemon.log.EventLog;

/**
 * A disk may fill up with a log that no snapshot replaces: a process that was restarted before its
 * log had grown to the size for one counted from nothing again. Found by reading.
 */
class ReplicaNodeGrowthTest {
    private static final long BYTES_BEFORE_SNAPSHOT = 1000;
    private static final int COMMAND_BYTES = 200;
    private static final int COMMANDS = 3;
    private static final int STARTS = 12;
    private static final int MAX_STEPS = 2000;

    @TempDir Path mFolder;
    private final LinkedBlockingQueue<Runnable> mTasks = new LinkedBlockingQueue<>();
    private final Queue<Runnable> mLater = new ArrayDeque<>();
    private long mNow;
    private int mApplied;

    @Test
    void logIsReplacedByASnapshotThoughProcessesEndBefore() throws Exception {
        for (int i = 0; i < STARTS; i++) {
            playOneProcess();
        }

        assertThat(Files.size(mFolder.resolve("log"))).isLessThan(3 * BYTES_BEFORE_SNAPSHOT);
    }

    private void playOneProcess() throws Exception {
        ReplicaNode<String> node = load();
        node.start();
        for (int i = 0; i < MAX_STEPS && !node.isLeader(); i++) {
            step();
        }
        mApplied = 0;
        for (int i = 0; i < COMMANDS; i++) {
            node.propose(new byte[COMMAND_BYTES]);
        }
        for (int i = 0; i < MAX_STEPS && mApplied < COMMANDS; i++) {
            step();
        }
        assertThat(mApplied).isAtLeast(COMMANDS);
        // Time for the snapshot to be written.
        for (int i = 0; i < 10; i++) {
            step();
        }
        node.stop();
        mTasks.clear();
        mLater.clear();
    }

    private ReplicaNode<String> load() throws Exception {
        EventLog log = EventLog.of("a");
        ControlLoop loop = new QueueLoop();
        return ReplicaNode.load(
                new ReplicaNode.Environment(
                        loop, () -> mNow, log, DiskQueue.create(loop, log), BYTES_BEFORE_SNAPSHOT),
                DataFolder.open(mFolder),
                ReplicaSettings.of("a", List.of()),
                new SplittableRandom(1),
                new Counter(),
                (to, message) -> {},
                leads -> {});
    }

    private void step() throws InterruptedException {
        Runnable task = mTasks.poll(5, TimeUnit.MILLISECONDS);
        if (task != null) {
            task.run();
        } else {
            mNow += 10;
            mTasks.addAll(mLater);
            mLater.clear();
        }
    }

    private final class QueueLoop implements ControlLoop {
        @Override
        public void execute(Runnable task) {
            mTasks.add(task);
        }

        @Override
        public void schedule(long millis, Runnable task) {
            mLater.add(task);
        }
    }

    private final class Counter implements ReplicatedMachine<String> {
        @Override
        public String apply(long index, byte[] command) {
            mApplied++;
            return "";
        }

        @Override
        public byte[] snapshot() {
            return new byte[0];
        }

        @Override
        public void restore(byte[] snapshot) {
            // It counts only what it is given.
        }
    }
}
