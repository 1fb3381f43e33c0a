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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.control.Ballot;
import org.quilldyke.control.Compaction;
import org.quilldyke.control.DurableState;
import org.quilldyke.control.LogEntry;
import org.quilldyke.control.Membership;
import org.quilldyke.control.PeerMessage;
import org.quilldyke.control.Replica;
import org.quilldyke.control.ReplicaAction;
import org.quilldyke.control.ReplicaSettings;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;

/**
 * A replica with its files: carries out what {@link Replica} decides.
 *
 * <p>Lives on the control thread, but for the files, which a thread of their own writes: a disk
 * that stalls or is full holds up acknowledgements and votes, and nothing else. All inputs of one
 * turn of the event loop share one sync.
 *
 * @param <R> what a command results in
 */
public final class ReplicaNode<R> {
    private static final int TICK_MILLIS = 10;
    private static final int ENTRIES_BEFORE_SNAPSHOT = 5000;

    /** A log of this size is replaced by a snapshot: a small part of the smallest disk of 64 MB. */
    private static final long BYTES_BEFORE_SNAPSHOT = 4 << 20;

    private final Environment mEnvironment;
    private final ReplicaStorage mStorage;
    private final DiskQueue mDisk;
    private final Replica mReplica;
    private final ReplicatedMachine<R> mMachine;
    private final BiConsumer<String, PeerMessage> mSend;
    private final Listener mListener;
    private final Map<Long, Pending<R>> mPending = new HashMap<>();
    private final List<ReplicaAction> mActions = new ArrayList<>();
    private DiskJob mLastBallotJob;
    private boolean mWasTrusted;
    private boolean mDrainPosted;
    private boolean mStopped;
    private long mBytesSinceSnapshot;
    private long mAppliedIndex;
    private long mWonAt;

    private ReplicaNode(
            Environment environment,
            ReplicaStorage storage,
            Replica replica,
            ReplicatedMachine<R> machine,
            BiConsumer<String, PeerMessage> send,
            Listener listener) {
        mEnvironment = environment;
        mStorage = storage;
        mDisk = environment.disk();
        mReplica = replica;
        mMachine = machine;
        mSend = send;
        mListener = listener;
        mWasTrusted = replica.isTrusted();
        mAppliedIndex = replica.appliedIndex();
    }

    /**
     * Makes a replica of what its folder holds; call it on the control thread.
     *
     * @param environment the control thread, the clock and the log
     * @param storage the replica's files
     * @param disk what {@link ReplicaStorage#load} found there
     * @param replica made of the same
     * @param machine the state that the log makes
     * @param send sends a message to another replica, best effort
     * @param listener hears of changes
     * @throws QuilldykeException if the snapshot can't be read
     */
    public static <R> ReplicaNode<R> of(
            Environment environment,
            ReplicaStorage storage,
            DurableState disk,
            Replica replica,
            ReplicatedMachine<R> machine,
            BiConsumer<String, PeerMessage> send,
            Listener listener)
            throws QuilldykeException {
        if (storage.cutBytes() > 0) {
            environment.log().write(Event.LOG_CUT, "bytes", storage.cutBytes());
        }
        machine.restore(disk.snapshot());
        ReplicaNode<R> node =
                new ReplicaNode<>(environment, storage, replica, machine, send, listener);
        // Else a log grows for good whose processes end before each has written enough.
        node.countBytes(disk.entries());
        return node;
    }

    /**
     * Loads a replica of a group whose members are fixed; call it on the control thread.
     *
     * @param environment the control thread, the clock and the log
     * @param storage the replica's files
     * @param settings who takes part
     * @param random draws election times
     * @param machine the state that the log makes
     * @param send sends a message to another replica, best effort
     * @param listener hears of changes
     * @throws QuilldykeException if the files are damaged or can't be read
     */
    public static <R> ReplicaNode<R> load(
            Environment environment,
            ReplicaStorage storage,
            ReplicaSettings settings,
            RandomGenerator random,
            ReplicatedMachine<R> machine,
            BiConsumer<String, PeerMessage> send,
            Listener listener)
            throws QuilldykeException {
        DurableState disk = storage.load();
        long now = environment.now();
        Replica replica = Replica.restore(settings, disk, random, now, now);
        return of(environment, storage, disk, replica, machine, send, listener);
    }

    /** Starts to tick. */
    public void start() {
        tick();
    }

    /** Stops without a word to the others, and closes the files. */
    public void stop() throws QuilldykeException {
        mStopped = true;
        failPending("stopped");
        mDisk.close();
        mStorage.close();
    }

    /** Takes a message from another replica. */
    public void receive(String from, PeerMessage message) {
        run(() -> mReplica.receive(from, message, now()));
    }

    /**
     * Proposes a command.
     *
     * @return the result once it is applied; fails with {@link ResultCode#NO_LEADER} if this
     *     replica doesn't lead, leads no longer before the result is known, or too few replicas
     *     vote yet
     */
    public CompletableFuture<R> propose(byte[] command) {
        CompletableFuture<R> future = new CompletableFuture<>();
        long index = mStopped ? -1 : mReplica.propose(command);
        if (index < 0) {
            future.completeExceptionally(noLeader(mReplica.leader()));
            return future;
        }
        mPending.put(index, new Pending<>(mReplica.term(), future));
        run(() -> mReplica.flush(now()));
        return future;
    }

    /** Proposes a change of membership; returns whether it was taken. */
    public boolean proposeMembership(Membership next) {
        long[] index = {-1};
        run(
                () -> {
                    index[0] = mReplica.proposeMembership(next);
                    return mReplica.flush(now());
                });
        return index[0] >= 0;
    }

    /** Hands leadership on, if this replica leads. */
    public void transferLeadership() {
        run(() -> mReplica.transferLeadership(now()));
    }

    /** Returns whether this replica leads. */
    public boolean isLeader() {
        return !mStopped && mReplica.isLeader();
    }

    /** Returns whether this replica leads and surely no other does. */
    public boolean holdsLease() {
        return !mStopped && mReplica.holdsLease(now());
    }

    /** Returns for how long this replica has led, in milliseconds. */
    public long leadingFor() {
        return isLeader() ? now() - mWonAt : 0;
    }

    /** Returns when this replica was elected last, in milliseconds of the clock. */
    public long leaderSince() {
        return mWonAt;
    }

    /** Returns the leader's id, empty if not known. */
    public String leader() {
        return mReplica.leader();
    }

    /** Returns when the leader was last seen. */
    public long leaderSeenAt() {
        return mReplica.leaderSeenAt(now());
    }

    /**
     * Returns the index of the last entry that the machine has taken. The replica itself may be
     * ahead: it gives out entries a moment before they are applied.
     */
    public long appliedIndex() {
        return mAppliedIndex;
    }

    /**
     * Returns the time up to which surely no other replica led, see {@link Replica#confirmedAt};
     * and the machine has taken all that was committed. {@link Long#MIN_VALUE} if that isn't so.
     */
    public long confirmedAt() {
        return mAppliedIndex < mReplica.commitIndex()
                ? Long.MIN_VALUE
                : mReplica.confirmedAt(now());
    }

    /** Returns whether the machine has taken all that {@link Replica#isCurrent} speaks of. */
    public boolean isCurrent() {
        return mAppliedIndex >= mReplica.commitIndex() && mReplica.isCurrent();
    }

    /** Returns the replica, to be read. */
    public Replica replica() {
        return mReplica;
    }

    private void tick() {
        if (mStopped) {
            return;
        }
        mEnvironment.loop().schedule(TICK_MILLIS, this::tick);
        run(() -> mReplica.tick(now()));
    }

    private void run(Step step) {
        if (mStopped) {
            return;
        }
        try {
            mActions.addAll(step.run());
        } catch (QuilldykeException e) {
            mEnvironment.log().write(Event.INVARIANT, "detail", e.getMessage());
        }
        if (!mActions.isEmpty() && !mDrainPosted) {
            mDrainPosted = true;
            mEnvironment.loop().execute(this::drain);
        }
    }

    private void drain() {
        mDrainPosted = false;
        while (!mActions.isEmpty() && !mStopped) {
            List<ReplicaAction> batch = new ArrayList<>(mActions);
            mActions.clear();
            carryOut(batch);
        }
        compactIfLong();
    }

    private void carryOut(List<ReplicaAction> batch) {
        store(batch);
        for (ReplicaAction action : batch) {
            if (action instanceof ReplicaAction.Send send) {
                send(send);
            } else if (action instanceof ReplicaAction.Apply apply) {
                apply(apply.index(), apply.entry());
                mAppliedIndex = apply.index();
            } else if (action instanceof ReplicaAction.InstallSnapshot install) {
                restore(install.snapshot());
                mAppliedIndex = install.index();
            } else if (action instanceof ReplicaAction.LeadershipWon won) {
                mWonAt = now();
                mEnvironment.log().write(Event.LEADER_WON, "term", won.term());
                mListener.onLeadership(true);
            } else if (action instanceof ReplicaAction.LeadershipLost lost) {
                mEnvironment.log().write(Event.LEADER_LOST, "term", lost.term());
                failPending("leadership lost");
                mListener.onLeadership(false);
            }
        }
    }

    private void send(ReplicaAction.Send send) {
        if (send.needsStoredBallot() && mLastBallotJob != null) {
            mLastBallotJob.heldBack().add(send);
        } else {
            mSend.accept(send.to(), send.message());
        }
    }

    /** Hands what is to be stored to the disk's thread. */
    private void store(List<ReplicaAction> batch) {
        List<ReplicaAction> writes = new ArrayList<>();
        Ballot ballot = null;
        for (ReplicaAction action : batch) {
            if (action instanceof ReplicaAction.SaveBallot save) {
                int last = writes.size() - 1;
                if (last >= 0 && writes.get(last) instanceof ReplicaAction.SaveBallot) {
                    // Nobody is told of that one; a vote of a new term would take two syncs.
                    writes.remove(last);
                }
                writes.add(action);
                ballot = save.ballot();
                noteTrust(save.ballot());
            } else if (action instanceof ReplicaAction.AppendLog append) {
                writes.add(action);
                countBytes(append.entries());
            } else if (action instanceof ReplicaAction.TruncateLog
                    || action instanceof ReplicaAction.InstallSnapshot) {
                writes.add(action);
            }
        }
        if (writes.isEmpty()) {
            return;
        }
        DiskJob job =
                new DiskJob(
                        ballot,
                        mReplica.lastIndex(),
                        mReplica.truncationEpoch(),
                        new ArrayList<>());
        if (ballot != null) {
            mLastBallotJob = job;
        }
        mDisk.submit(() -> write(writes), () -> onStored(job));
    }

    private void countBytes(List<LogEntry> entries) {
        entries.forEach(entry -> mBytesSinceSnapshot += entry.payload().length);
    }

    /** Writes and syncs, on the disk's thread. */
    private void write(List<ReplicaAction> writes) throws QuilldykeException {
        boolean toSync = false;
        for (ReplicaAction action : writes) {
            if (action instanceof ReplicaAction.SaveBallot save) {
                if (toSync) {
                    // A ballot may say that the entries before it are there.
                    mStorage.sync();
                    toSync = false;
                }
                mStorage.saveBallot(save.ballot());
            } else if (action instanceof ReplicaAction.TruncateLog truncate) {
                mStorage.truncateFrom(truncate.fromIndex());
                toSync = true;
            } else if (action instanceof ReplicaAction.AppendLog append) {
                mStorage.append(append.firstIndex(), append.entries());
                toSync = true;
            } else if (action instanceof ReplicaAction.InstallSnapshot i) {
                mStorage.saveSnapshot(
                        new Compaction(
                                i.index(), i.term(), i.membership(), i.snapshot(), List.of()));
            }
        }
        if (toSync) {
            mStorage.sync();
        }
    }

    private void onStored(DiskJob job) {
        if (mStopped) {
            return;
        }
        if (mLastBallotJob == job) {
            mLastBallotJob = null;
        }
        if (job.ballot() != null) {
            mReplica.onBallotStored(job.ballot(), now());
        }
        job.heldBack().forEach(send -> mSend.accept(send.to(), send.message()));
        run(() -> mReplica.onSynced(job.index(), job.epoch()));
    }

    private void noteTrust(Ballot ballot) {
        boolean repaired = ballot.trusted() && !mWasTrusted && mReplica.lastIndex() > 0;
        mWasTrusted = ballot.trusted();
        if (repaired) {
            mEnvironment
                    .log()
                    .write(Event.LOG_REPAIRED, "term", ballot.term(), "last", mReplica.lastIndex());
        }
    }

    private void apply(long index, LogEntry entry) {
        Pending<R> pending = mPending.remove(index);
        if (entry.membership() != null) {
            mListener.onMembership(entry.membership());
        }
        if (entry.hasNoCommand()) {
            fail(pending);
            return;
        }
        try {
            R result = mMachine.apply(index, entry.payload());
            if (pending != null && pending.term() == entry.term()) {
                pending.future().complete(result);
            } else {
                fail(pending);
            }
        } catch (QuilldykeException e) {
            mEnvironment.log().write(Event.INVARIANT, "index", index, "detail", e.getMessage());
            fail(pending);
        }
    }

    private void fail(Pending<R> pending) {
        if (pending != null) {
            pending.future().completeExceptionally(noLeader(mReplica.leader()));
        }
    }

    private void restore(byte[] snapshot) {
        try {
            mMachine.restore(snapshot);
        } catch (QuilldykeException e) {
            mEnvironment.log().write(Event.INVARIANT, "detail", e.getMessage());
        }
    }

    private void compactIfLong() {
        long entries = mReplica.appliedIndex() - mReplica.snapshotIndex();
        boolean isLong =
                entries >= ENTRIES_BEFORE_SNAPSHOT
                        || mBytesSinceSnapshot >= mEnvironment.bytesBeforeSnapshot();
        if (mStopped || entries == 0 || !isLong) {
            return;
        }
        Compaction compaction = mReplica.compact(mMachine.snapshot());
        mBytesSinceSnapshot = 0;
        countBytes(compaction.remainingEntries());
        mEnvironment
                .log()
                .write(
                        Event.SNAPSHOT_SAVED,
                        "index",
                        compaction.index(),
                        "bytes",
                        compaction.snapshot().length);
        mDisk.submit(() -> mStorage.saveSnapshot(compaction), () -> {});
    }

    private void failPending(String why) {
        List<Pending<R>> pending = new ArrayList<>(mPending.values());
        mPending.clear();
        pending.forEach(p -> p.future().completeExceptionally(noLeader(why)));
    }

    private long now() {
        return mEnvironment.now();
    }

    private static QuilldykeException noLeader(String detail) {
        return QuilldykeException.of(ResultCode.NO_LEADER, Outcome.UNKNOWN, detail);
    }

    /** Hears of changes, on the control thread. */
    public interface Listener {
        /** This replica leads now, or leads no longer. */
        void onLeadership(boolean leads);

        /** Another membership is committed. */
        default void onMembership(Membership membership) {}
    }

    /**
     * What a replica lives in.
     *
     * @param loop the control thread
     * @param clock monotonic milliseconds
     * @param log where events go
     * @param disk carries out its writes; it is closed with the replica
     * @param bytesBeforeSnapshot a log of this size is replaced by a snapshot
     */
    public record Environment(
            ControlLoop loop,
            LongSupplier clock,
            EventLog log,
            DiskQueue disk,
            long bytesBeforeSnapshot) {
        /** Creates an environment whose writes have a thread of their own. */
        public Environment(ControlLoop loop, LongSupplier clock, EventLog log) {
            this(loop, clock, log, DiskQueue.create(loop, log), BYTES_BEFORE_SNAPSHOT);
        }

        /** Returns the present time in monotonic milliseconds. */
        public long now() {
            return clock.getAsLong();
        }
    }

    private interface Step {
        List<ReplicaAction> run() throws QuilldykeException;
    }

    private record Pending<R>(long term, CompletableFuture<R> future) {}

    /**
     * A write that isn't finished.
     *
     * @param ballot the newest ballot that it stores, or null
     * @param index the end of the log when it was handed over
     * @param epoch {@link Replica#truncationEpoch} at that time
     * @param heldBack messages that may not leave before the ballot is stored
     */
    private record DiskJob(
            Ballot ballot, long index, long epoch, List<ReplicaAction.Send> heldBack) {}
}
