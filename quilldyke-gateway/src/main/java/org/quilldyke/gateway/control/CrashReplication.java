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

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.quilldyke.caller.PoisonRequestDetector;
import org.quilldyke.caller.RequestFingerprint;
import org.quilldyke.caller.Suspect;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.gateway.instance.CrashFrames;
import org.quilldyke.gateway.instance.proto.Completion;
import org.quilldyke.gateway.instance.proto.Crash;
import org.quilldyke.gateway.instance.proto.CrashNews;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.gateway.instance.proto.Survival;

/**
 * Replicates the evidence on requests that crash targets among all control processes, and publishes
 * the resulting suspects to entries.
 *
 * <p>Entries report the crashes that they observe. Control processes forward the reports to each
 * other, so that all of them reach the same conclusions.
 */
final class CrashReplication {
    private final PoisonRequestDetector mDetector;
    private final Consumer<PeerFrame.Builder> mToPeers;
    private final Consumer<CrashNews> mToEntries;
    private final LongSupplier mClock;
    private final EventLog mLog;
    private final WarmStartData mWarmStart;
    private boolean mSaveNeeded;

    CrashReplication(
            Consumer<PeerFrame.Builder> toPeers,
            Consumer<CrashNews> toEntries,
            LongSupplier clock,
            EventLog log,
            WarmStartData warmStart,
            long reportIntervalMillis) {
        mDetector = PoisonRequestDetector.create(reportIntervalMillis);
        mToPeers = toPeers;
        mToEntries = toEntries;
        mClock = clock;
        mLog = log;
        mWarmStart = warmStart;
        apply(warmStart.crashes()).ifPresent(changes -> evaluate());
    }

    /** Handles an entry's report, and forwards what is new to other control processes. */
    void onEntryReport(CrashNews report) {
        apply(report)
                .ifPresent(
                        changes -> {
                            mToPeers.accept(PeerFrame.newBuilder().setCrashes(changes));
                            evaluate();
                        });
    }

    /** Handles a report of another control process. */
    void onPeerReport(CrashNews report) {
        apply(report).ifPresent(changes -> evaluate());
    }

    /**
     * Handles a target's report of itself to this process, which may disprove its crash. The other
     * control processes, to which it does not report, are notified.
     */
    void onTargetReport(TargetReport report) {
        long now = mClock.getAsLong();
        if (mDetector.onTargetReport(report.key(), report.sequence(), now)) {
            long survivedAt = mDetector.survivals().get(report.key());
            CrashNews.Builder news =
                    CrashNews.newBuilder()
                            .addSurvivals(CrashFrames.encode(report.key(), survivedAt, now));
            mToPeers.accept(PeerFrame.newBuilder().setCrashes(news));
            evaluate();
        }
    }

    /** Returns all evidence, for other control processes; empty if there is none. */
    Optional<CrashNews> snapshotForPeers() {
        return unlessEmpty(CrashFrames.encode(mDetector, mClock.getAsLong()));
    }

    /** Returns all suspects, for entries. */
    CrashNews suspects() {
        return encode(mDetector.suspects());
    }

    /** Saves the evidence if it has changed. */
    void tick() {
        if (mSaveNeeded) {
            mSaveNeeded =
                    !mWarmStart.saveCrashes(CrashFrames.encode(mDetector, mClock.getAsLong()));
        }
    }

    /** Applies a report; returns the part that was new, empty if there was none. */
    private Optional<CrashNews> apply(CrashNews report) {
        long now = mClock.getAsLong();
        CrashNews.Builder changes = CrashNews.newBuilder();
        for (Crash crash : report.getCrashesList()) {
            if (mDetector.onCrash(CrashFrames.decode(crash, now))) {
                changes.addCrashes(crash);
            }
        }
        for (Completion completion : report.getCompletionsList()) {
            RequestFingerprint request = CrashFrames.decode(completion.getRequest());
            if (mDetector.onCompleted(request, now - completion.getAgeMs())) {
                changes.addCompletions(completion);
            }
        }
        for (Survival survival : report.getSurvivalsList()) {
            if (mDetector.onSurvived(survival.getTarget(), now - survival.getAgeMs())) {
                changes.addSurvivals(survival);
            }
        }
        report.getSuspectsList().stream()
                .filter(suspect -> mDetector.onSuspect(CrashFrames.decode(suspect, now)))
                .forEach(changes::addSuspects);
        return unlessEmpty(changes.build());
    }

    private static Optional<CrashNews> unlessEmpty(CrashNews report) {
        boolean isEmpty = report.equals(CrashNews.getDefaultInstance());
        return isEmpty ? Optional.empty() : Optional.of(report);
    }

    private void evaluate() {
        mSaveNeeded = true;
        Set<RequestFingerprint> refusedBefore =
                mDetector.suspects().stream()
                        .filter(suspect -> suspect.refusals() > 0)
                        .map(Suspect::request)
                        .collect(Collectors.toSet());
        List<Suspect> changes = mDetector.evaluate(mClock.getAsLong());
        changes.stream()
                .filter(s -> s.refusals() > 0 || refusedBefore.contains(s.request()))
                .forEach(this::log);
        if (!changes.isEmpty()) {
            mToEntries.accept(encode(changes));
        }
    }

    private CrashNews encode(List<Suspect> suspects) {
        return CrashNews.newBuilder()
                .addAllSuspects(CrashFrames.encode(suspects, mClock.getAsLong()))
                .build();
    }

    private void log(Suspect suspect) {
        mLog.write(
                Event.REQUEST_SUSPECTED,
                "fingerprint",
                suspect.request().label(),
                "standing",
                suspect.standing(),
                "refusals",
                suspect.refusals(),
                "targets",
                suspect.targets());
    }
}
