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

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.quilldyke.control.ReplicaSettings;
import org.quilldyke.daemon.log.EventLog;

/**
 * What is confirmed must be applied: an entry instance was told that its configuration is the
 * newest between an entry's commit and its application, and then took a withdrawn key for good.
 */
final class ReplicaNodeReadTest {
    private static final int MAX_TASKS = 2000;

    @TempDir Path mFolder;
    private final StepLoop mLoop = new StepLoop();
    private final Recorder mMachine = new Recorder();
    private long mNow;

    @Test
    void nothingIsConfirmedBeforeItIsApplied() throws Exception {
        ReplicaNode<String> node =
                ReplicaNode.load(
                        new ReplicaNode.Environment(mLoop, () -> mNow, EventLog.of("a")),
                        DataFolder.open(mFolder),
                        ReplicaSettings.of("a", List.of()),
                        new SplittableRandom(1),
                        mMachine,
                        (to, message) -> {},
                        new ReplicaNode.Listener() {
                            @Override
                            public void onLeadership(boolean leads) {
                                // Read from the node.
                            }
                        });
        node.start();
        for (int i = 0; i < MAX_TASKS && !node.isLeader(); i++) {
            step();
        }
        assertThat(node.isLeader()).isTrue();

        boolean sawWindow = false;
        node.propose("x".getBytes(StandardCharsets.UTF_8));
        for (int i = 0; i < MAX_TASKS && mMachine.mApplied.isEmpty(); i++) {
            step();
            boolean committed = node.replica().commitIndex() > node.appliedIndex();
            if (committed) {
                sawWindow |= node.replica().confirmedAt(mNow) != Long.MIN_VALUE;
                assertThat(node.confirmedAt()).isEqualTo(Long.MIN_VALUE);
            }
        }
        assertThat(sawWindow).isTrue();
        assertThat(mMachine.mApplied).containsExactly("x");
        assertThat(node.appliedIndex()).isEqualTo(node.replica().commitIndex());
        assertThat(node.confirmedAt()).isNotEqualTo(Long.MIN_VALUE);
        node.stop();
    }

    private void step() throws InterruptedException {
        Runnable task = mLoop.mTasks.poll(20, TimeUnit.MILLISECONDS);
        if (task != null) {
            task.run();
        } else {
            mNow += 10;
            mLoop.runScheduled();
        }
    }

    /** Runs one task when told to; those for later when there is nothing else. */
    private static final class StepLoop implements ControlLoop {
        final LinkedBlockingQueue<Runnable> mTasks = new LinkedBlockingQueue<>();
        private final List<Runnable> mLater = new ArrayList<>();

        @Override
        public void execute(Runnable task) {
            mTasks.add(task);
        }

        @Override
        public synchronized void schedule(long millis, Runnable task) {
            mLater.add(task);
        }

        synchronized void runScheduled() {
            mTasks.addAll(mLater);
            mLater.clear();
        }
    }

    private static final class Recorder implements ReplicatedMachine<String> {
        final List<String> mApplied = new ArrayList<>();

        @Override
        public String apply(long index, byte[] command) {
            mApplied.add(new String(command, StandardCharsets.UTF_8));
            return "";
        }

        @Override
        public byte[] snapshot() {
            return new byte[0];
        }

        @Override
        public void restore(byte[] snapshot) {
            mApplied.clear();
        }
    }
}
