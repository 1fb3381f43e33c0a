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

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.quilldyke.control.Membership;
import org.quilldyke.control.PeerMessage;
import org.quilldyke.control.Replica;
import org.quilldyke.manifest.FleetCommand;
import org.quilldyke.manifest.FleetState;
import org.quilldyke.testkit.check.CheckReport;
import org.quilldyke.testkit.check.FakeNetwork;

/**
 * A control group in virtual time that loses as many disks as it must bear, mostly while all others
 * lose power: just after an acknowledgement, just after a change was sent, while the membership
 * changes, while a snapshot is written, or at any time; several times in a row.
 *
 * <p>Checks that whatever was acknowledged is there after it, that no read gives less than was
 * acknowledged before it, that no two machines ever apply different entries, and that the group
 * works again and is complete again in time.
 */
final class LossRun {
    private static final int ROUNDS = 3;
    private static final String PIECES = "piece of a snapshot sent";
    private static final long STARTED_BY = 8000;
    private static final long LATE_START = 9000;

    /** For so long a machine counts as lost after its start (sheets). */
    private static final long CATCH_UP = 6000;

    private static final long RECOVERED_WITHIN = 12_000;
    private static final int LARGEST_DOCUMENT = 24 << 10;

    private final int mTolerated;
    private final Random mRandom;
    private final CheckReport mReport;
    private final FakeNetwork mNetwork;
    private final Kind mKind;
    private final List<LossMachine> mMachines = new ArrayList<>();
    private final Map<Long, byte[]> mApplied = new HashMap<>();
    private final Map<Long, String> mLeaders = new HashMap<>();
    private final Map<Long, byte[]> mDocuments = new HashMap<>();
    private final Map<String, Long> mAckedWeights = new TreeMap<>();
    private long mNow;
    private long mVersion;
    private long mAckedVersion = -1;
    private boolean mCalm = true;

    private LossRun(int machines, int tolerated, Kind kind, long seed) {
        mTolerated = tolerated;
        mKind = kind;
        mRandom = new Random(seed);
        mReport = new CheckReport("losses", seed);
        mNetwork = new FakeNetwork(mRandom, mReport);
        // The first number of neighbouring seeds hardly differs, so nothing is drawn from it.
        mRandom.nextInt();
        for (int i = 0; i < machines; i++) {
            boolean manySnapshots = kind == Kind.MANY_SNAPSHOTS;
            LossMachine machine =
                    new LossMachine(i, tolerated, manySnapshots, this, mReport, mRandom);
            machine.startAt(1 + mRandom.nextInt(300));
            mMachines.add(machine);
        }
    }

    /**
     * Plays a group.
     *
     * @param machines how many have a disk
     * @param tolerated how many of them may lose it at once
     * @param kind what is frequent
     * @param seed draws everything
     */
    static CheckReport play(int machines, int tolerated, Kind kind, long seed) {
        LossRun run = new LossRun(machines, tolerated, kind, seed);
        run.awaitComplete(STARTED_BY, "the group is complete after its start");
        for (int round = 0; round < ROUNDS && run.mReport.isGood(); round++) {
            run.live();
            run.lose();
            run.recover();
        }
        return run.mReport;
    }

    /**
     * Plays a group that loses disks as soon as it has acknowledged anything, while it still grows.
     *
     * @param machines how many have a disk
     * @param tolerated how many of them may lose it at once
     * @param seed draws everything
     */
    static CheckReport playFirst(int machines, int tolerated, long seed) {
        LossRun run = new LossRun(machines, tolerated, Kind.PLAIN, seed);
        run.awaitFirstAcknowledgement();
        if (run.mReport.isGood()) {
            run.loseFirst();
            run.recover();
        }
        return run.mReport;
    }

    /**
     * Plays a group to which as many machines come late as it must bear to lose, and that loses as
     * many disks once these count as lost no longer.
     *
     * @param machines how many have a disk
     * @param tolerated how many of them may lose it at once
     * @param seed draws everything
     */
    static CheckReport playLate(int machines, int tolerated, long seed) {
        LossRun run = new LossRun(machines, tolerated, Kind.PLAIN, seed);
        List<LossMachine> late = run.mMachines.subList(machines - tolerated, machines);
        late.forEach(machine -> machine.startAt(LATE_START));
        run.awaitFirstAcknowledgement();
        run.calm();
        run.pass(LATE_START + CATCH_UP - run.mNow);
        if (run.mReport.isGood()) {
            run.loseFirst();
            run.recover();
        }
        return run.mReport;
    }

    long now() {
        return mNow;
    }

    void send(LossMachine from, String to, PeerMessage message) {
        if (message instanceof PeerMessage.SnapshotRequest) {
            mReport.count(PIECES);
        }
        mNetwork.send(from.id(), to, message, mNow);
    }

    void join(Membership.Member joiner) {
        mMachines.stream()
                .filter(machine -> machine.canAct() && machine.node().isLeader())
                .forEach(leader -> leader.onJoin(joiner));
    }

    void onLeadership(LossMachine machine, boolean leads) {
        if (leads) {
            long term = machine.node().replica().term();
            String known = mLeaders.putIfAbsent(term, machine.id());
            mReport.check(
                    known == null || known.equals(machine.id()),
                    "one leader a term",
                    term + ": " + known + " and " + machine.id());
        }
    }

    void onApply(String id, long index, byte[] command) {
        byte[] known = mApplied.putIfAbsent(index, command);
        mReport.check(
                known == null || Arrays.equals(known, command),
                "equal entries everywhere",
                id + " " + index);
    }

    void checkContent(String id, FleetState state) {
        boolean same =
                !state.hasManifest()
                        || Arrays.equals(state.document(), mDocuments.get(state.version()));
        mReport.check(same, "a version has one content", id + " " + state.version());
    }

    private void advance() {
        mNow++;
        FakeNetwork.Packet packet;
        while ((packet = mNetwork.poll(mNow)) != null) {
            deliver(packet);
        }
        mMachines.forEach(LossMachine::advance);
        mMachines.get(mRandom.nextInt(mMachines.size())).read(mAckedVersion);
        if (!mCalm && mRandom.nextInt(2000) == 0) {
            disturb();
        }
        if (mKind == Kind.BAD_DISKS && !mCalm && mRandom.nextInt(300) == 0) {
            disturbDisk(mMachines.get(mRandom.nextInt(mMachines.size())));
        }
    }

    private void deliver(FakeNetwork.Packet packet) {
        for (LossMachine machine : mMachines) {
            if (machine.id().equals(packet.to()) && machine.canAct()) {
                machine.node().receive(packet.from(), packet.message());
            }
        }
    }

    private void disturb() {
        LossMachine machine = mMachines.get(mRandom.nextInt(mMachines.size()));
        switch (mRandom.nextInt(3)) {
            case 0 -> machine.pauseUntil(mNow + mRandom.nextInt(1500));
            case 1 -> {
                LossMachine other = mMachines.get(mRandom.nextInt(mMachines.size()));
                mNetwork.cut(machine.id(), other.id());
            }
            default -> {
                if (machine.canAct()) {
                    machine.node().transferLeadership();
                }
            }
        }
    }

    private void disturbDisk(LossMachine machine) {
        switch (mRandom.nextInt(3)) {
            case 0 -> {
                mReport.count("fault disk full");
                machine.fillDiskAfter(mRandom.nextInt(2000));
            }
            case 1 -> {
                mReport.count("fault disk stalled");
                machine.stallDiskUntil(mNow + mRandom.nextInt(3000));
            }
            default -> machine.mendDisk();
        }
    }

    private void calm() {
        mCalm = true;
        mNetwork.heal();
        mNetwork.setLoss(0);
        mMachines.forEach(machine -> machine.pauseUntil(0));
        mMachines.forEach(LossMachine::mendDisk);
    }

    /** Has operators publish for a while, on a network with faults now and then. */
    private void live() {
        mCalm = mRandom.nextInt(3) == 0;
        mNetwork.setLoss(mCalm ? 0 : 20);
        long until = mNow + 100 + mRandom.nextInt(1500);
        while (mNow < until && mReport.isGood()) {
            advance();
            if (mRandom.nextInt(30) == 0) {
                publish();
            }
        }
    }

    /** Waits for the moment of the loss, and loses. */
    private void lose() {
        if (mKind == Kind.PLAIN || mRandom.nextBoolean()) {
            awaitMoment();
        } else if (mKind == Kind.BAD_DISKS) {
            besideBadDisks();
        } else if (mRandom.nextBoolean()) {
            duringSnapshot();
        } else {
            duringTransfer();
        }
        loseNow();
    }

    private void awaitMoment() {
        switch (mRandom.nextInt(6)) {
            case 0 -> afterAcknowledgement();
            case 4 -> afterRestart();
            case 1 -> {
                publish();
                pass(mRandom.nextInt(30));
            }
            case 2 -> duringMembershipChange();
            case 3 -> duringSnapshot();
            default -> pass(mRandom.nextInt(300));
        }
    }

    private void loseNow() {
        List<LossMachine> order = new ArrayList<>(mMachines);
        Collections.shuffle(order, mRandom);
        if (mRandom.nextBoolean()) {
            // The leader's disk is often the one that holds most.
            order.sort(Comparator.comparing(machine -> !machine.leads()));
        }
        List<LossMachine> emptied = order.subList(0, mTolerated);
        List<LossMachine> others = order.subList(mTolerated, order.size());
        switch (mRandom.nextInt(6)) {
            case 0 -> {
                mReport.count("loss of disks alone");
                emptied.forEach(this::loseDisk);
            }
            case 1 -> {
                mReport.count("loss of power alone");
                order.forEach(this::losePower);
            }
            case 2 -> {
                mReport.count("kill of all, then loss of disks and of power");
                order.forEach(this::kill);
                pass(mRandom.nextInt(1500));
                emptied.forEach(this::loseDisk);
                others.forEach(this::losePower);
            }
            default -> {
                mReport.count("loss of disks and of power");
                emptied.forEach(this::loseDisk);
                others.forEach(this::losePower);
            }
        }
    }

    /** Has an operator send changes from the start on, until one is acknowledged. */
    private void awaitFirstAcknowledgement() {
        mNetwork.setLoss(mRandom.nextBoolean() ? 20 : 0);
        while (mAckedVersion < 0 && mNow < STARTED_BY && mReport.isGood()) {
            advance();
            if (mRandom.nextInt(20) == 0) {
                publish();
            }
        }
        mReport.check(mAckedVersion >= 0, "the first change is taken in time", "" + describe());
        mReport.count("first acknowledgement within " + (mNow / 500 + 1) * 500 + " ms");
    }

    /** Loses disks, often those of voters, and mostly all others' power, within milliseconds. */
    private void loseFirst() {
        pass(mRandom.nextInt(mRandom.nextInt(3) == 0 ? 500 : 5));
        List<LossMachine> order = new ArrayList<>(mMachines);
        Collections.shuffle(order, mRandom);
        if (mRandom.nextInt(3) > 0) {
            order.sort(Comparator.comparing(machine -> !machine.votes()));
        }
        boolean powerToo = mRandom.nextInt(4) > 0;
        mReport.count(powerToo ? "loss of disks and of power" : "loss of disks alone");
        order.subList(0, mTolerated).forEach(this::loseDisk);
        if (powerToo) {
            order.subList(mTolerated, order.size()).forEach(this::losePower);
        }
    }

    private void afterAcknowledgement() {
        long acked = mAckedVersion;
        publish();
        long until = mNow + 1000;
        while (mAckedVersion == acked && mNow < until) {
            advance();
        }
        pass(mRandom.nextInt(4));
    }

    /** Kills a machine while it stores what another one doesn't hear of, and has it go on. */
    private void afterRestart() {
        List<LossMachine> others = new ArrayList<>(mMachines);
        others.removeIf(LossMachine::leads);
        Collections.shuffle(others, mRandom);
        others.subList(0, mTolerated).forEach(machine -> machine.pauseUntil(mNow + 3000));
        long acked = mAckedVersion;
        publish();
        pass(5 + mRandom.nextInt(20));
        LossMachine killed = others.get(mTolerated);
        killed.kill();
        killed.startAt(mNow + mRandom.nextInt(100));
        long until = mNow + 1000;
        while (mAckedVersion == acked && mNow < until) {
            advance();
        }
        pass(mRandom.nextInt(20));
    }

    /** Has a machine be silent until it is replaced, and stops in the middle of that. */
    private void duringMembershipChange() {
        List<LossMachine> up = new ArrayList<>(mMachines);
        Collections.shuffle(up, mRandom);
        LossMachine silent = up.get(0);
        losePower(silent);
        silent.startAt(mNow + 2000 + mRandom.nextInt(4000));
        long before = proposed();
        int changes = 1 + mRandom.nextInt(3);
        long until = mNow + 4000;
        while (proposed() < before + changes && mNow < until) {
            advance();
            if (mRandom.nextInt(100) == 0) {
                publish();
            }
        }
        pass(mRandom.nextInt(20));
    }

    private long proposed() {
        return mReport.counts().getOrDefault("membership proposed", 0L);
    }

    private void duringSnapshot() {
        long before = snapshots();
        long until = mNow + (mKind == Kind.MANY_SNAPSHOTS ? 2000 : 100);
        while (snapshots() <= before && mNow < until) {
            advance();
            if (mRandom.nextInt(50) == 0) {
                publish();
            }
        }
        pass(mRandom.nextInt(10));
    }

    /** Has a machine be away until its peers' logs begin with a snapshot, which is sent to it. */
    private void duringTransfer() {
        List<LossMachine> others = new ArrayList<>(mMachines);
        others.removeIf(LossMachine::leads);
        LossMachine behind = others.get(mRandom.nextInt(others.size()));
        losePower(behind);
        behind.startAt(mNow + 500 + mRandom.nextInt(500));
        long before = mReport.counts().getOrDefault(PIECES, 0L);
        int pieces = 1 + mRandom.nextInt(6);
        long until = mNow + 2500;
        while (mReport.counts().getOrDefault(PIECES, 0L) < before + pieces && mNow < until) {
            advance();
            if (mRandom.nextInt(50) == 0) {
                publish();
            }
        }
        pass(mRandom.nextInt(30));
    }

    /** Has as many disks refuse or hold up writes as the group must bear, and others store. */
    private void besideBadDisks() {
        List<LossMachine> order = new ArrayList<>(mMachines);
        Collections.shuffle(order, mRandom);
        for (LossMachine bad : order.subList(0, mTolerated)) {
            if (mRandom.nextBoolean()) {
                mReport.count("fault disk full");
                bad.fillDiskAfter(mRandom.nextInt(500));
            } else {
                mReport.count("fault disk stalled");
                bad.stallDiskUntil(mNow + 3000);
            }
        }
        afterAcknowledgement();
    }

    private long snapshots() {
        return mMachines.stream().mapToLong(LossMachine::snapshots).sum();
    }

    private void kill(LossMachine machine) {
        machine.kill();
        machine.startAt(mNow + mRandom.nextInt(1000));
    }

    private void losePower(LossMachine machine) {
        machine.losePower();
        machine.startAt(mNow + mRandom.nextInt(1000));
    }

    private void loseDisk(LossMachine machine) {
        machine.loseDisk();
        machine.startAt(mNow + mRandom.nextInt(1000));
    }

    /** Checks that all that was acknowledged is there in time, and the group complete again. */
    private void recover() {
        calm();
        while (!mMachines.stream().allMatch(LossMachine::isUp) && mReport.isGood()) {
            advance();
        }
        long acked = mAckedVersion;
        Map<String, Long> weights = new TreeMap<>(mAckedWeights);
        long until = mNow + RECOVERED_WITHIN;
        long tried = publish();
        while (mAckedVersion < tried && mNow < until && mReport.isGood()) {
            advance();
            if (mNow % 100 == 0) {
                tried = publish();
            }
        }
        mReport.check(mAckedVersion >= tried, "the group works again", "version " + tried);
        awaitComplete(until, "the group is complete again");
        for (LossMachine machine : mMachines) {
            FleetState state = machine.state();
            checkContent(machine.id(), state);
            mReport.check(
                    state.version() >= acked,
                    "what was acknowledged is there",
                    machine.id() + " " + state.version() + " of " + acked);
            weights.forEach(
                    (model, version) ->
                            mReport.check(
                                    state.weights().getOrDefault(model, 0L) >= version,
                                    "named weights are there",
                                    machine.id() + " " + model));
        }
    }

    private void awaitComplete(long until, String name) {
        while (!isComplete() && mNow < until && mReport.isGood()) {
            advance();
        }
        if (mReport.isGood()) {
            mReport.check(isComplete(), name, "" + describe());
        }
    }

    /** Returns whether all machines are members, enough of them vote, and all have caught up. */
    private boolean isComplete() {
        Set<Membership> memberships = new HashSet<>();
        Set<Long> applied = new HashSet<>();
        Set<String> ids = new HashSet<>();
        for (LossMachine machine : mMachines) {
            if (!machine.isUp()) {
                return false;
            }
            Replica replica = machine.node().replica();
            memberships.add(replica.membership());
            applied.add(machine.node().appliedIndex());
            applied.add(replica.lastIndex());
            ids.add(machine.id());
        }
        Membership membership = memberships.iterator().next();
        Set<String> members = new HashSet<>();
        membership.all().forEach(member -> members.add(member.id()));
        return memberships.size() == 1
                && applied.size() == 1
                && members.equals(ids)
                && membership.voters().size() == 2 * mTolerated + 1;
    }

    private List<String> describe() {
        List<String> all = new ArrayList<>();
        for (LossMachine machine : mMachines) {
            all.add(
                    machine.isUp()
                            ? machine.id() + " " + machine.node().replica().membership()
                            : machine.address() + " down");
        }
        return all;
    }

    private void pass(long millis) {
        for (long i = 0; i < millis; i++) {
            advance();
        }
    }

    /** Publishes a new version, and names weights now and then, at whoever leads. */
    private long publish() {
        long version = ++mVersion;
        byte[] document = new byte[documentSize()];
        new Random(version).nextBytes(document);
        mDocuments.put(version, document);
        for (LossMachine machine : mMachines) {
            if (machine.canAct() && machine.node().isLeader()) {
                propose(machine, new FleetCommand.PublishManifest(version, document))
                        .thenRun(() -> mAckedVersion = Math.max(mAckedVersion, version));
                if (mRandom.nextInt(3) == 0) {
                    String model = "model-" + mRandom.nextInt(3);
                    propose(machine, new FleetCommand.NameWeights(model, version))
                            .thenRun(() -> mAckedWeights.merge(model, version, Math::max));
                }
            }
        }
        return version;
    }

    private int documentSize() {
        return mKind == Kind.MANY_SNAPSHOTS
                ? mRandom.nextInt(LARGEST_DOCUMENT)
                : 40 + mRandom.nextInt(200);
    }

    private static CompletableFuture<?> propose(LossMachine machine, FleetCommand command) {
        return machine.node().propose(FleetJson.encode(command));
    }

    /** What a run has more of than others. */
    enum Kind {
        PLAIN,

        /** Documents so large that logs are replaced by snapshots again and again. */
        MANY_SNAPSHOTS,

        /** Disks that are full, or hold up writes for seconds. */
        BAD_DISKS
    }
}
