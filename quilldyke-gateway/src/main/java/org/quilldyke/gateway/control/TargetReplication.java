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
 * The targets that report themselves to any control process, known at all of them and at all
 * entries: news at once, signs of life now and then.
 *
 * <p>After a restart entries are told what the process remembers: targets report themselves every
 * second or so, and until then requests would meet few of them, or none. A target that has ended
 * meanwhile, or whose address another one has, takes no request that names it.
 */
final class TargetReplication {
    /** How often the signs of life that came here are told to other control processes. */
    static final long LIVENESS_REPORT_MILLIS = 800;

    /** How often all targets are told anew: one that lapsed somewhere by mistake is known again. */
    static final long REFRESH_MILLIS = 5000;

    /** A target lapses after this many of its reports have not come, by a margin for late ones. */
    private static final double LAPSE_REPORT_INTERVALS = 3.5;

    /** Signs of life come from others this often at the least before a target lapses here. */
    private static final long LAPSE_LIVENESS_REPORTS = 3;

    /**
     * A remembered target that hasn't reported itself within this many of its reports' intervals is
     * forgotten: it had one chance to be heard, and half an interval for a late report.
     */
    private static final double RESTORED_EXPIRY_REPORT_INTERVALS = 1.5;

    /** A start takes as long at the least until targets can report themselves. */
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
    private long mConnectedSince;
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
        mConnectedSince = clock.getAsLong();
        mRefreshedAt = mConnectedSince;
        long restoredExpiryMillis =
                Math.round(reportIntervalMillis * RESTORED_EXPIRY_REPORT_INTERVALS);
        mRestoredExpireAt =
                mConnectedSince + Math.max(MIN_RESTORED_EXPIRY_MILLIS, restoredExpiryMillis);
        warmStart.leaves().forEach(leave -> applyLeave(leave, mConnectedSince));
        warmStart.targets().forEach(report -> mRegistry.onReport(report, mConnectedSince));
    }

    /**
     * Takes the services that there are; until it is called, targets of any service are taken that
     * take no known target's place.
     */
    void onServices(Set<String> names) {
        mServices = Optional.of(Set.copyOf(names));
    }

    /**
     * Takes a report that came here.
     *
     * @param report what the target says
     * @param includesWeights whether it says which weights it holds, be it none
     * @return whether it may be acknowledged: that a target leaves has to be known elsewhere, too
     * @throws QuilldykeException {@link ResultCode#REPORT_SERVICE} if no service has its name; a
     *     target that was known with it before goes on to live. {@link ResultCode#REPORT_INVALID}
     *     if it says nothing of weights that the target is known to hold
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

    /** The reports of a target that is leaving come again and again. */
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
     * Takes the news that a target is gone, told here; without a birth, whoever has its id now.
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
     * Takes what another instance knows; news go on to the entries here. Those of targets that
     * leave go on to all control processes: who told them may end before it has reached the others.
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

    /** Returns a live target as it is known here, where it may be suspended; others as told. */
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
     * One that can't be taken costs the others nothing; nor does one of a service that isn't known
     * here: who told it may not know the services either, or know a newer one.
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

    /** Returns all that is known, for entries. */
    Targets snapshot() {
        return snapshot(report -> true);
    }

    /** Returns what is known of targets that were heard, for other control processes. */
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

    /** Returns the last report of each target. */
    List<TargetReport> reports() {
        return mRegistry.reports();
    }

    /** Notes weights that an engine is known to hold before it reports them. */
    void onWeights(String id, String model, long version) {
        mRegistry.onWeights(id, model, version);
    }

    /**
     * Tells signs of life, and finds targets that were silent for too long.
     *
     * @param hasRecentLeader whether this process hears the others: one that is cut off can't tell
     *     a silent target from one that reports elsewhere
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
        if (!hasRecentLeader) {
            mConnectedSince = now;
        }
        if (now - mConnectedSince < mLapseMillis) {
            return;
        }
        lapse(now);
    }

    /**
     * What is remembered of a target has no sequence, so that of one that is leaving the departure
     * is stored besides.
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
