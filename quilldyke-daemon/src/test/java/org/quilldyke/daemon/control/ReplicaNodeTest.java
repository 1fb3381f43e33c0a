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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.control.Ballot;
import org.quilldyke.control.Compaction;
import org.quilldyke.control.DurableState;
import org.quilldyke.control.LogEntry;
import org.quilldyke.control.PeerMessage;
import org.quilldyke.control.ReplicaSettings;
import org.quilldyke.daemon.log.EventLog;

/** Three replicas with files, each on a thread of its own, whose disks are slow or full. */
class ReplicaNodeTest {
    private static final List<String> IDS = List.of("a", "b", "c");
    private static final int SLOW_MILLIS = 450;

    @TempDir Path mFolder;
    private final Map<String, Node> mNodes = new ConcurrentHashMap<>();

    @AfterEach
    void stop() throws Exception {
        for (Node node : mNodes.values()) {
            node.stop();
        }
    }

    /**
     * Syncs on the control thread once held up heartbeats, so that leaders were never accepted. A
     * first leader may give way to an election that began before it won (SlowDiskElectionTest shows
     * both in simulated time), so the one that all follow counts.
     */
    @Test
    void disksSlowerThanAnElectionDontUnseatTheLeader() throws Exception {
        for (String id : IDS) {
            start(id).mStorage.mDelayMillis = SLOW_MILLIS;
        }
        Node leader = awaitLeaderOfAll();
        int elected = leader.mTimesElected;

        for (int i = 0; i < 5; i++) {
            assertThat(leader.propose("x" + i).get(5, TimeUnit.SECONDS)).isEqualTo("x" + i);
        }

        assertThat(leader.mNode.isLeader()).isTrue();
        assertThat(leader.mTimesElected).isEqualTo(elected);
    }

    @Test
    void fullDiskOfOneHoldsUpNobodyAndIsWrittenLater() throws Exception {
        for (String id : IDS) {
            start(id);
        }
        Node leader = awaitLeader();
        assertThat(leader.propose("before").get(5, TimeUnit.SECONDS)).isEqualTo("before");

        leader.mStorage.mFull = true;
        assertThat(leader.propose("while").get(5, TimeUnit.SECONDS)).isEqualTo("while");
        leader.mStorage.mFull = false;
        assertThat(leader.propose("after").get(5, TimeUnit.SECONDS)).isEqualTo("after");

        Thread.sleep(500);
        assertThat(leader.mNode.isLeader()).isTrue();
        leader.stop();
        mNodes.remove(leader.mId);
        try (DataFolder folder = DataFolder.open(mFolder.resolve(leader.mId))) {
            List<String> commands = new ArrayList<>();
            for (LogEntry entry : folder.load().entries()) {
                commands.add(new String(entry.payload(), StandardCharsets.UTF_8));
            }
            assertThat(commands).containsAtLeast("before", "while", "after").inOrder();
        }
    }

    @Test
    void leaderThatShutsDownHandsLeadershipOnAtOnce() throws Exception {
        for (String id : IDS) {
            start(id);
        }
        Node leader = awaitLeader();
        leader.propose("x").get(5, TimeUnit.SECONDS);

        long start = System.nanoTime();
        leader.mLoop.execute(leader.mNode::transferLeadership);
        Node next = awaitOtherLeader(leader);

        assertThat(next).isNotSameInstanceAs(leader);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)).isLessThan(250L);
    }

    private Node start(String id) throws Exception {
        Node node = new Node(id);
        mNodes.put(id, node);
        node.start();
        return node;
    }

    private Node awaitLeader() throws Exception {
        return awaitOtherLeader(null);
    }

    private Node awaitLeaderOfAll() throws Exception {
        for (int i = 0; i < 4000; i++) {
            Node leader = awaitLeader();
            if (mNodes.values().stream().allMatch(n -> n.mNode.leader().equals(leader.mId))) {
                return leader;
            }
            Thread.sleep(5);
        }
        throw new AssertionError("no leader that all follow in 20 s");
    }

    private Node awaitOtherLeader(Node than) throws Exception {
        for (int i = 0; i < 2000; i++) {
            for (Node node : mNodes.values()) {
                if (node != than && node.mNode != null && node.mNode.isLeader()) {
                    return node;
                }
            }
            Thread.sleep(5);
        }
        throw new AssertionError("no leader in 10 s");
    }

    private final class Node implements ReplicaNode.Listener {
        final String mId;
        final ScheduledExecutorService mThread = Executors.newSingleThreadScheduledExecutor();
        final SlowStorage mStorage;
        volatile ReplicaNode<String> mNode;
        volatile int mTimesElected;
        final ControlLoop mLoop =
                new ControlLoop() {
                    @Override
                    public void execute(Runnable task) {
                        if (!mThread.isShutdown()) {
                            mThread.execute(task);
                        }
                    }

                    @Override
                    public void schedule(long millis, Runnable task) {
                        mThread.schedule(task, millis, TimeUnit.MILLISECONDS);
                    }
                };

        Node(String id) throws QuilldykeException {
            mId = id;
            mStorage = new SlowStorage(DataFolder.open(mFolder.resolve(id)));
        }

        void start() throws Exception {
            List<String> others = new ArrayList<>(IDS);
            others.remove(mId);
            ReplicaNode.Environment environment =
                    new ReplicaNode.Environment(
                            mLoop, () -> System.nanoTime() / 1_000_000, EventLog.of(mId));
            mThread.submit(
                            () -> {
                                mNode =
                                        ReplicaNode.load(
                                                environment,
                                                mStorage,
                                                ReplicaSettings.of(mId, others),
                                                new SplittableRandom(mId.hashCode()),
                                                new Echo(),
                                                this::send,
                                                this);
                                mNode.start();
                                return null;
                            })
                    .get();
        }

        CompletableFuture<String> propose(String text) {
            CompletableFuture<String> done = new CompletableFuture<>();
            mLoop.execute(
                    () ->
                            mNode.propose(text.getBytes(StandardCharsets.UTF_8))
                                    .whenComplete(
                                            (result, e) -> {
                                                if (e == null) {
                                                    done.complete(result);
                                                } else {
                                                    done.completeExceptionally(e);
                                                }
                                            }));
            return done;
        }

        void send(String to, PeerMessage message) {
            Node node = mNodes.get(to);
            if (node != null && node.mNode != null) {
                node.mLoop.execute(() -> node.mNode.receive(mId, message));
            }
        }

        void stop() throws Exception {
            mThread.submit(
                            () -> {
                                mNode.stop();
                                return null;
                            })
                    .get();
            mThread.shutdown();
        }

        @Override
        public void onLeadership(boolean leads) {
            mTimesElected += leads ? 1 : 0;
        }
    }

    /** Results in the command itself. */
    private static final class Echo implements ReplicatedMachine<String> {
        private final Map<Long, String> mApplied = new HashMap<>();

        @Override
        public String apply(long index, byte[] command) {
            mApplied.put(index, new String(command, StandardCharsets.UTF_8));
            return mApplied.get(index);
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

    private static final class SlowStorage implements ReplicaStorage {
        volatile int mDelayMillis;
        volatile boolean mFull;
        private final DataFolder mFiles;

        SlowStorage(DataFolder files) {
            mFiles = files;
        }

        @Override
        public DurableState load() throws QuilldykeException {
            return mFiles.load();
        }

        @Override
        public long cutBytes() {
            return mFiles.cutBytes();
        }

        @Override
        public void saveBallot(Ballot ballot) throws QuilldykeException {
            delay();
            mFiles.saveBallot(ballot);
        }

        @Override
        public void append(long firstIndex, List<LogEntry> entries) throws QuilldykeException {
            if (mFull) {
                throw QuilldykeException.of(ResultCode.DISK_FAILED, Outcome.UNKNOWN, "full");
            }
            mFiles.append(firstIndex, entries);
        }

        @Override
        public void truncateFrom(long index) throws QuilldykeException {
            mFiles.truncateFrom(index);
        }

        @Override
        public void sync() throws QuilldykeException {
            delay();
            mFiles.sync();
        }

        @Override
        public void saveSnapshot(Compaction c) throws QuilldykeException {
            mFiles.saveSnapshot(c);
        }

        @Override
        public void close() throws QuilldykeException {
            mFiles.close();
        }

        private void delay() {
            try {
                Thread.sleep(mDelayMillis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
