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
package org.quilldyke.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The known targets, built from their reports.
 *
 * <p>Reports may arrive late and in any order: the highest sequence wins, and reports made before a
 * target's departure are ignored. A target that does not report for too long lapses, and returns
 * with its next report.
 *
 * <p>Targets are identified by the key of their incarnation. A later incarnation supersedes the
 * earlier ones of its id at once, whatever their addresses and however recently they were seen;
 * messages about those are ignored from then on.
 *
 * <p>All times are in milliseconds of this process's monotonic clock.
 */
public final class TargetRegistry {
    /** Earlier than any time of a monotonic clock; differences to it don't overflow. */
    public static final long NEVER = Long.MIN_VALUE / 2;

    /** How long late reports of removed targets are recognised as such. */
    static final long TOMBSTONE_RETENTION_MILLIS = 120_000;

    private final Map<String, Entry> mEntries = new HashMap<>();
    private final Departures mDepartures = new Departures();
    private final Suspensions mSuspensions = new Suspensions();
    private final Map<String, Displaced> mDisplaced = new HashMap<>();
    private final Map<String, Lapsed> mLapsed = new HashMap<>();
    private final LatestIncarnations mLatestIncarnations = LatestIncarnations.create();
    private final List<String> mNewlySuperseded = new ArrayList<>();
    private final List<String> mNewlyDisplaced = new ArrayList<>();
    private final List<String> mInferredDepartures = new ArrayList<>();
    private final boolean mAuthoritative;

    private TargetRegistry(boolean authoritative) {
        mAuthoritative = authoritative;
    }

    /** Returns an empty registry that decides by the reports of the targets themselves. */
    public static TargetRegistry create() {
        return new TargetRegistry(true);
    }

    /** Returns an empty registry that accepts the decisions of other registries. */
    public static TargetRegistry createFollower() {
        return new TargetRegistry(false);
    }

    /**
     * Processes a report.
     *
     * @param seenAt when this or another process received it from the target, as far as known
     * @return whether it changes anything other than the time at which the target was last seen
     */
    public boolean onReport(TargetReport received, long seenAt) {
        TargetReport report =
                mSuspensions.isSuspended(received.incarnation(), seenAt)
                        ? received.asLeaving()
                        : received;
        if (mDepartures.precedesDeparture(report)
                || mLatestIncarnations.isSuperseded(report.incarnation())) {
            return false;
        }
        Entry known = mEntries.get(report.key());
        if (known != null && !report.supersedes(known.mReport)) {
            known.mLastSeenAt = Math.max(known.mLastSeenAt, seenAt);
            return false;
        }
        if (mAuthoritative && isFromDisplacedTarget(report.key(), seenAt)) {
            if (report.leaving() && mDepartures.add(Departure.upTo(report, seenAt))) {
                // The sender must get no more requests, even if it still answers and whichever
                // target has the address.
                mInferredDepartures.add(report.key());
            }
            return false;
        }
        boolean replacesEarlier = supersedeEarlier(report.incarnation());
        displaceOthers(report, seenAt);
        if (known == null) {
            mEntries.put(report.key(), new Entry(report, seenAt, replacesEarlier));
            return true;
        }
        boolean changed = known.mReport.isRestored() || !known.mReport.isEquivalentTo(report);
        known.mReport = report;
        known.mLastSeenAt = Math.max(known.mLastSeenAt, seenAt);
        known.mLatestReportAt = Math.max(known.mLatestReportAt, seenAt);
        return changed;
    }

    /**
     * Returns whether another target has taken over the sender's address, so that the report may be
     * a late one of a target that no longer runs. A sender that reports twice while the holder of
     * the address is not seen still runs, however.
     */
    private boolean isFromDisplacedTarget(String key, long seenAt) {
        Displaced displaced = mDisplaced.get(key);
        if (displaced == null) {
            return false;
        }
        Entry holder = mEntries.get(displaced.mHolderKey);
        boolean holderIsAlive = holder != null && holder.mLastSeenAt >= displaced.mLastReportAt;
        if (holderIsAlive) {
            displaced.mLastReportAt = seenAt;
            return true;
        }
        mDisplaced.remove(key);
        return false;
    }

    /**
     * Discards the state of the earlier incarnation that this one supersedes; returns whether there
     * was one.
     */
    private boolean supersedeEarlier(Incarnation incarnation) {
        Optional<String> earlier = mLatestIncarnations.observe(incarnation).map(Incarnation::key);
        earlier.ifPresent(
                superseded -> {
                    mEntries.remove(superseded);
                    mLapsed.remove(superseded);
                    mDisplaced.remove(superseded);
                    mNewlySuperseded.add(superseded);
                });
        return earlier.isPresent();
    }

    /**
     * Returns the incarnations that were superseded since the last call. They must get no new
     * requests, and requests that they have not begun to answer have failed.
     */
    public List<String> takeSuperseded() {
        List<String> superseded = List.copyOf(mNewlySuperseded);
        mNewlySuperseded.clear();
        return superseded;
    }

    /**
     * Returns the known targets whose address another target has taken over since the last call.
     * The report of the other target may be a late one, so a displaced target may still run.
     */
    public List<String> takeDisplaced() {
        List<String> displaced = List.copyOf(mNewlyDisplaced);
        mNewlyDisplaced.clear();
        return displaced;
    }

    /**
     * Processes a leave notice. Without a start time it applies to the latest known incarnation of
     * the id.
     *
     * <p>If that incarnation has just superseded another, the notice may be a late one of the
     * predecessor; if it is unresponsive, the notice may be that of a successor whose reports are
     * late. An incarnation that may or may not have left is suspended: removing it would be
     * permanent, and keeping it would send new requests to a target that may be shutting down.
     *
     * @param reportedKey the key of the sender's incarnation; the plain id if the notice has no
     *     start time
     */
    public LeaveOutcome onLeave(String reportedKey, long now) {
        return Incarnation.ofKey(reportedKey).hasStart()
                ? recordLeave(reportedKey, Optional.empty(), now)
                : onLeaveWithoutStart(latestKey(reportedKey), now);
    }

    private LeaveOutcome onLeaveWithoutStart(String latestKey, long now) {
        if (!Incarnation.ofKey(latestKey).hasStart()) {
            // Other processes may know an incarnation of the id and report it to this one soon.
            boolean isKnown = mEntries.containsKey(latestKey);
            Optional<Suspension> idSuspension =
                    isKnown
                            ? Optional.empty()
                            : Optional.of(Suspension.forUnknownId(latestKey, now));
            return recordLeave(latestKey, idSuspension, now);
        }
        Entry known = mEntries.get(latestKey);
        // Only the latest report shows that the target was alive: late reports, and notices by
        // other instances, do not.
        long latestReportAt = known == null ? NEVER : known.mLatestReportAt;
        Suspension suspension = Suspension.forIncarnation(latestKey, latestReportAt, now);
        if (known != null && mayBeFromPredecessor(known, now)) {
            boolean isNew = onSuspension(suspension);
            return new LeaveOutcome(
                    latestKey, LeaveOutcome.Result.SUSPENDED, Optional.of(suspension), isNew);
        }
        return recordLeave(
                latestKey, Optional.of(suspension).filter(Suspension::coversSuccessor), now);
    }

    private LeaveOutcome recordLeave(String target, Optional<Suspension> suspension, long now) {
        boolean isKnown = mEntries.containsKey(target);
        boolean isNewDeparture = onPermanentDeparture(target, now);
        boolean isNewSuspension = suspension.map(this::onSuspension).orElse(false);
        boolean isUnknownId = suspension.isPresent() && !Incarnation.ofKey(target).hasStart();
        LeaveOutcome.Result result =
                isKnown
                        ? LeaveOutcome.Result.ENDED
                        : isUnknownId
                                ? LeaveOutcome.Result.UNPLACED
                                : isNewDeparture
                                        ? LeaveOutcome.Result.UNKNOWN
                                        : LeaveOutcome.Result.KNOWN;
        return new LeaveOutcome(target, result, suspension, isNewDeparture || isNewSuspension);
    }

    /**
     * Returns whether a leave notice may be that of a target's predecessor: the target superseded
     * one recently, or it is suspended: another process that received the same notice may have seen
     * it supersede one.
     */
    private boolean mayBeFromPredecessor(Entry known, long now) {
        boolean isRecentSuccessor =
                known.mReplacedEarlier
                        && now - known.mFirstSeenAt < Suspension.MAX_MESSAGE_DELAY_MILLIS;
        return isRecentSuccessor || mSuspensions.isSuspended(known.mReport.incarnation(), now);
    }

    /**
     * Applies a suspension of an incarnation, or of the latest one that is known under a plain id;
     * returns whether it changes the known suspension.
     */
    public boolean onSuspension(Suspension received) {
        Incarnation incarnation = received.incarnation();
        String target = incarnation.hasStart() ? received.target() : latestKey(received.target());
        Suspension suspension =
                new Suspension(target, received.leaveReceivedAt(), received.coversSuccessor());
        supersedeEarlier(suspension.incarnation());
        boolean isNew = mSuspensions.add(suspension);
        Entry known = mEntries.get(target);
        if (isNew && known != null && suspension.mayPredateLeave(known.mLastSeenAt)) {
            known.mReport = known.mReport.asLeaving();
        }
        return isNew;
    }

    /** Returns the key of the latest known incarnation of a key's id. */
    public String latestKey(String key) {
        Incarnation incarnation = Incarnation.ofKey(key);
        return mLatestIncarnations.find(incarnation.id()).orElse(incarnation).key();
    }

    /** Returns the suspensions, to be sent to other processes. */
    public Collection<Suspension> suspensions() {
        return mSuspensions.all();
    }

    /** Removes other targets with the same address: an address belongs to one target at a time. */
    private void displaceOthers(TargetReport report, long seenAt) {
        // Runs for each newer report over all targets, also in code that isn't compiled yet.
        List<Entry> displaced = new ArrayList<>();
        for (Entry other : mEntries.values()) {
            if (other.mReport.address().equals(report.address())
                    && !other.mReport.key().equals(report.key())
                    && other.mLastSeenAt < seenAt) {
                displaced.add(other);
            }
        }
        for (Entry other : displaced) {
            mEntries.remove(other.mReport.key());
            mNewlyDisplaced.add(other.mReport.key());
            mDisplaced.put(other.mReport.key(), new Displaced(report.key(), seenAt));
        }
        mLapsed.remove(report.key());
        for (Map.Entry<String, Lapsed> lapsed : List.copyOf(mLapsed.entrySet())) {
            if (lapsed.getValue().address().equals(report.address())) {
                mLapsed.remove(lapsed.getKey());
                mDisplaced.put(lapsed.getKey(), new Displaced(report.key(), seenAt));
            }
        }
    }

    /** Records that a target was alive at {@code seenAt}. */
    public void onAlive(String key, long seenAt) {
        Entry known = mEntries.get(key);
        if (known != null) {
            known.mLastSeenAt = Math.max(known.mLastSeenAt, seenAt);
        }
    }

    /** Records weights that a target is known to have loaded before it reports them. */
    public void onWeights(String key, String model, long version) {
        Entry known = mEntries.get(key);
        if (known != null && version > known.mReport.weights().getOrDefault(model, 0L)) {
            Map<String, Long> weights = new HashMap<>(known.mReport.weights());
            weights.put(model, version);
            known.mReport = known.mReport.withWeights(weights);
        }
    }

    /** Records that a target has departed permanently; returns whether this was unknown. */
    public boolean onPermanentDeparture(String key, long now) {
        return onDeparture(Departure.permanent(key, now));
    }

    /** Records that a target has departed; returns whether this was unknown. */
    public boolean onDeparture(Departure departure) {
        boolean isNew = mDepartures.add(departure);
        Entry known = mEntries.get(departure.target());
        if (known != null && mDepartures.precedesDeparture(known.mReport)) {
            mEntries.remove(departure.target());
        }
        supersedeEarlier(Incarnation.ofKey(departure.target()));
        return isNew;
    }

    /** Removes a target that has lapsed at another process; returns whether it was known. */
    public boolean onLapsed(String key) {
        return mEntries.remove(key) != null;
    }

    /**
     * Removes and returns the targets that were not seen for {@code timeoutMillis}. Those that were
     * leaving count as departed, so that an earlier report does not restore them.
     */
    public List<TargetReport> lapse(long timeoutMillis, long now) {
        expireTombstones(now);
        List<TargetReport> lapsed = new ArrayList<>();
        for (Entry entry : mEntries.values()) {
            if (now - entry.mLastSeenAt > timeoutMillis) {
                lapsed.add(entry.mReport);
            }
        }
        for (TargetReport report : lapsed) {
            mEntries.remove(report.key());
            mLapsed.put(report.key(), new Lapsed(report.address(), now));
            if (report.leaving() && mDepartures.add(Departure.upTo(report, now))) {
                mInferredDepartures.add(report.key());
            }
        }
        return lapsed;
    }

    /** Removes old state that only serves to recognise late messages. */
    public void expireTombstones(long now) {
        mDepartures.expire(TOMBSTONE_RETENTION_MILLIS, now);
        mDisplaced
                .values()
                .removeIf(known -> now - known.mDisplacedAt > TOMBSTONE_RETENTION_MILLIS);
        mLapsed.values().removeIf(known -> now - known.lapsedAt() > TOMBSTONE_RETENTION_MILLIS);
        mSuspensions.expire(now);
    }

    /** Removes restored targets that have not reported since; returns their keys. */
    public List<String> removeRestored() {
        List<String> keys = new ArrayList<>();
        for (Entry entry : mEntries.values()) {
            if (entry.mReport.isRestored()) {
                keys.add(entry.mReport.key());
            }
        }
        keys.forEach(mEntries::remove);
        return keys;
    }

    /**
     * Returns whether a report has the id or the address of a known target of another service.
     * Restored targets that have not reported since are not considered.
     */
    public boolean conflictsWithOtherService(TargetReport report) {
        String id = report.incarnation().id();
        return mEntries.values().stream()
                .map(entry -> entry.mReport)
                .filter(known -> !known.isRestored())
                .filter(known -> !known.service().equals(report.service()))
                .anyMatch(
                        known ->
                                known.incarnation().id().equals(id)
                                        || known.address().equals(report.address()));
    }

    /** Returns the latest report of a target. */
    public Optional<TargetReport> report(String key) {
        return Optional.ofNullable(mEntries.get(key)).map(entry -> entry.mReport);
    }

    /** Returns when a target was last seen, {@link #NEVER} if it is not known. */
    public long lastSeenAt(String key) {
        Entry entry = mEntries.get(key);
        return entry == null ? NEVER : entry.mLastSeenAt;
    }

    /** Returns the latest report of each target. */
    public List<TargetReport> reports() {
        return mEntries.values().stream().map(entry -> entry.mReport).toList();
    }

    /** Returns the departures of targets. */
    public Collection<Departure> departures() {
        return mDepartures.all();
    }

    /** Returns the departure of a target, if any. */
    public Optional<Departure> departure(String target) {
        return mDepartures.find(target);
    }

    /**
     * Returns the departures since the last call that were inferred from reports, without a leave
     * notice.
     */
    public List<Departure> takeInferredDepartures() {
        List<Departure> departures =
                mInferredDepartures.stream()
                        .flatMap(key -> mDepartures.find(key).stream())
                        .toList();
        mInferredDepartures.clear();
        return departures;
    }

    /** The last address of a target that has lapsed. */
    private record Lapsed(String address, long lapsedAt) {}

    /** A target whose address another target has taken over. */
    private static final class Displaced {
        final String mHolderKey;
        final long mDisplacedAt;
        long mLastReportAt = Long.MIN_VALUE;

        Displaced(String holderKey, long displacedAt) {
            mHolderKey = holderKey;
            mDisplacedAt = displacedAt;
        }
    }

    private static final class Entry {
        final boolean mReplacedEarlier;
        final long mFirstSeenAt;
        TargetReport mReport;
        long mLastSeenAt;

        /** When the report with the highest sequence was received. */
        long mLatestReportAt;

        Entry(TargetReport report, long seenAt, boolean replacedEarlier) {
            mReplacedEarlier = replacedEarlier;
            mFirstSeenAt = seenAt;
            mReport = report;
            mLastSeenAt = seenAt;
            mLatestReportAt = seenAt;
        }
    }
}
