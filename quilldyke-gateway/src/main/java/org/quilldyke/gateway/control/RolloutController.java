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

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.gateway.instance.RolloutFrames;
import org.quilldyke.gateway.instance.proto.CanaryFraction;
import org.quilldyke.gateway.instance.proto.CanaryFractions;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.gateway.instance.proto.RolloutReport;
import org.quilldyke.gateway.instance.proto.RolloutReports;
import org.quilldyke.manifest.FleetCommand;
import org.quilldyke.manifest.FleetResult;
import org.quilldyke.manifest.FleetState;
import org.quilldyke.rollout.Rollout;
import org.quilldyke.rollout.RolloutDecision;
import org.quilldyke.rollout.RolloutObservation;
import org.quilldyke.rollout.RolloutPhase;
import org.quilldyke.rollout.RolloutTolerance;
import org.quilldyke.rollout.RolloutTotals;
import org.quilldyke.rollout.ServiceVersions;

/**
 * Collects what entries observe of running rollouts, and moves rollouts to their next phase while
 * this process leads. Does nothing as long as there are no rollouts. Confined to the control
 * thread.
 */
final class RolloutController {
    /** How often the leader sends canary fractions; entries use them for 1 s. */
    static final long FRACTION_MILLIS = 250;

    /**
     * A new leader decides nothing for this long: within it, all control processes send it the
     * evidence that they hold. A verdict from a part of the evidence could be wrong.
     */
    private static final long EVIDENCE_WAIT_MILLIS = 300;

    /**
     * After its start a process decides nothing for so many report intervals: until all targets
     * have reported, targets of the old version may be unknown, and a rollout without old targets
     * is completed at once.
     */
    private static final int REPORTS_UNTIL_TARGETS_ARE_KNOWN = 2;

    private final Dependencies mUsed;
    private final QuotaService.Leadership mLeadership;
    private final LongSupplier mClock;
    private final RolloutLog mLog;
    private final boolean mEnabled;
    private final RolloutReportBuffer mReports;
    private final long mTargetsKnownAt;

    /** When each rollout began in terms of this process's clock, by index. */
    private final Map<Long, Long> mBeganAt = new HashMap<>();

    /** At the leader, by index. */
    private final Map<Long, RolloutTotals> mTotals = new HashMap<>();

    private final Map<Long, Double> mFractions = new HashMap<>();

    /** The rollouts whose next phase is proposed. */
    private final Set<Long> mProposed = new HashSet<>();

    private final EnumMap<RolloutPhase, Counter> mPhaseChanges = new EnumMap<>(RolloutPhase.class);
    private volatile RolloutCounts mCounts = RolloutCounts.NONE;
    private Map<String, ServiceVersions> mVersions = Map.of();

    /** Since when this process leads; empty once another one does. */
    private OptionalLong mLeadsSince = OptionalLong.empty();

    private long mFractionsSentAt = Long.MIN_VALUE / 2;

    RolloutController(
            Dependencies used, RolloutTolerance tolerance, long targetReportMillis, EventLog log) {
        mUsed = used;
        mLeadership = used.leadership();
        mClock = used.clock();
        mLog = new RolloutLog(log, used.clock());
        mEnabled = tolerance.permitsRollouts();
        mReports = new RolloutReportBuffer(used.clock());
        mTargetsKnownAt = mClock.getAsLong() + REPORTS_UNTIL_TARGETS_ARE_KNOWN * targetReportMillis;
        for (RolloutPhase phase : RolloutPhase.values()) {
            mPhaseChanges.put(phase, new Counter());
        }
    }

    /** Registers the metrics, if operators may order rollouts. */
    void registerMetrics(MetricRegistry registry) {
        if (!mEnabled) {
            return;
        }
        registry.register("rollouts.running", (Gauge<Integer>) () -> mCounts.running());
        registry.register("rollouts.requests", (Gauge<Long>) () -> mCounts.requests());
        registry.register("rollouts.canaries", (Gauge<Long>) () -> mCounts.canaries());
        registry.register("rollouts.answers.old", (Gauge<Long>) () -> mCounts.oldAnswers());
        registry.register("rollouts.answers.new", (Gauge<Long>) () -> mCounts.newAnswers());
        registry.register("rollouts.bad.old", (Gauge<Long>) () -> mCounts.oldBad());
        registry.register("rollouts.bad.new", (Gauge<Long>) () -> mCounts.newBad());
        registry.register("rollouts.shifting", mPhaseChanges.get(RolloutPhase.SHIFTING));
        registry.register("rollouts.completed", mPhaseChanges.get(RolloutPhase.COMPLETED));
        registry.register("rollouts.reverted", mPhaseChanges.get(RolloutPhase.REVERTED));
    }

    /** Applies the state after a change. */
    void onState(FleetState state) {
        if (mVersions.isEmpty() && state.versions().isEmpty()) {
            return;
        }
        mVersions = state.versions();
        Set<Long> known = new HashSet<>();
        Set<Long> running = new HashSet<>();
        for (ServiceVersions versions : mVersions.values()) {
            Rollout rollout = versions.rollout();
            known.add(rollout.index());
            mBeganAt.putIfAbsent(rollout.index(), mClock.getAsLong());
            if (rollout.phase().isRunning()) {
                running.add(rollout.index());
            }
        }
        mBeganAt.keySet().retainAll(known);
        mTotals.keySet().retainAll(running);
        mFractions.keySet().retainAll(running);
        mLog.retain(running);
        mReports.retain(report -> mayCount(report.getService(), report.getIndex()));
    }

    /** Returns the time since a rollout was ordered, as far as this process knows. */
    long ageMillis(Rollout rollout) {
        long now = mClock.getAsLong();
        return now - mBeganAt.getOrDefault(rollout.index(), now);
    }

    /** Handles the report of an entry of this process. */
    void onEntryReport(String entry, RolloutReport report) {
        if (mayCount(report.getService(), report.getIndex())) {
            learnAge(report);
            mReports.add(report.toBuilder().setEntry(entry).build());
        }
    }

    /** Handles the reports that another control process has received; a leader uses them. */
    void onPeerReports(RolloutReports reports) {
        if (mLeadership.leaderAddress().isEmpty()) {
            reports.getReportsList().forEach(this::use);
        }
    }

    /** Handles the fractions that another process sends; only those of the leader are used. */
    void onPeerFractions(String from, CanaryFractions fractions) {
        if (mLeadership.leaderAddress().filter(from::equals).isPresent()) {
            mUsed.toEntries().accept(fractions);
        }
    }

    /** Forwards reports and decides on rollouts if this process leads; called periodically. */
    void tick() {
        if (mVersions.isEmpty() && mReports.isEmpty()) {
            return;
        }
        long now = mClock.getAsLong();
        Optional<String> leader = mLeadership.leaderAddress();
        if (leader.isPresent()) {
            mLeadsSince = OptionalLong.empty();
            mTotals.clear();
            mFractions.clear();
            mCounts = RolloutCounts.NONE;
        } else if (mLeadsSince.isEmpty() && mLeadership.holdsLease()) {
            mLeadsSince = OptionalLong.of(now);
        }
        forward(leader);
        if (mayDecide(now)) {
            mVersions.values().stream()
                    .filter(versions -> versions.rollout().phase().isRunning())
                    .forEach(this::decide);
            mCounts = RolloutCounts.of(runningRollouts().count(), mTotals.values());
            sendFractions(now);
        }
    }

    private boolean mayDecide(long now) {
        return mEnabled
                && mLeadership.holdsLease()
                && now - mLeadsSince.orElse(now) >= EVIDENCE_WAIT_MILLIS
                && now >= mTargetsKnownAt;
    }

    private void forward(Optional<String> leader) {
        if (mLeadership.holdsLease()) {
            mReports.takeFor("").forEach(batch -> batch.getReportsList().forEach(this::use));
        } else if (leader.isPresent()) {
            for (RolloutReports batch : mReports.takeFor(leader.get())) {
                mUsed.toPeer()
                        .accept(leader.get(), PeerFrame.newBuilder().setRolloutReports(batch));
            }
        }
    }

    private void use(RolloutReport report) {
        if (mayCount(report.getService(), report.getIndex())) {
            learnAge(report);
            mTotals.computeIfAbsent(report.getIndex(), RolloutTotals::create)
                    .onReport(report.getEntry(), RolloutFrames.decode(report));
        }
    }

    /** An entry that has learned of the rollout earlier knows a higher age. */
    private void learnAge(RolloutReport report) {
        long beganAt = mClock.getAsLong() - report.getAgeMs();
        mBeganAt.computeIfPresent(report.getIndex(), (index, known) -> Math.min(known, beganAt));
    }

    /** A rollout that this process has not applied yet may be running. */
    private boolean mayCount(String service, long index) {
        ServiceVersions versions = mVersions.get(service);
        return versions == null
                || index > versions.rollout().index()
                || index == versions.rollout().index() && versions.rollout().phase().isRunning();
    }

    private void decide(ServiceVersions versions) {
        Rollout rollout = versions.rollout();
        if (mProposed.contains(rollout.index())) {
            return;
        }
        RolloutObservation seen = observe(versions);
        RolloutDecision decision = mUsed.planner().apply(rollout, seen);
        boolean reverts = decision.next().equals(Optional.of(RolloutPhase.REVERTED));
        if (reverts) {
            mFractions.put(rollout.index(), 0.0);
        } else if (decision.next().isEmpty()) {
            // The fraction of another phase applies only once that phase is committed.
            mFractions.put(rollout.index(), decision.canaryFraction());
        }
        mLog.onEvidence(rollout, seen, mFractions.getOrDefault(rollout.index(), 0.0));
        if (reverts) {
            // Entries stop before the phase is committed.
            mFractionsSentAt = mClock.getAsLong() - FRACTION_MILLIS;
        }
        decision.next().ifPresent(next -> propose(rollout, next, decision, seen));
    }

    private RolloutObservation observe(ServiceVersions versions) {
        Rollout rollout = versions.rollout();
        RolloutTotals totals = mTotals.computeIfAbsent(rollout.index(), RolloutTotals::create);
        Map<String, Integer> open = mUsed.openRequests().get();
        List<String> oldVersions = new ArrayList<>();
        int newTargets = 0;
        int oldTargets = 0;
        long openAtOldTargets = 0;
        for (TargetReport target : mUsed.targets().get()) {
            String version = target.softwareVersion();
            if (!target.service().equals(rollout.service())) {
                continue;
            }
            if (version.equals(rollout.version())) {
                newTargets += target.leaving() ? 0 : 1;
                continue;
            }
            // A leaving target of the old version still counts: requests may be open there.
            oldTargets += versions.retired().contains(version) ? 0 : 1;
            openAtOldTargets += open.getOrDefault(target.key(), 0);
            if (!oldVersions.contains(version)) {
                oldVersions.add(version);
            }
        }
        return new RolloutObservation(
                Math.max(ageMillis(rollout), totals.ageMillis()),
                totals.requests(),
                totals.followedRequests(),
                totals.canaries(),
                totals.rows(),
                newTargets,
                oldTargets,
                openAtOldTargets,
                oldVersions);
    }

    private void propose(
            Rollout rollout, RolloutPhase next, RolloutDecision decision, RolloutObservation seen) {
        mProposed.add(rollout.index());
        mUsed.propose()
                .apply(
                        new FleetCommand.SetRolloutPhase(
                                rollout.service(), rollout.index(), next, decision.retired()))
                .whenComplete(
                        (result, e) -> {
                            // After a failure the next tick decides again.
                            mProposed.remove(rollout.index());
                            if (e == null && result.changed()) {
                                mPhaseChanges.get(next).inc();
                                mLog.onPhase(rollout, next, decision, seen);
                            }
                        });
    }

    private void sendFractions(long now) {
        CanaryFractions.Builder out = CanaryFractions.newBuilder();
        runningRollouts()
                .filter(rollout -> rollout.phase() == RolloutPhase.CANARY)
                .filter(rollout -> mFractions.containsKey(rollout.index()))
                .forEach(
                        rollout ->
                                out.addFractions(
                                        CanaryFraction.newBuilder()
                                                .setService(rollout.service())
                                                .setIndex(rollout.index())
                                                .setFraction(mFractions.get(rollout.index()))));
        if (out.getFractionsCount() > 0 && now - mFractionsSentAt >= FRACTION_MILLIS) {
            mFractionsSentAt = now;
            mUsed.toPeers().accept(PeerFrame.newBuilder().setCanaryFractions(out));
            mUsed.toEntries().accept(out.build());
        }
    }

    private Stream<Rollout> runningRollouts() {
        return mVersions.values().stream()
                .map(ServiceVersions::rollout)
                .filter(rollout -> rollout.phase().isRunning());
    }

    /**
     * The parts that the controller uses.
     *
     * @param planner decides on a rollout
     * @param leadership provides the current leader
     * @param propose proposes commands
     * @param targets provides the live targets
     * @param openRequests provides the number of open requests at each target, of all entries
     * @param toPeer sends a frame to the control process at an address
     * @param toPeers sends a frame to all other control processes
     * @param toEntries sends fractions to the entries of this process
     * @param clock monotonic milliseconds
     */
    record Dependencies(
            BiFunction<Rollout, RolloutObservation, RolloutDecision> planner,
            QuotaService.Leadership leadership,
            Function<FleetCommand, CompletableFuture<FleetResult>> propose,
            Supplier<List<TargetReport>> targets,
            Supplier<Map<String, Integer>> openRequests,
            BiConsumer<String, PeerFrame.Builder> toPeer,
            Consumer<PeerFrame.Builder> toPeers,
            Consumer<CanaryFractions> toEntries,
            LongSupplier clock) {}
}
