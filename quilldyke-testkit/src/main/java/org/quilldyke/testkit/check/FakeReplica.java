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
package org.quilldyke.testkit.check;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import org.quilldyke.QuilldykeException;
import org.quilldyke.control.Ballot;
import org.quilldyke.control.DurableState;
import org.quilldyke.control.LogEntry;
import org.quilldyke.control.Membership;
import org.quilldyke.control.MembershipPlanner;
import org.quilldyke.control.PeerMessage;
import org.quilldyke.control.Replica;
import org.quilldyke.control.ReplicaAction;
import org.quilldyke.control.ReplicaSettings;

/** A small shell around a real {@link Replica}: a disk that can fail, a clock that drifts. */
final class FakeReplica {
    private static final int SNAPSHOT_EVERY = 60;

    private static final int SLOW_SYNC_MILLIS = 300;

    final int mMachine;
    String mId;
    final FakeDisk mDisk = new FakeDisk();
    private ReplicaSettings mSettings;
    private final ClusterRun mRun;
    private final Random mRandom;
    private final double mDrift;
    private final long mOffset;
    private final Deque<DiskJob> mJobs = new ArrayDeque<>();
    private MembershipPlanner mPlanner = MembershipPlanner.create(1);
    private Replica mReplica;
    private long mLeaderSince;
    private long mNow;
    private List<ReplicaAction> mActions = new ArrayList<>();
    private boolean mBlank = true;

    FakeReplica(int machine, ReplicaSettings settings, ClusterRun run, Random random) {
        mMachine = machine;
        mId = settings.self();
        mSettings = settings;
        mRun = run;
        mRandom = random;
        // Clocks drift by one per cent at most, and start anywhere.
        mDrift = 0.99 + 0.02 * random.nextDouble();
        mOffset = random.nextInt(1_000_000);
    }

    boolean isUp() {
        return mReplica != null;
    }

    boolean isBlank() {
        return mBlank;
    }

    Replica replica() {
        return mReplica;
    }

    long clock(long now) {
        return mOffset + (long) (now * mDrift);
    }

    MembershipPlanner planner() {
        return mPlanner;
    }

    /** Takes another id, as a replica does whose disk came back empty. */
    void rename(ReplicaSettings settings) {
        mId = settings.self();
        mSettings = settings;
    }

    void start(long now) {
        mNow = now;
        mPlanner = MembershipPlanner.create(1);
        DurableState disk = mDisk.load();
        if (mRun.isDynamic() && !disk.ballot().trusted()) {
            disk = with(disk, new Ballot(disk.ballot().term(), "", true));
        }
        if (mRun.isBroken(Breaks.TRUST_EMPTY_DISK) && !disk.ballot().trusted()) {
            Ballot trusted = new Ballot(disk.ballot().term(), "", true);
            disk = with(disk, trusted);
        }
        if (mRun.isBroken(Breaks.FORGET_TERM)) {
            disk = with(disk, new Ballot(0, "", disk.ballot().trusted()));
        }
        mReplica =
                Replica.restore(
                        mSettings,
                        disk,
                        new SplittableRandom(mRandom.nextLong()),
                        clock(now),
                        clock(now));
        mRun.onStarted(this, disk);
    }

    void crash(boolean wipe) {
        if (!mJobs.isEmpty()) {
            write(mJobs.peek());
        }
        mJobs.clear();
        mDisk.crash(mRandom);
        mActions.clear();
        mReplica = null;
        if (wipe) {
            mDisk.wipe();
            mBlank = true;
        }
    }

    void tick(long now) throws QuilldykeException {
        mActions.addAll(mReplica.tick(clock(now)));
        drain(now);
        if (isUp() && mRun.isDynamic()) {
            changeMembership(now);
        }
    }

    /** Has the leader propose a change of membership, if one is due. */
    private void changeMembership(long now) throws QuilldykeException {
        Optional<Membership> next =
                mPlanner.nextMembership(mReplica, mId, mLeaderSince, clock(now));
        if (next.isPresent() && mReplica.proposeMembership(next.get()) >= 0) {
            mActions.addAll(mReplica.flush(clock(now)));
            drain(now);
        }
    }

    void receive(String from, PeerMessage message, long now) throws QuilldykeException {
        PeerMessage taken = mRun.bent(message, mReplica);
        mActions.addAll(mReplica.receive(from, taken, clock(now)));
        if (mRun.isBroken(Breaks.COUNT_ACKNOWLEDGEMENT_TWICE)
                && message instanceof PeerMessage.AppendReply) {
            for (String other : mReplica.membership().others(mId)) {
                mActions.addAll(mReplica.receive(other, taken, clock(now)));
            }
        }
        drain(now);
    }

    long propose(byte[] payload, long now) throws QuilldykeException {
        long index = mReplica.propose(payload);
        mActions.addAll(mReplica.flush(clock(now)));
        drain(now);
        return index;
    }

    void transferLeadership(long now) throws QuilldykeException {
        mActions.addAll(mReplica.transferLeadership(clock(now)));
        drain(now);
    }

    private void drain(long now) throws QuilldykeException {
        mNow = now;
        while (isUp() && (!mActions.isEmpty() || isDue(now))) {
            if (isDue(now)) {
                finish(mJobs.peek());
            }
            if (isUp()) {
                List<ReplicaAction> batch = mActions;
                mActions = new ArrayList<>();
                carryOut(batch, now);
            }
        }
        if (isUp()) {
            compact();
        }
    }

    private boolean isDue(long now) {
        return !mJobs.isEmpty() && mJobs.peek().due() <= now;
    }

    private void carryOut(List<ReplicaAction> batch, long now) throws QuilldykeException {
        boolean stores = batch.stream().anyMatch(FakeReplica::isStored);
        if (stores) {
            long due = mRun.hasSlowDisk() ? now + mRandom.nextInt(SLOW_SYNC_MILLIS) : now;
            mJobs.add(
                    new DiskJob(
                            due,
                            batch.stream().filter(FakeReplica::isStored).toList(),
                            new ArrayList<>(),
                            mReplica.lastIndex(),
                            mReplica.truncationEpoch()));
        }
        boolean early = mRun.isBroken(Breaks.SEND_BEFORE_SYNC);
        if (early && stores) {
            mActions.addAll(mReplica.onSynced(mReplica.lastIndex(), mReplica.truncationEpoch()));
        }
        for (ReplicaAction action : batch) {
            if (action instanceof ReplicaAction.Send send) {
                if (early || !send.needsStoredBallot() || mJobs.isEmpty()) {
                    mRun.onSend(this, send, now);
                } else {
                    mJobs.peekLast().after().add(send);
                }
            }
        }
        apply(batch);
    }

    /** Completes a write: what waited for it is sent. */
    private void finish(DiskJob job) throws QuilldykeException {
        write(job);
        if (mRun.crashesBeforeSync()) {
            mRun.crash(this, false);
            return;
        }
        mJobs.remove();
        sync();
        for (ReplicaAction action : job.writes()) {
            if (action instanceof ReplicaAction.SaveBallot save) {
                mReplica.onBallotStored(save.ballot(), clock(mNow));
            }
        }
        job.after().forEach(send -> mRun.onSend(this, send, mNow));
        mActions.addAll(mReplica.onSynced(job.index(), job.epoch()));
    }

    private void write(DiskJob job) {
        for (ReplicaAction action : job.writes()) {
            boolean skipped =
                    mRun.isBroken(Breaks.SKIP_TRUNCATE)
                                    && action instanceof ReplicaAction.TruncateLog
                            || mRun.isBroken(Breaks.SKIP_BALLOT_SYNC)
                                    && action instanceof ReplicaAction.SaveBallot;
            if (!skipped) {
                mDisk.write(action);
            }
        }
    }

    private void sync() {
        if (mRun.isBroken(Breaks.SKIP_LOG_SYNC) && mRandom.nextBoolean()) {
            return;
        }
        mDisk.sync();
        mBlank &= !mDisk.syncedBallot().trusted();
    }

    private void apply(List<ReplicaAction> batch) throws QuilldykeException {
        for (ReplicaAction action : batch) {
            if (action instanceof ReplicaAction.Apply apply) {
                mRun.onApply(this, apply.index(), apply.entry());
            } else if (action instanceof ReplicaAction.InstallSnapshot install) {
                mRun.onInstall(this, install);
            } else if (action instanceof ReplicaAction.LeadershipWon won) {
                mLeaderSince = clock(mNow);
                mRun.onLeader(this, won.term());
            } else if (action instanceof ReplicaAction.AppendLog append
                    && mRun.isBroken(Breaks.APPLY_UNCOMMITTED)) {
                long index = append.firstIndex();
                for (LogEntry entry : append.entries()) {
                    mRun.onApply(this, index++, entry);
                }
            }
        }
    }

    private void compact() {
        long applied = mReplica.appliedIndex();
        if (applied - mReplica.snapshotIndex() < SNAPSHOT_EVERY || !mJobs.isEmpty()) {
            return;
        }
        mDisk.sync();
        mDisk.saveSnapshot(mReplica.compact(mRun.snapshotOf(this)));
    }

    private static boolean isStored(ReplicaAction action) {
        return action instanceof ReplicaAction.SaveBallot
                || action instanceof ReplicaAction.TruncateLog
                || action instanceof ReplicaAction.AppendLog
                || action instanceof ReplicaAction.InstallSnapshot;
    }

    private static DurableState with(DurableState disk, Ballot ballot) {
        return new DurableState(
                ballot,
                disk.snapshotIndex(),
                disk.snapshotTerm(),
                disk.snapshot(),
                disk.snapshotMembership(),
                disk.entries());
    }

    /**
     * A write that the disk hasn't finished.
     *
     * @param due when it will have finished
     * @param writes what is written
     * @param after what is sent when it has finished
     * @param index the end of the log when the write was handed over
     * @param epoch {@link Replica#truncationEpoch} at that time
     */
    private record DiskJob(
            long due,
            List<ReplicaAction> writes,
            List<ReplicaAction.Send> after,
            long index,
            long epoch) {}
}
