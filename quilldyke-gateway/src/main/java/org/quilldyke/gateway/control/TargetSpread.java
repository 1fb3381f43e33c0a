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
final class TargetSpread {
    /** How often the signs of life that came here are told to other control processes. */
    static final long ALIVE_MILLIS = 800;

    /** How often all targets are told anew: one that lapsed somewhere by mistake is known again. */
    static final long REFRESH_MILLIS = 5000;

    /** A target lapses after this many of its reports have not come, by a margin for late ones. */
    private static final double LAPSE_REPORTS = 3.5;

    /** Signs of life come from others this often at the least before a target lapses here. */
    private static final long LAPSE_TELLINGS = 3;

    /**
     * A remembered target that hasn't reported itself within this many of its reports' intervals is
     * forgotten: it had one chance to be heard, and half an interval for a late report.
     */
    private static final double REMEMBERED_REPORTS = 1.5;

    /** A start takes as long at the least until targets can report themselves. */
    private static final long MIN_REMEMBERED_MILLIS = 1500;

    private final TargetRegistry mRegistry = TargetRegistry.create();
    private final Set<String> mHeardHere = new HashSet<>();
    private final Consumer<PeerFrame.Builder> mPeers;
    private final Deliveries mDeliveries;
    private final Consumer<Targets> mEntries;
    private final LongSupplier mClock;
    private final TargetLog mLog;
    private final RestartMemory mMemory;
    private final RefusalLog mRefused;
    private final long mLapseMillis;
    private final long mForgetAt;
    private boolean mToSave;
    private long mToldAt;
    private long mRefreshedAt;
    private long mCompleteSince;
    private Optional<Set<String>> mServices = Optional.empty();

    TargetSpread(
            Consumer<PeerFrame.Builder> peers,
            Deliveries deliveries,
            Consumer<Targets> entries,
            LongSupplier clock,
            EventLog log,
            RestartMemory memory,
            RefusalLog refused,
            long reportMillis) {
        mPeers = peers;
        mDeliveries = deliveries;
        mEntries = entries;
        mClock = clock;
        mLog = new TargetLog(log);
        mMemory = memory;
        mRefused = refused;
        mLapseMillis =
                Math.max(Math.round(reportMillis * LAPSE_REPORTS), LAPSE_TELLINGS * ALIVE_MILLIS);
        mCompleteSince = clock.getAsLong();
        mRefreshedAt = mCompleteSince;
        long remembered = Math.round(reportMillis * REMEMBERED_REPORTS);
        mForgetAt = mCompleteSince + Math.max(MIN_REMEMBERED_MILLIS, remembered);
        memory.leaves().forEach(leave -> onLeaveTold(leave, mCompleteSince));
        memory.targets().forEach(report -> mRegistry.onReport(report, mCompleteSince));
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
     * @param tellsWeights whether it says which weights it holds, be it none
     * @return whether it may be acknowledged: that a target leaves has to be known elsewhere, too
     * @throws QuilldykeException {@link ResultCode#REPORT_SERVICE} if no service has its name; a
     *     target that was known with it before goes on to live. {@link ResultCode#REPORT_INVALID}
     *     if it says nothing of weights that the target is known to hold
     */
    CompletableFuture<Boolean> onReport(TargetReport report, boolean tellsWeights)
            throws QuilldykeException {
        Optional<TargetReport> before = mRegistry.report(report.key());
        boolean holdsSome = before.map(known -> !known.weights().isEmpty()).orElse(false);
        if (holdsSome && !tellsWeights) {
            throw QuilldykeException.notRun(ResultCode.REPORT_INVALID, "models");
        }
        if (!isOfAService(report)
                && (mServices.isPresent() || mRegistry.conflictsWithOtherService(report))) {
            throw QuilldykeException.notRun(ResultCode.REPORT_SERVICE, report.service());
        }
        long now = mClock.getAsLong();
        mHeardHere.add(report.key());
        if (!report.leaving()) {
            mDeliveries.forget(report.key());
        }
        if (mRegistry.onReport(report, now)) {
            TargetReport taken = mRegistry.report(report.key()).orElse(report);
            mLog.onNews(before.isPresent(), taken);
            mToSave = true;
            tell(Targets.newBuilder().addTargets(TargetFrames.encode(taken, 0)).build());
        }
        if (report.leaving() && isTakenForLive(report.key())) {
            mLog.onLateLeave(report.key(), mRegistry.reports());
        }
        noteEnded();
        return report.leaving() ? deliverLeaving(report.key()) : Deliveries.DONE;
    }

    /** The reports of a target that is leaving come again and again. */
    private CompletableFuture<Boolean> deliverLeaving(String id) {
        Targets.Builder leaving = Targets.newBuilder();
        mRegistry
                .report(id)
                .filter(TargetReport::leaving)
                .ifPresent(known -> leaving.addTargets(TargetFrames.encode(known, 0)));
        mRegistry.departure(id).ifPresent(left -> leaving.addTargets(TargetFrames.encode(left, 0)));
        return leaving.getTargetsCount() == 0
                ? Deliveries.DONE
                : mDeliveries.deliverOnce(id, leaving.build());
    }

    private boolean isTakenForLive(String id) {
        return mRegistry.report(id).map(known -> !known.leaving()).orElse(false);
    }

    private boolean isOfAService(TargetReport report) {
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
    CompletableFuture<Boolean> onLeave(String told) {
        long now = mClock.getAsLong();
        LeaveOutcome leave = mRegistry.onLeave(told, now);
        mLog.onLeave(told, leave, mRegistry.reports());
        Targets targets = Targets.newBuilder().addAllTargets(encode(leave)).build();
        if (leave.needsPropagation()) {
            mToSave = true;
            mEntries.accept(targets);
        }
        noteEnded();
        return mDeliveries.deliver(targets);
    }

    private static List<Target> encode(LeaveOutcome leave) {
        List<Target> targets = new ArrayList<>();
        if (leave.hasDeparted()) {
            targets.add(TargetFrames.encode(leave.target(), Target.Standing.GONE));
        }
        leave.suspension().ifPresent(suspension -> targets.add(TargetFrames.encode(suspension, 0)));
        return targets;
    }

    /**
     * Takes what another instance knows; news go on to the entries here. Those of targets that
     * leave go on to all control processes: who told them may end before it has reached the others.
     */
    void onTargets(Targets targets) {
        long now = mClock.getAsLong();
        Targets.Builder news = Targets.newBuilder();
        Targets.Builder leaves = Targets.newBuilder();
        for (Target target : targets.getTargetsList()) {
            boolean isNews =
                    switch (target.getStanding()) {
                        case GONE, SUSPENDED -> onLeaveTold(target, now);
                        case LAPSED -> false;
                        default -> isNews(target, now);
                    };
            if (isNews) {
                news.addTargets(known(target, now));
            }
            if (isNews && isLeave(target)) {
                leaves.addTargets(target);
            }
        }
        noteEnded();
        for (Alive alive : targets.getAliveList()) {
            mRegistry.onAlive(alive.getId(), now - alive.getAgeMs());
        }
        if (news.getTargetsCount() > 0) {
            mToSave = true;
            mEntries.accept(news.build());
        }
        if (leaves.getTargetsCount() > 0) {
            mPeers.accept(PeerFrame.newBuilder().setTargets(leaves));
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
    private Target known(Target told, long now) {
        return told.getStanding() != Target.Standing.LIVE
                ? told
                : mRegistry
                        .report(told.getId())
                        .map(report -> TargetFrames.encode(report, now - heardAt(report)))
                        .orElse(told);
    }

    private long heardAt(TargetReport report) {
        return mRegistry.lastSeenAt(report.key());
    }

    private boolean onLeaveTold(Target target, long now) {
        return target.getStanding() == Target.Standing.SUSPENDED
                ? mRegistry.onSuspension(TargetFrames.decodeSuspension(target, now))
                : mRegistry.onDeparture(TargetFrames.decodeDeparture(target, now));
    }

    /**
     * One that can't be taken costs the others nothing; nor does one of a service that isn't known
     * here: who told it may not know the services either, or know a newer one.
     */
    private boolean isNews(Target target, long now) {
        try {
            TargetReport report = TargetFrames.decode(target);
            if (!isOfAService(report) && mRegistry.conflictsWithOtherService(report)) {
                throw QuilldykeException.notRun(ResultCode.REPORT_SERVICE, report.service());
            }
            return mRegistry.onReport(report, now - target.getAgeMs());
        } catch (QuilldykeException e) {
            mRefused.onRefused(RefusalLog.Source.INSTANCE, target.getId(), e);
            return false;
        }
    }

    private void noteEnded() {
        for (String id : mRegistry.takeSuperseded()) {
            mLog.onEnded(id);
            mToSave = true;
        }
        for (String id : mRegistry.takeDisplaced()) {
            mLog.onDisplaced(id);
        }
        Targets.Builder left = Targets.newBuilder();
        for (Departure departure : mRegistry.takeInferredDepartures()) {
            mLog.onLeft(departure);
            left.addTargets(TargetFrames.encode(departure, 0));
            mToSave = true;
        }
        if (left.getTargetsCount() > 0) {
            tell(left.build());
        }
    }

    /** Returns all that is known, for entries. */
    Targets all() {
        return all(report -> true);
    }

    /** Returns what is known of targets that were heard, for other control processes. */
    Targets heard() {
        return all(report -> !report.isRestored());
    }

    private Targets all(Predicate<TargetReport> which) {
        long now = mClock.getAsLong();
        Targets.Builder all = Targets.newBuilder();
        for (TargetReport report : mRegistry.reports()) {
            if (which.test(report)) {
                all.addTargets(TargetFrames.encode(report, now - heardAt(report)));
            }
        }
        return all.addAllTargets(TargetFrames.encodeLeaves(mRegistry, now)).build();
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
     * @param inTouch whether this process hears the others: one that is cut off can't tell a silent
     *     target from one that reports elsewhere
     */
    void tick(boolean inTouch) {
        long now = mClock.getAsLong();
        mDeliveries.expire();
        if (now - mToldAt >= ALIVE_MILLIS) {
            mToldAt = now;
            tellAlive(now);
        }
        if (inTouch && now - mRefreshedAt >= REFRESH_MILLIS) {
            mRefreshedAt = now;
            tell(heard());
        }
        if (now >= mForgetAt) {
            forgetRemembered();
        }
        if (mToSave) {
            mToSave = !save(now);
        }
        if (!inTouch) {
            mCompleteSince = now;
        }
        if (now - mCompleteSince < mLapseMillis) {
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
        boolean leavesTaken = mMemory.saveLeaves(leaves);
        return mMemory.saveTargets(mRegistry.reports()) && leavesTaken;
    }

    private void lapse(long now) {
        mDeliveries.retain(id -> mRegistry.report(id).isPresent());
        Targets.Builder lapsed = Targets.newBuilder();
        for (TargetReport report : mRegistry.lapse(mLapseMillis, now)) {
            mLog.onLapsed(report, mLapseMillis);
            lapsed.addTargets(TargetFrames.encode(report.key(), Target.Standing.LAPSED));
            mToSave = true;
        }
        if (lapsed.getTargetsCount() > 0) {
            mEntries.accept(lapsed.build());
        }
        noteEnded();
    }

    private void forgetRemembered() {
        Targets.Builder forgotten = Targets.newBuilder();
        for (String id : mRegistry.removeRestored()) {
            mLog.onForgotten(id);
            forgotten.addTargets(TargetFrames.encode(id, Target.Standing.LAPSED));
            mToSave = true;
        }
        if (forgotten.getTargetsCount() > 0) {
            mEntries.accept(forgotten.build());
        }
    }

    private void tellAlive(long now) {
        List<Alive> alive = new ArrayList<>();
        for (String id : mHeardHere) {
            long age = now - mRegistry.lastSeenAt(id);
            if (mRegistry.report(id).isPresent()) {
                alive.add(Alive.newBuilder().setId(id).setAgeMs(age).build());
            }
        }
        mHeardHere.clear();
        if (!alive.isEmpty()) {
            mPeers.accept(
                    PeerFrame.newBuilder().setTargets(Targets.newBuilder().addAllAlive(alive)));
        }
    }

    private void tell(Targets news) {
        mPeers.accept(PeerFrame.newBuilder().setTargets(news));
        mEntries.accept(news);
    }
}
