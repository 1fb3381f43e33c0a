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
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.Departure;
import org.quilldyke.engine.LeaveOutcome;
import org.quilldyke.engine.TargetRegistry;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.gateway.engine.RefusalLog;
import org.quilldyke.gateway.instance.TargetFrames;
import org.quilldyke.gateway.instance.proto.Alive;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.gateway.instance.proto.Target;
import org.quilldyke.gateway.instance.proto.Targets;

/**
 * Replicates the targets that report to any control process to all control processes and entries:
 * changes immediately, liveness reports periodically.
 *
 * <p>After a restart entries receive the targets restored from disk: targets report about once a
 * second, and until then entries would know few or none of them. Requests name the target they are
 * meant for, so one that has stopped meanwhile, or whose address another target uses, executes none
 * of them.
 */
final class TargetReplication {
    /** Interval at which liveness reports are forwarded to other control processes. */
    static final long LIVENESS_REPORT_MILLIS = 800;

    /**
     * Interval at which all targets are sent again, so that a target that lapsed somewhere by
     * mistake is restored.
     */
    static final long REFRESH_MILLIS = 5000;

    /** A target lapses after this many report intervals, which leaves a margin for late reports. */
    private static final double LAPSE_REPORT_INTERVALS = 3.5;

    /** At least this many liveness reports of peers are due before a target lapses here. */
    private static final long LAPSE_LIVENESS_REPORTS = 3;

    /** After a longer time between two ticks, reports may have arrived that are not read yet. */
    private static final long MAX_TICK_GAP_MILLIS = 1000;

    /**
     * A restored target expires after this many of its report intervals: one report and half an
     * interval for a late one.
     */
    private static final double RESTORED_EXPIRY_REPORT_INTERVALS = 1.5;

    /** Processes need at least this long after a start before targets can report to them. */
    private static final long MIN_RESTORED_EXPIRY_MILLIS = 1500;

    private final TargetRegistry mRegistry = TargetRegistry.create();
    private final Set<String> mReportedHere = new HashSet<>();
    private final Consumer<PeerFrame.Builder> mToPeers;
    private final AckedBroadcasts mBroadcasts;
    private final Consumer<Targets> mToEntries;
    private final LongSupplier mClock;
    private final TargetLog mLog;
    private final WarmStartData mWarmStart;
    private final RefusalLog mRejectedReports;
    private final long mLapseMillis;
    private final long mRestoredExpireAt;
    private boolean mSaveNeeded;
    private long mLivenessSentAt;
    private long mRefreshedAt;
    private long mLeaderContactSince;
    private long mTickedAt;
    private Optional<Set<String>> mServices = Optional.empty();

    TargetReplication(
            Consumer<PeerFrame.Builder> toPeers,
            AckedBroadcasts broadcasts,
            Consumer<Targets> toEntries,
            LongSupplier clock,
            EventLog log,
            WarmStartData warmStart,
            RefusalLog rejectedReports,
            long reportIntervalMillis) {
        mToPeers = toPeers;
        mBroadcasts = broadcasts;
        mToEntries = toEntries;
        mClock = clock;
        mLog = new TargetLog(log);
        mWarmStart = warmStart;
        mRejectedReports = rejectedReports;
        mLapseMillis =
                Math.max(
                        Math.round(reportIntervalMillis * LAPSE_REPORT_INTERVALS),
                        LAPSE_LIVENESS_REPORTS * LIVENESS_REPORT_MILLIS);
        mLeaderContactSince = clock.getAsLong();
        mTickedAt = mLeaderContactSince;
        mRefreshedAt = mLeaderContactSince;
        long restoredExpiryMillis =
                Math.round(reportIntervalMillis * RESTORED_EXPIRY_REPORT_INTERVALS);
        mRestoredExpireAt =
                mLeaderContactSince + Math.max(MIN_RESTORED_EXPIRY_MILLIS, restoredExpiryMillis);
        warmStart.leaves().forEach(leave -> applyLeave(leave, mLeaderContactSince));
        warmStart.targets().forEach(report -> mRegistry.onReport(report, mLeaderContactSince));
    }

    /**
     * Sets the known services. Until the first call, targets of any service are accepted unless
     * they would displace a known target of another service.
     */
    void onServices(Set<String> names) {
        mServices = Optional.of(Set.copyOf(names));
    }

    /**
     * Handles a report that was sent to this process.
     *
     * @param report the target's report
     * @param includesWeights whether the report states which weights the target holds, even if none
     * @return whether it may be acknowledged: a leaving target has to be known to other processes
     *     first
     * @throws QuilldykeException {@link ResultCode#REPORT_SERVICE} if no service has its name;
     *     targets that were known with this service before are still accepted. {@link
     *     ResultCode#REPORT_INVALID} if it omits the weights of a target that is known to hold some
     */
    CompletableFuture<Boolean> onReport(TargetReport report, boolean includesWeights)
            throws QuilldykeException {
        Optional<TargetReport> before = mRegistry.report(report.key());
        boolean holdsWeights = before.map(known -> !known.weights().isEmpty()).orElse(false);
        if (holdsWeights && !includesWeights) {
            throw QuilldykeException.notRun(ResultCode.REPORT_INVALID, "models");
        }
        if (!hasKnownService(report)
                && (mServices.isPresent() || mRegistry.conflictsWithOtherService(report))) {
            throw QuilldykeException.notRun(ResultCode.REPORT_SERVICE, report.service());
        }
        long now = mClock.getAsLong();
        mReportedHere.add(report.key());
        if (!report.leaving()) {
            mBroadcasts.forget(report.key());
        }
        if (mRegistry.onReport(report, now)) {
            TargetReport stored = mRegistry.report(report.key()).orElse(report);
            mLog.onChange(before.isPresent(), stored);
            mSaveNeeded = true;
            publish(Targets.newBuilder().addTargets(TargetFrames.encode(stored, 0)).build());
        }
        if (report.leaving() && isActive(report.key())) {
            mLog.onOutdatedLeave(report.key(), mRegistry.reports());
        }
        processRemovedTargets();
        return report.leaving() ? broadcastLeave(report.key()) : AckedBroadcasts.COMPLETED;
    }

    /** Broadcasts a target's leave once only, since a leaving target repeats its report. */
    private CompletableFuture<Boolean> broadcastLeave(String id) {
        Targets.Builder leaving = Targets.newBuilder();
        mRegistry
                .report(id)
                .filter(TargetReport::leaving)
                .ifPresent(known -> leaving.addTargets(TargetFrames.encode(known, 0)));
        mRegistry
                .departure(id)
                .ifPresent(departure -> leaving.addTargets(TargetFrames.encode(departure, 0)));
        return leaving.getTargetsCount() == 0
                ? AckedBroadcasts.COMPLETED
                : mBroadcasts.broadcastOnce(id, leaving.build());
    }

    private boolean isActive(String id) {
        return mRegistry.report(id).map(known -> !known.leaving()).orElse(false);
    }

    private boolean hasKnownService(TargetReport report) {
        String name = report.service();
        return mServices.map(names -> names.contains(name)).orElse(false)
                || mRegistry
                        .report(report.key())
                        .map(known -> known.service().equals(name))
                        .orElse(false);
    }

    /**
     * Handles a leave notice sent to this process. Without a start time it refers to the
     * incarnation that has the id at present.
     *
     * @return whether it may be acknowledged
     */
    CompletableFuture<Boolean> onLeave(String key) {
        long now = mClock.getAsLong();
        LeaveOutcome outcome = mRegistry.onLeave(key, now);
        mLog.onLeave(key, outcome, mRegistry.reports());
        Targets targets = Targets.newBuilder().addAllTargets(encode(outcome)).build();
        if (outcome.needsPropagation()) {
            mSaveNeeded = true;
            mToEntries.accept(targets);
        }
        processRemovedTargets();
        return mBroadcasts.broadcast(targets);
    }

    private static List<Target> encode(LeaveOutcome outcome) {
        List<Target> targets = new ArrayList<>();
        if (outcome.hasDeparted()) {
            targets.add(TargetFrames.encode(outcome.target(), Target.Standing.GONE));
        }
        outcome.suspension()
                .ifPresent(suspension -> targets.add(TargetFrames.encode(suspension, 0)));
        return targets;
    }

    /**
     * Applies the targets of another instance, and forwards changes to the entries of this process.
     * Leaves are also forwarded to all control processes, since the sender may stop before its
     * message has reached the others.
     */
    void onTargets(Targets targets) {
        long now = mClock.getAsLong();
        Targets.Builder changes = Targets.newBuilder();
        Targets.Builder leaves = Targets.newBuilder();
        for (Target target : targets.getTargetsList()) {
            boolean isNew =
                    switch (target.getStanding()) {
                        case GONE, SUSPENDED -> applyLeave(target, now);
                        case LAPSED -> false;
                        default -> applyReport(target, now);
                    };
            if (isNew) {
                changes.addTargets(asKnownHere(target, now));
            }
            if (isNew && isLeave(target)) {
                leaves.addTargets(target);
            }
        }
        processRemovedTargets();
        for (Alive alive : targets.getAliveList()) {
            mRegistry.onAlive(alive.getId(), now - alive.getAgeMs());
        }
        if (changes.getTargetsCount() > 0) {
            mSaveNeeded = true;
            mToEntries.accept(changes.build());
        }
        if (leaves.getTargetsCount() > 0) {
            mToPeers.accept(PeerFrame.newBuilder().setTargets(leaves));
        }
    }

    private static boolean isLeave(Target target) {
        return switch (target.getStanding()) {
            case GONE, SUSPENDED -> true;
            case LIVE -> target.getLeaving();
            default -> false;
        };
    }

    /**
     * Returns the local state of a live target, which may be suspended here; other targets as
     * received.
     */
    private Target asKnownHere(Target received, long now) {
        return received.getStanding() != Target.Standing.LIVE
                ? received
                : mRegistry
                        .report(received.getId())
                        .map(report -> TargetFrames.encode(report, now - lastSeenAt(report)))
                        .orElse(received);
    }

    private long lastSeenAt(TargetReport report) {
        return mRegistry.lastSeenAt(report.key());
    }

    private boolean applyLeave(Target target, long now) {
        return target.getStanding() == Target.Standing.SUSPENDED
                ? mRegistry.onSuspension(TargetFrames.decodeSuspension(target, now))
                : mRegistry.onDeparture(TargetFrames.decodeDeparture(target, now));
    }

    /**
     * Applies a received report; an invalid one is rejected without effect on the others. So is one
     * of an unknown service that conflicts with a known target: the sender may not know the
     * services yet, or may know a newer manifest.
     */
    private boolean applyReport(Target target, long now) {
        try {
            TargetReport report = TargetFrames.decode(target);
            if (!hasKnownService(report) && mRegistry.conflictsWithOtherService(report)) {
                throw QuilldykeException.notRun(ResultCode.REPORT_SERVICE, report.service());
            }
            return mRegistry.onReport(report, now - target.getAgeMs());
        } catch (QuilldykeException e) {
            mRejectedReports.onRefused(RefusalLog.Source.INSTANCE, target.getId(), e);
            return false;
        }
    }

    private void processRemovedTargets() {
        for (String id : mRegistry.takeSuperseded()) {
            mLog.onSuperseded(id);
            mSaveNeeded = true;
        }
        for (String id : mRegistry.takeDisplaced()) {
            mLog.onDisplaced(id);
        }
        Targets.Builder departures = Targets.newBuilder();
        for (Departure departure : mRegistry.takeInferredDepartures()) {
            mLog.onDeparture(departure);
            departures.addTargets(TargetFrames.encode(departure, 0));
            mSaveNeeded = true;
        }
        if (departures.getTargetsCount() > 0) {
            publish(departures.build());
        }
    }

    /** Returns all targets, for entries. */
    Targets snapshot() {
        return snapshot(report -> true);
    }

    /** Returns the leaves, and the targets seen since the start, for other control processes. */
    Targets snapshotForPeers() {
        return snapshot(report -> !report.isRestored());
    }

    private Targets snapshot(Predicate<TargetReport> filter) {
        long now = mClock.getAsLong();
        Targets.Builder targets = Targets.newBuilder();
        for (TargetReport report : mRegistry.reports()) {
            if (filter.test(report)) {
                targets.addTargets(TargetFrames.encode(report, now - lastSeenAt(report)));
            }
        }
        return targets.addAllTargets(TargetFrames.encodeLeaves(mRegistry, now)).build();
    }

    List<TargetReport> reports() {
        return mRegistry.reports();
    }

    /** Records weights that an engine holds before it reports them. */
    void onWeights(String id, String model, long version) {
        mRegistry.onWeights(id, model, version);
    }

    /**
     * Sends liveness reports, and lapses targets that have not reported for too long.
     *
     * @param hasRecentLeader whether this process is in contact with a leader; one that is cut off
     *     can't distinguish an unresponsive target from one that reports to another process
     */
    void tick(boolean hasRecentLeader) {
        long now = mClock.getAsLong();
        mBroadcasts.expire();
        if (now - mLivenessSentAt >= LIVENESS_REPORT_MILLIS) {
            mLivenessSentAt = now;
            sendLivenessReports(now);
        }
        if (hasRecentLeader && now - mRefreshedAt >= REFRESH_MILLIS) {
            mRefreshedAt = now;
            publish(snapshotForPeers());
        }
        if (now >= mRestoredExpireAt) {
            expireRestored();
        }
        if (mSaveNeeded) {
            mSaveNeeded = !save(now);
        }
        if (!hasRecentLeader || now - mTickedAt > MAX_TICK_GAP_MILLIS) {
            mLeaderContactSince = now;
        }
        mTickedAt = now;
        if (now - mLeaderContactSince < mLapseMillis) {
            return;
        }
        lapse(now);
    }

    /**
     * Saves targets and leaves. Saved targets have no sequence, so the departure of a leaving
     * target is saved as well.
     */
    private boolean save(long now) {
        List<Target> leaves = new ArrayList<>(TargetFrames.encodeLeaves(mRegistry, now));
        for (TargetReport report : mRegistry.reports()) {
            if (report.leaving() && !report.isRestored()) {
                leaves.add(TargetFrames.encode(Departure.upTo(report, now), 0));
            }
        }
        boolean leavesSubmitted = mWarmStart.saveLeaves(leaves);
        return mWarmStart.saveTargets(mRegistry.reports()) && leavesSubmitted;
    }

    private void lapse(long now) {
        mBroadcasts.retain(id -> mRegistry.report(id).isPresent());
        Targets.Builder lapsed = Targets.newBuilder();
        for (TargetReport report : mRegistry.lapse(mLapseMillis, now)) {
            mLog.onLapsed(report, mLapseMillis);
            lapsed.addTargets(TargetFrames.encode(report.key(), Target.Standing.LAPSED));
            mSaveNeeded = true;
        }
        if (lapsed.getTargetsCount() > 0) {
            mToEntries.accept(lapsed.build());
        }
        processRemovedTargets();
    }

    private void expireRestored() {
        Targets.Builder expired = Targets.newBuilder();
        for (String id : mRegistry.removeRestored()) {
            mLog.onRestoredExpired(id);
            expired.addTargets(TargetFrames.encode(id, Target.Standing.LAPSED));
            mSaveNeeded = true;
        }
        if (expired.getTargetsCount() > 0) {
            mToEntries.accept(expired.build());
        }
    }

    private void sendLivenessReports(long now) {
        List<Alive> alive = new ArrayList<>();
        for (String id : mReportedHere) {
            long age = now - mRegistry.lastSeenAt(id);
            if (mRegistry.report(id).isPresent()) {
                alive.add(Alive.newBuilder().setId(id).setAgeMs(age).build());
            }
        }
        mReportedHere.clear();
        if (!alive.isEmpty()) {
            mToPeers.accept(
                    PeerFrame.newBuilder().setTargets(Targets.newBuilder().addAllAlive(alive)));
        }
    }

    private void publish(Targets targets) {
        mToPeers.accept(PeerFrame.newBuilder().setTargets(targets));
        mToEntries.accept(targets);
    }
}
