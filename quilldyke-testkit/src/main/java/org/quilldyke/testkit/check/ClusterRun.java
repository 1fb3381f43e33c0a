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

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.quilldyke.QuilldykeException;
import org.quilldyke.control.DurableState;
import org.quilldyke.control.LogEntry;
import org.quilldyke.control.Membership;
import org.quilldyke.control.PeerMessage;
import org.quilldyke.control.Replica;
import org.quilldyke.control.ReplicaAction;
import org.quilldyke.control.ReplicaSettings;

/**
 * A control group under faults, in virtual time: crashes, lost disks, cuts, pauses, drifting
 * clocks.
 *
 * <p>Checks one leader a term, one vote a term, one lease at a time, equal entries everywhere, that
 * a voter holds what it acknowledged, and, with {@link ControlModel}, what the applied commands
 * promise.
 */
public final class ClusterRun {
    private static final long HEAL_EVERY = 4000;
    private static final long HEAL_FOR = 2500;
    private static final int DYNAMIC_MACHINES = 4;

    /** Far more messages than a healed group needs in that time. */
    private static final long HEALED_STEPS = 200_000;

    private final Random mRandom;
    private final CheckReport mReport;
    private final Breaks mBreak;
    private final boolean mDynamic;
    private final FakeNetwork mNetwork;
    private final ControlModel mModel;
    private final List<FakeReplica> mReplicas = new ArrayList<>();
    private final Map<String, Long> mDownUntil = new HashMap<>();
    private final Map<String, Long> mPausedUntil = new HashMap<>();
    private final Map<Long, String> mLeaders = new HashMap<>();
    private final Map<String, String> mVotes = new HashMap<>();
    private final Map<Long, LogEntry> mApplied = new HashMap<>();
    private long mNow;
    private long mHighestApplied;
    private Membership mCommitted = Membership.empty();
    private long mCommittedAt;
    private long mRenamed;

    private ClusterRun(int replicas, boolean dynamic, long seed, Breaks broken) {
        mRandom = new Random(seed);
        mReport = new CheckReport("log", seed);
        mBreak = broken;
        mDynamic = dynamic;
        mNetwork = new FakeNetwork(mRandom, mReport);
        mModel = new ControlModel(mRandom, mReport, broken);
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < replicas; i++) {
            ids.add("r" + i);
        }
        for (int i = 0; i < replicas; i++) {
            mReplicas.add(new FakeReplica(i, settings(ids, i), this, mRandom));
        }
    }

    /** In a dynamic group, the last machine isn't among the first voters and joins later. */
    private ReplicaSettings settings(List<String> ids, int machine) {
        String id = ids.get(machine);
        int first = mDynamic ? ids.size() - 1 : ids.size();
        Membership initial =
                machine < first ? Membership.ofIds(ids.subList(0, first)) : Membership.empty();
        mCommitted = machine < first ? initial : mCommitted;
        return ReplicaSettings.of(id, initial).withMessageSizes(2048, 64);
    }

    /**
     * Runs a control group.
     *
     * @param replicas 3 or 5
     * @param seed draws everything
     * @param steps messages, ticks and faults
     * @param broken a deliberate break, or {@link Breaks#NONE}
     */
    public static CheckReport run(int replicas, long seed, long steps, Breaks broken) {
        return run(new ClusterRun(replicas, false, seed, broken), steps);
    }

    /**
     * Runs a control group of four machines, three of which vote: machines that lose their disk
     * come back as new replicas, and the leader changes the membership.
     *
     * @param seed draws everything
     * @param steps messages, ticks and faults
     */
    public static CheckReport runDynamic(long seed, long steps) {
        return run(new ClusterRun(DYNAMIC_MACHINES, true, seed, Breaks.NONE), steps);
    }

    private static CheckReport run(ClusterRun run, long steps) {
        run.mReplicas.forEach(r -> r.start(0));
        try {
            while (run.mReport.steps() < steps && run.mReport.isGood()) {
                run.advance();
            }
            run.finish();
        } catch (QuilldykeException | RuntimeException e) {
            run.mReport.violation("asserted in the program: " + e);
        }
        return run.mReport;
    }

    boolean isDynamic() {
        return mDynamic;
    }

    /** Returns whether the next write takes its time. */
    boolean hasSlowDisk() {
        return isFaulty() && mRandom.nextInt(20) == 0;
    }

    boolean isBroken(Breaks kind) {
        return mBreak == kind;
    }

    boolean crashesBeforeSync() {
        return isFaulty() && mRandom.nextInt(3000) == 0;
    }

    void onStarted(FakeReplica replica, DurableState disk) {
        mModel.onStarted(replica.mId, disk.snapshotIndex(), disk.snapshot());
    }

    void onSend(FakeReplica from, ReplicaAction.Send send, long now) {
        if (send.message() instanceof PeerMessage.AppendReply m && m.matched()) {
            boolean held =
                    m.index() <= from.mDisk.snapshotIndex()
                            || from.mDisk.termAt(m.index()) == wantedTermAt(from, m.index());
            mReport.check(held, "an acknowledged entry is synced", from.mId + " " + m.index());
        }
        if (send.message() instanceof PeerMessage.VoteReply m && m.granted() && !m.preVote()) {
            vote(from.mId, m.term(), send.to());
        }
        if (send.message() instanceof PeerMessage.VoteRequest m && !m.preVote()) {
            vote(from.mId, m.term(), from.mId);
        }
        mNetwork.send(from.mId, send.to(), send.message(), now);
    }

    void onLeader(FakeReplica replica, long term) {
        mReport.count("leader elected");
        String known = mLeaders.putIfAbsent(term, replica.mId);
        mReport.check(
                known == null || known.equals(replica.mId),
                "one leader a term",
                term + ": " + known + " and " + replica.mId);
    }

    /**
     * Returns the term of the entry that a replica must hold where it acknowledges an index: its
     * own entry's, or where a snapshot has taken its place in memory and not yet on the disk, that
     * of the entry which was committed there.
     */
    private long wantedTermAt(FakeReplica replica, long index) {
        LogEntry committed = mApplied.get(index);
        return index < replica.replica().snapshotIndex() && committed != null
                ? committed.term()
                : replica.replica().termAt(index);
    }

    void onApply(FakeReplica replica, long index, LogEntry entry) throws QuilldykeException {
        LogEntry known = mApplied.putIfAbsent(index, entry);
        boolean same =
                known == null
                        || known.term() == entry.term()
                                && Arrays.equals(known.payload(), entry.payload());
        mReport.check(same, "equal entries everywhere", replica.mId + " " + index);
        if (entry.membership() != null && index > mCommittedAt) {
            mReport.count("membership changed");
            mCommitted = entry.membership();
            mCommittedAt = index;
        }
        mHighestApplied = Math.max(mHighestApplied, index);
        if (!entry.hasNoCommand()) {
            mModel.onApply(replica.mId, index, ByteBuffer.wrap(entry.payload()).getLong());
        }
    }

    void onInstall(FakeReplica replica, ReplicaAction.InstallSnapshot install) {
        mReport.count("snapshot installed");
        mModel.onStarted(replica.mId, install.index(), install.snapshot());
    }

    byte[] snapshotOf(FakeReplica replica) {
        mReport.count("snapshot taken");
        return mModel.snapshotOf(replica.mId);
    }

    void crash(FakeReplica replica, boolean wipe) {
        mReport.count(wipe ? "fault crash with loss of the disk" : "fault crash");
        replica.crash(wipe);
        if (wipe && mDynamic) {
            String id = "r" + replica.mMachine + "." + ++mRenamed;
            replica.rename(ReplicaSettings.of(id, Membership.empty()).withMessageSizes(2048, 64));
        }
        mDownUntil.put(replica.mId, mNow + 20 + mRandom.nextInt(1200));
    }

    /** Returns a message as a broken receiver would take it. */
    PeerMessage bent(PeerMessage message, Replica at) {

        if (mBreak == Breaks.ACKNOWLEDGE_TOO_MUCH
                && message instanceof PeerMessage.AppendReply m
                && m.matched()
                && m.index() < at.lastIndex()) {
            return new PeerMessage.AppendReply(
                    m.term(), true, m.index() + 1, m.learner(), m.sentAt());
        }
        if (mBreak == Breaks.RAISE_OLD_TERMS
                && message instanceof PeerMessage.AppendRequest m
                && m.term() < at.term()) {
            return new PeerMessage.AppendRequest(
                    at.term(),
                    m.previousIndex(),
                    m.previousTerm(),
                    m.entries(),
                    m.commitIndex(),
                    m.lastIndex(),
                    m.sentAt());
        }
        if (mBreak == Breaks.COUNT_REFUSALS && message instanceof PeerMessage.VoteReply m) {
            long term = m.preVote() ? at.term() + 1 : at.term();
            return new PeerMessage.VoteReply(term, true, m.preVote());
        }
        if (mBreak == Breaks.COUNT_PRE_VOTES && message instanceof PeerMessage.VoteReply m) {
            return new PeerMessage.VoteReply(m.term(), m.granted(), false);
        }
        if (mBreak == Breaks.CHANGE_PAYLOAD
                && message instanceof PeerMessage.AppendRequest m
                && !m.entries().isEmpty()
                && mRandom.nextInt(50) == 0) {
            return withChangedPayload(m);
        }
        return message;
    }

    private static PeerMessage withChangedPayload(PeerMessage.AppendRequest m) {
        List<LogEntry> entries = new ArrayList<>();
        for (LogEntry entry : m.entries()) {
            byte[] payload = entry.payload().clone();
            if (payload.length > 0) {
                payload[payload.length - 1] ^= 1;
            }
            entries.add(new LogEntry(entry.term(), payload));
        }
        return new PeerMessage.AppendRequest(
                m.term(),
                m.previousIndex(),
                m.previousTerm(),
                entries,
                m.commitIndex(),
                m.lastIndex(),
                m.sentAt());
    }

    private boolean isFaulty() {
        return mNow % HEAL_EVERY > HEAL_FOR;
    }

    private void advance() throws QuilldykeException {
        mNow++;
        if (mNow % HEAL_EVERY == 0) {
            mNetwork.heal();
            mNetwork.setLoss(0);
        }
        if (isFaulty()) {
            causeFaults();
        }
        restartDue();
        FakeNetwork.Packet packet;
        while ((packet = mNetwork.poll(mNow)) != null && mReport.isGood()) {
            deliver(packet);
        }
        for (FakeReplica replica : mReplicas) {
            if (mNow % 10 == 0 && canAct(replica)) {
                mReport.step("tick " + replica.mId);
                replica.tick(mNow);
            }
        }
        if (mDynamic && mNow % 100 == 0) {
            join();
        }
        if (mNow % 7 == 0) {
            propose();
        }
        checkLeases();
    }

    /** Replicas that aren't members ask whoever leads to be taken in. */
    private void join() {
        for (FakeReplica joiner : mReplicas) {
            if (canAct(joiner) && joiner.replica().leader().isEmpty()) {
                mReplicas.stream()
                        .filter(leader -> canAct(leader) && leader.replica().isLeader())
                        .forEach(leader -> leader.planner().onJoinRequest(memberOf(joiner)));
            }
        }
    }

    private static Membership.Member memberOf(FakeReplica replica) {
        return new Membership.Member(replica.mId, "machine " + replica.mMachine);
    }

    private void causeFaults() throws QuilldykeException {
        mNetwork.setLoss(50);
        FakeReplica replica = mReplicas.get(mRandom.nextInt(mReplicas.size()));
        int fault = mRandom.nextInt(2000);
        if (fault == 0 && replica.isUp()) {
            crash(replica, mayWipe() && mRandom.nextBoolean());
        } else if (fault == 1) {
            mReport.count("fault pause");
            mPausedUntil.put(replica.mId, mNow + mRandom.nextInt(1500));
        } else if (fault == 2) {
            FakeReplica other = mReplicas.get(mRandom.nextInt(mReplicas.size()));
            mNetwork.cut(replica.mId, other.mId);
        } else if (fault == 3 && canAct(replica)) {
            mReport.count("leadership handed on");
            replica.transferLeadership(mNow);
        }
    }

    /** The promise holds while a minority has lost its disk and isn't repaired yet. */
    private boolean mayWipe() {
        if (mDynamic) {
            return mHighestApplied > 0 && mCommitted.voters().stream().allMatch(this::hasItsDisk);
        }
        int blank = 0;
        for (FakeReplica replica : mReplicas) {
            blank += replica.isBlank() ? 1 : 0;
        }
        return mHighestApplied > 0 && blank < (mReplicas.size() - 1) / 2;
    }

    private boolean hasItsDisk(Membership.Member voter) {
        return mReplicas.stream().anyMatch(replica -> replica.mId.equals(voter.id()));
    }

    private void restartDue() {
        for (FakeReplica replica : mReplicas) {
            if (!replica.isUp() && mDownUntil.get(replica.mId) <= mNow) {
                mReport.step("restart " + replica.mId);
                replica.start(mNow);
            }
        }
    }

    private void deliver(FakeNetwork.Packet packet) throws QuilldykeException {
        FakeReplica to = find(packet.to());
        if (!canAct(to) || !to.mId.equals(packet.to())) {
            return;
        }
        mReport.step(
                packet.from() + ">" + to.mId + " " + packet.message().getClass().getSimpleName());
        to.receive(packet.from(), packet.message(), mNow);
    }

    private void propose() throws QuilldykeException {
        FakeReplica replica = mReplicas.get(mRandom.nextInt(mReplicas.size()));
        if (!canAct(replica) || !replica.replica().isLeader()) {
            return;
        }
        long command = mModel.nextCommand(mNow);
        byte[] payload = ByteBuffer.allocate(Long.BYTES).putLong(command).array();
        mReport.step("propose at " + replica.mId);
        long index = replica.propose(payload, mNow);
        mModel.onProposed(replica.mId, index, command);
    }

    private void checkLeases() {
        int holders = 0;
        long margin = mBreak == Breaks.DOUBLE_LEASE ? 250 : 0;
        for (FakeReplica replica : mReplicas) {
            if (replica.isUp() && replica.replica().holdsLease(replica.clock(mNow) - margin)) {
                holders++;
            }
        }
        mReport.check(holders <= 1, "one lease at a time", holders + " holders");
    }

    private void vote(String voter, long term, String candidate) {
        String known = mVotes.putIfAbsent(voter + "@" + term, candidate);
        mReport.check(
                known == null || known.equals(candidate),
                "one vote a term",
                voter + " in " + term + " for " + known + " and " + candidate);
    }

    private boolean canAct(FakeReplica replica) {
        return replica.isUp() && mPausedUntil.getOrDefault(replica.mId, 0L) <= mNow;
    }

    private FakeReplica find(String id) {
        return mReplicas.get(Integer.parseInt(id.substring(1).split("\\.")[0]));
    }

    /** Heals everything and checks that the group works again and holds all it acknowledged. */
    private void finish() throws QuilldykeException {
        if (!mReport.isGood()) {
            return;
        }
        mNow += HEAL_EVERY - mNow % HEAL_EVERY;
        mNetwork.heal();
        mNetwork.setLoss(0);
        mPausedUntil.clear();
        long until = mNow + HEAL_FOR;
        long limit = mReport.steps() + HEALED_STEPS;
        while (mNow < until && mReport.isGood() && mReport.steps() < limit) {
            advance();
        }
        mReport.check(mReport.steps() < limit, "messages come to an end", "" + mNow);
        mReport.check(mHighestApplied > 0, "the group makes progress", "nothing was applied");
        for (FakeReplica replica : mReplicas) {
            mReport.check(
                    replica.isUp() && replica.replica().isTrusted(),
                    "all are trusted in the end",
                    replica.mId);
            if (mDynamic) {
                mReport.check(
                        mCommitted.member(replica.mId).isPresent(),
                        "all are members in the end",
                        replica.mId);
            }
            mReport.check(
                    replica.isUp() && replica.replica().appliedIndex() > mHighestApplied - 200,
                    "all have caught up in the end",
                    replica.mId);
        }
    }
}
