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
 * A control group in virtual time that loses as many disks as it must tolerate, usually while all
 * others lose power: after an acknowledgement, after a change was sent, during membership changes
 * or snapshots, or at random times, several times in a row.
 *
 * <p>Checks that acknowledged changes survive, that reads return at least what was acknowledged
 * before, that no two machines apply different entries, and that the group works and is complete
 * again in time.
 */
final class DiskLossRun {
    private static final int ROUNDS = 3;
    private static final String CHUNK_SENT = "snapshot chunk sent";
    private static final long START_TIMEOUT_MILLIS = 8000;
    private static final long LATE_START_MILLIS = 9000;

    /** A machine counts as failed for this long after a start, the longest specified catch-up. */
    private static final long CATCH_UP_MILLIS = 6000;

    private static final long RECOVERY_TIMEOUT_MILLIS = 12_000;
    private static final int MAX_DOCUMENT_BYTES = 24 << 10;

    private final int mToleratedLosses;
    private final Random mRandom;
    private final CheckReport mReport;
    private final FakeNetwork mNetwork;
    private final Profile mProfile;
    private final List<SimulatedMachine> mMachines = new ArrayList<>();
    private final Map<Long, byte[]> mCommandByIndex = new HashMap<>();
    private final Map<Long, String> mLeaderByTerm = new HashMap<>();
    private final Map<Long, byte[]> mDocuments = new HashMap<>();
    private final Map<String, Long> mAckedWeights = new TreeMap<>();
    private long mNow;
    private long mVersion;
    private long mAckedVersion = -1;
    private boolean mFaultFree = true;

    private DiskLossRun(int machines, int toleratedLosses, Profile profile, long seed) {
        mToleratedLosses = toleratedLosses;
        mProfile = profile;
        mRandom = new Random(seed);
        mReport = new CheckReport("losses", seed);
        mNetwork = new FakeNetwork(mRandom, mReport);
        // The first random number hardly differs between neighbouring seeds, so it is skipped.
        mRandom.nextInt();
        for (int i = 0; i < machines; i++) {
            boolean manySnapshots = profile == Profile.MANY_SNAPSHOTS;
            SimulatedMachine machine =
                    new SimulatedMachine(i, toleratedLosses, manySnapshots, this, mReport, mRandom);
            machine.startAt(1 + mRandom.nextInt(300));
            mMachines.add(machine);
        }
    }

    /**
     * Runs a group through several rounds of changes, losses and recovery.
     *
     * @param machines the number of machines with a disk
     * @param toleratedLosses how many of them may lose it at once
     * @param profile which faults are frequent
     * @param seed seeds all random choices
     */
    static CheckReport run(int machines, int toleratedLosses, Profile profile, long seed) {
        DiskLossRun run = new DiskLossRun(machines, toleratedLosses, profile, seed);
        run.awaitComplete(START_TIMEOUT_MILLIS, "the group is complete after its start");
        for (int round = 0; round < ROUNDS && run.mReport.isGood(); round++) {
            run.publishWithFaults();
            run.awaitMomentAndLose();
            run.checkRecovery();
        }
        return run.mReport;
    }

    /**
     * Runs a group that loses disks right after its first acknowledgement, while it is still
     * growing.
     *
     * @param machines the number of machines with a disk
     * @param toleratedLosses how many of them may lose it at once
     * @param seed seeds all random choices
     */
    static CheckReport runEarlyLoss(int machines, int toleratedLosses, long seed) {
        DiskLossRun run = new DiskLossRun(machines, toleratedLosses, Profile.PLAIN, seed);
        run.awaitFirstAcknowledgement();
        if (run.mReport.isGood()) {
            run.loseDisksSoon();
            run.checkRecovery();
        }
        return run.mReport;
    }

    /**
     * Runs a group in which as many machines as it must tolerate losing start late, and which loses
     * as many disks once the late machines no longer count as failed.
     *
     * @param machines the number of machines with a disk
     * @param toleratedLosses how many of them may lose it at once
     * @param seed seeds all random choices
     */
    static CheckReport runWithLateMachines(int machines, int toleratedLosses, long seed) {
        DiskLossRun run = new DiskLossRun(machines, toleratedLosses, Profile.PLAIN, seed);
        List<SimulatedMachine> late = run.mMachines.subList(machines - toleratedLosses, machines);
        late.forEach(machine -> machine.startAt(LATE_START_MILLIS));
        run.awaitFirstAcknowledgement();
        run.stopFaults();
        run.advanceBy(LATE_START_MILLIS + CATCH_UP_MILLIS - run.mNow);
        if (run.mReport.isGood()) {
            run.loseDisksSoon();
            run.checkRecovery();
        }
        return run.mReport;
    }

    long now() {
        return mNow;
    }

    void send(SimulatedMachine from, String to, PeerMessage message) {
        if (message instanceof PeerMessage.SnapshotRequest) {
            mReport.count(CHUNK_SENT);
        }
        mNetwork.send(from.id(), to, message, mNow);
    }

    void sendJoinRequest(Membership.Member joiner) {
        mMachines.stream()
                .filter(machine -> machine.isRunning() && machine.node().isLeader())
                .forEach(leader -> leader.onJoin(joiner));
    }

    void onLeadership(SimulatedMachine machine, boolean leads) {
        if (leads) {
            long term = machine.node().replica().term();
            String known = mLeaderByTerm.putIfAbsent(term, machine.id());
            mReport.check(
                    known == null || known.equals(machine.id()),
                    "one leader per term",
                    term + ": " + known + " and " + machine.id());
        }
    }

    void onApply(String id, long index, byte[] command) {
        byte[] known = mCommandByIndex.putIfAbsent(index, command);
        mReport.check(
                known == null || Arrays.equals(known, command),
                "all machines apply equal entries",
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
        mMachines.forEach(SimulatedMachine::advance);
        mMachines.get(mRandom.nextInt(mMachines.size())).read(mAckedVersion);
        if (!mFaultFree && mRandom.nextInt(2000) == 0) {
            injectFault();
        }
        if (mProfile == Profile.FAULTY_DISKS && !mFaultFree && mRandom.nextInt(300) == 0) {
            injectDiskFault(mMachines.get(mRandom.nextInt(mMachines.size())));
        }
    }

    private void deliver(FakeNetwork.Packet packet) {
        for (SimulatedMachine machine : mMachines) {
            if (machine.id().equals(packet.to()) && machine.isRunning()) {
                machine.node().receive(packet.from(), packet.message());
            }
        }
    }

    private void injectFault() {
        SimulatedMachine machine = mMachines.get(mRandom.nextInt(mMachines.size()));
        switch (mRandom.nextInt(3)) {
            case 0 -> machine.pauseUntil(mNow + mRandom.nextInt(1500));
            case 1 -> {
                SimulatedMachine other = mMachines.get(mRandom.nextInt(mMachines.size()));
                mNetwork.cut(machine.id(), other.id());
            }
            default -> {
                if (machine.isRunning()) {
                    machine.node().transferLeadership();
                }
            }
        }
    }

    private void injectDiskFault(SimulatedMachine machine) {
        switch (mRandom.nextInt(3)) {
            case 0 -> {
                mReport.count("fault disk full");
                machine.limitDiskSpace(mRandom.nextInt(2000));
            }
            case 1 -> {
                mReport.count("fault disk stalled");
                machine.stallDiskUntil(mNow + mRandom.nextInt(3000));
            }
            default -> machine.repairDisk();
        }
    }

    private void stopFaults() {
        mFaultFree = true;
        mNetwork.heal();
        mNetwork.setLoss(0);
        mMachines.forEach(machine -> machine.pauseUntil(0));
        mMachines.forEach(SimulatedMachine::repairDisk);
    }

    /** Publishes changes for a while, in some rounds with network faults. */
    private void publishWithFaults() {
        mFaultFree = mRandom.nextInt(3) == 0;
        mNetwork.setLoss(mFaultFree ? 0 : 20);
        long deadline = mNow + 100 + mRandom.nextInt(1500);
        while (mNow < deadline && mReport.isGood()) {
            advance();
            if (mRandom.nextInt(30) == 0) {
                publish();
            }
        }
    }

    /** Runs up to the moment of the loss, and loses disks or power. */
    private void awaitMomentAndLose() {
        if (mProfile == Profile.PLAIN || mRandom.nextBoolean()) {
            awaitLossMoment();
        } else if (mProfile == Profile.FAULTY_DISKS) {
            publishWithDiskFaults();
        } else if (mRandom.nextBoolean()) {
            runUntilSnapshot();
        } else {
            runIntoSnapshotTransfer();
        }
        loseDisksOrPower();
    }

    private void awaitLossMoment() {
        switch (mRandom.nextInt(6)) {
            case 0 -> runUntilAcknowledgement();
            case 4 -> restartDuringChange();
            case 1 -> {
                publish();
                advanceBy(mRandom.nextInt(30));
            }
            case 2 -> runIntoMembershipChange();
            case 3 -> runUntilSnapshot();
            default -> advanceBy(mRandom.nextInt(300));
        }
    }

    private void loseDisksOrPower() {
        List<SimulatedMachine> order = new ArrayList<>(mMachines);
        Collections.shuffle(order, mRandom);
        if (mRandom.nextBoolean()) {
            // The leader's disk often holds the most.
            order.sort(Comparator.comparing(machine -> !machine.leads()));
        }
        List<SimulatedMachine> emptied = order.subList(0, mToleratedLosses);
        List<SimulatedMachine> others = order.subList(mToleratedLosses, order.size());
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
                advanceBy(mRandom.nextInt(1500));
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

    /** Publishes changes from the start on, until one is acknowledged. */
    private void awaitFirstAcknowledgement() {
        mNetwork.setLoss(mRandom.nextBoolean() ? 20 : 0);
        while (mAckedVersion < 0 && mNow < START_TIMEOUT_MILLIS && mReport.isGood()) {
            advance();
            if (mRandom.nextInt(20) == 0) {
                publish();
            }
        }
        mReport.check(mAckedVersion >= 0, "the first change is accepted in time", "" + describe());
        mReport.count("first acknowledgement within " + (mNow / 500 + 1) * 500 + " ms");
    }

    /** Loses disks, often of voters, and usually all others' power, within milliseconds. */
    private void loseDisksSoon() {
        advanceBy(mRandom.nextInt(mRandom.nextInt(3) == 0 ? 500 : 5));
        List<SimulatedMachine> order = new ArrayList<>(mMachines);
        Collections.shuffle(order, mRandom);
        if (mRandom.nextInt(3) > 0) {
            order.sort(Comparator.comparing(machine -> !machine.votes()));
        }
        boolean withPowerLoss = mRandom.nextInt(4) > 0;
        mReport.count(withPowerLoss ? "loss of disks and of power" : "loss of disks alone");
        order.subList(0, mToleratedLosses).forEach(this::loseDisk);
        if (withPowerLoss) {
            order.subList(mToleratedLosses, order.size()).forEach(this::losePower);
        }
    }

    private void runUntilAcknowledgement() {
        long acked = mAckedVersion;
        publish();
        long deadline = mNow + 1000;
        while (mAckedVersion == acked && mNow < deadline) {
            advance();
        }
        advanceBy(mRandom.nextInt(4));
    }

    /** Kills and restarts a machine while it stores a change that paused ones do not receive. */
    private void restartDuringChange() {
        List<SimulatedMachine> others = new ArrayList<>(mMachines);
        others.removeIf(SimulatedMachine::leads);
        Collections.shuffle(others, mRandom);
        others.subList(0, mToleratedLosses).forEach(machine -> machine.pauseUntil(mNow + 3000));
        long acked = mAckedVersion;
        publish();
        advanceBy(5 + mRandom.nextInt(20));
        SimulatedMachine killed = others.get(mToleratedLosses);
        killed.kill();
        killed.startAt(mNow + mRandom.nextInt(100));
        long deadline = mNow + 1000;
        while (mAckedVersion == acked && mNow < deadline) {
            advance();
        }
        advanceBy(mRandom.nextInt(20));
    }

    /** Stops a machine, and runs until the group is in the middle of replacing it. */
    private void runIntoMembershipChange() {
        List<SimulatedMachine> up = new ArrayList<>(mMachines);
        Collections.shuffle(up, mRandom);
        SimulatedMachine stopped = up.get(0);
        losePower(stopped);
        stopped.startAt(mNow + 2000 + mRandom.nextInt(4000));
        long before = membershipProposals();
        int changes = 1 + mRandom.nextInt(3);
        long deadline = mNow + 4000;
        while (membershipProposals() < before + changes && mNow < deadline) {
            advance();
            if (mRandom.nextInt(100) == 0) {
                publish();
            }
        }
        advanceBy(mRandom.nextInt(20));
    }

    private long membershipProposals() {
        return mReport.counts().getOrDefault("membership proposed", 0L);
    }

    private void runUntilSnapshot() {
        long before = snapshots();
        long deadline = mNow + (mProfile == Profile.MANY_SNAPSHOTS ? 2000 : 100);
        while (snapshots() <= before && mNow < deadline) {
            advance();
            if (mRandom.nextInt(50) == 0) {
                publish();
            }
        }
        advanceBy(mRandom.nextInt(10));
    }

    /** Stops a machine until its peers have compacted their logs and send it a snapshot. */
    private void runIntoSnapshotTransfer() {
        List<SimulatedMachine> others = new ArrayList<>(mMachines);
        others.removeIf(SimulatedMachine::leads);
        SimulatedMachine behind = others.get(mRandom.nextInt(others.size()));
        losePower(behind);
        behind.startAt(mNow + 500 + mRandom.nextInt(500));
        long before = mReport.counts().getOrDefault(CHUNK_SENT, 0L);
        int chunks = 1 + mRandom.nextInt(6);
        long deadline = mNow + 2500;
        while (mReport.counts().getOrDefault(CHUNK_SENT, 0L) < before + chunks && mNow < deadline) {
            advance();
            if (mRandom.nextInt(50) == 0) {
                publish();
            }
        }
        advanceBy(mRandom.nextInt(30));
    }

    /** Fills or stalls as many disks as may be lost, while the other machines store changes. */
    private void publishWithDiskFaults() {
        List<SimulatedMachine> order = new ArrayList<>(mMachines);
        Collections.shuffle(order, mRandom);
        for (SimulatedMachine faulty : order.subList(0, mToleratedLosses)) {
            if (mRandom.nextBoolean()) {
                mReport.count("fault disk full");
                faulty.limitDiskSpace(mRandom.nextInt(500));
            } else {
                mReport.count("fault disk stalled");
                faulty.stallDiskUntil(mNow + 3000);
            }
        }
        runUntilAcknowledgement();
    }

    private long snapshots() {
        return mMachines.stream().mapToLong(SimulatedMachine::snapshots).sum();
    }

    private void kill(SimulatedMachine machine) {
        machine.kill();
        machine.startAt(mNow + mRandom.nextInt(1000));
    }

    private void losePower(SimulatedMachine machine) {
        machine.losePower();
        machine.startAt(mNow + mRandom.nextInt(1000));
    }

    private void loseDisk(SimulatedMachine machine) {
        machine.loseDisk();
        machine.startAt(mNow + mRandom.nextInt(1000));
    }

    /** Checks that acknowledged changes are present, and the group is complete, in time. */
    private void checkRecovery() {
        stopFaults();
        while (!mMachines.stream().allMatch(SimulatedMachine::isUp) && mReport.isGood()) {
            advance();
        }
        long acked = mAckedVersion;
        Map<String, Long> weights = new TreeMap<>(mAckedWeights);
        long deadline = mNow + RECOVERY_TIMEOUT_MILLIS;
        long published = publish();
        while (mAckedVersion < published && mNow < deadline && mReport.isGood()) {
            advance();
            if (mNow % 100 == 0) {
                published = publish();
            }
        }
        mReport.check(mAckedVersion >= published, "the group works again", "version " + published);
        awaitComplete(deadline, "the group is complete again");
        for (SimulatedMachine machine : mMachines) {
            FleetState state = machine.state();
            checkContent(machine.id(), state);
            mReport.check(
                    state.version() >= acked,
                    "acknowledged changes are present",
                    machine.id() + " " + state.version() + " of " + acked);
            weights.forEach(
                    (model, version) ->
                            mReport.check(
                                    state.weights().getOrDefault(model, 0L) >= version,
                                    "named weights are present",
                                    machine.id() + " " + model));
        }
    }

    private void awaitComplete(long deadline, String name) {
        while (!isComplete() && mNow < deadline && mReport.isGood()) {
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
        for (SimulatedMachine machine : mMachines) {
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
                && membership.voters().size() == 2 * mToleratedLosses + 1;
    }

    private List<String> describe() {
        List<String> all = new ArrayList<>();
        for (SimulatedMachine machine : mMachines) {
            all.add(
                    machine.isUp()
                            ? machine.id() + " " + machine.node().replica().membership()
                            : machine.address() + " down");
        }
        return all;
    }

    private void advanceBy(long millis) {
        for (long i = 0; i < millis; i++) {
            advance();
        }
    }

    /** Publishes a new version at the current leaders, and sometimes names weights as well. */
    private long publish() {
        long version = ++mVersion;
        byte[] document = new byte[documentSize()];
        new Random(version).nextBytes(document);
        mDocuments.put(version, document);
        for (SimulatedMachine machine : mMachines) {
            if (machine.isRunning() && machine.node().isLeader()) {
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
        return mProfile == Profile.MANY_SNAPSHOTS
                ? mRandom.nextInt(MAX_DOCUMENT_BYTES)
                : 40 + mRandom.nextInt(200);
    }

    private static CompletableFuture<?> propose(SimulatedMachine machine, FleetCommand command) {
        return machine.node().propose(FleetJson.encode(command));
    }

    /** The faults that are frequent in a run. */
    enum Profile {
        PLAIN,

        /** Documents so large that logs are compacted into snapshots repeatedly. */
        MANY_SNAPSHOTS,

        /** Disks that are full, or delay writes for seconds. */
        FAULTY_DISKS
    }
}
