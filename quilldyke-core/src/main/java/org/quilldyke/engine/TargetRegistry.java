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
 * Which targets there are, by what they report.
 *
 * <p>Reports may come late and in any order: the highest sequence counts, and after a target has
 * said that it is gone, nothing that it said before does. A target that is silent for too long
 * lapses, and is back with its next report.
 *
 * <p>Targets are named by their incarnation's key. A later incarnation ends the earlier ones of its
 * id at once, wherever they stand and whenever they were heard; nothing told of those counts then.
 */
public final class TargetRegistry {
    /** Before all times of a monotonic clock, and far enough from the least number to count on. */
    public static final long NEVER = Long.MIN_VALUE / 2;

    /** For how long a late report of a target that is gone is still known as such. */
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

    /** Returns a registry that knows no target and hears targets themselves. */
    public static TargetRegistry create() {
        return new TargetRegistry(true);
    }

    /** Returns a registry that knows no target and takes what other registries have judged. */
    public static TargetRegistry createFollower() {
        return new TargetRegistry(false);
    }

    /**
     * Takes a report.
     *
     * @param seenAt when it was made, as far as known
     * @return whether it tells something new, other than that the target lives
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
        Entry known = mEntries.get(report.id());
        if (known != null && !report.supersedes(known.mReport)) {
            known.mLastSeenAt = Math.max(known.mLastSeenAt, seenAt);
            return false;
        }
        if (mAuthoritative && isFromDisplacedTarget(report.id(), seenAt)) {
            if (report.leaving() && mDepartures.add(Departure.upTo(report, seenAt))) {
                // Whoever has the address, and whether it still answers: it asks for no more.
                mInferredDepartures.add(report.id());
            }
            return false;
        }
        boolean replacesEarlier = supersedeEarlier(report.incarnation());
        displaceOthers(report, seenAt);
        if (known == null) {
            mEntries.put(report.id(), new Entry(report, seenAt, replacesEarlier));
            return true;
        }
        boolean changed = known.mReport.isRestored() || !known.mReport.isEquivalentTo(report);
        known.mReport = report;
        known.mLastSeenAt = Math.max(known.mLastSeenAt, seenAt);
        known.mLatestReportAt = Math.max(known.mLatestReportAt, seenAt);
        return changed;
    }

    /**
     * Returns whether the sender's address has passed to another target since: a report may have
     * been held up on its way until long after its sender's end. Who reports twice while the other
     * one is silent lives, however.
     */
    private boolean isFromDisplacedTarget(String id, long seenAt) {
        Displaced displaced = mDisplaced.get(id);
        if (displaced == null) {
            return false;
        }
        Entry holder = mEntries.get(displaced.mHolderId);
        boolean holderIsAlive = holder != null && holder.mLastSeenAt >= displaced.mLastReportAt;
        if (holderIsAlive) {
            displaced.mLastReportAt = seenAt;
            return true;
        }
        mDisplaced.remove(id);
        return false;
    }

    /**
     * Whatever was known of earlier incarnations ends with the first word of a later one; returns
     * whether there was one.
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
     * Returns the incarnations that a later one has ended since this was asked last: what is open
     * there is lost.
     */
    public List<String> takeSuperseded() {
        List<String> superseded = List.copyOf(mNewlySuperseded);
        mNewlySuperseded.clear();
        return superseded;
    }

    /**
     * Returns the targets that were known, and whose address another one has taken, since this was
     * asked last: they are sent nothing more.
     */
    public List<String> takeDisplaced() {
        List<String> displaced = List.copyOf(mNewlyDisplaced);
        mNewlyDisplaced.clear();
        return displaced;
    }

    /**
     * Takes a leave, which needn't tell a birth: without one it is that of the latest incarnation
     * that is known under the id now.
     *
     * <p>If that has just taken the place of another, it may be the late word of its predecessor;
     * if it is silent, that of a successor whose reports are late. Who is gone never comes back,
     * and who leaves takes no new requests, so whoever it isn't sure of is neither ended nor left
     * as it is, but suspended.
     */
    public LeaveOutcome onLeave(String reportedKey, long now) {
        return Incarnation.ofKey(reportedKey).hasStart()
                ? recordLeave(reportedKey, Optional.empty(), now)
                : onLeaveWithoutStart(latestKey(reportedKey), now);
    }

    private LeaveOutcome onLeaveWithoutStart(String latestKey, long now) {
        if (!Incarnation.ofKey(latestKey).hasStart()) {
            // Others may know an incarnation of the id, and this process may soon be told of it.
            boolean isKnown = mEntries.containsKey(latestKey);
            Optional<Suspension> idSuspension =
                    isKnown
                            ? Optional.empty()
                            : Optional.of(Suspension.forUnknownId(latestKey, now));
            return recordLeave(latestKey, idSuspension, now);
        }
        Entry known = mEntries.get(latestKey);
        // What comes late, or is only told by another instance, doesn't show that it lived just
        // now.
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
     * Returns whether a leave may be that of a target's predecessor: the target has just taken its
     * place, or the same leave came to another process, where it had.
     */
    private boolean mayBeFromPredecessor(Entry known, long now) {
        boolean isRecentSuccessor =
                known.mReplacedEarlier
                        && now - known.mFirstSeenAt < Suspension.MAX_MESSAGE_DELAY_MILLIS;
        return isRecentSuccessor || mSuspensions.isSuspended(known.mReport.incarnation(), now);
    }

    /**
     * Takes a suspension of an incarnation, or of whichever is known under an id; returns whether
     * that is news.
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

    /** Returns the latest incarnation that is known under the id of another key. */
    public String latestKey(String key) {
        Incarnation incarnation = Incarnation.ofKey(key);
        return mLatestIncarnations.find(incarnation.id()).orElse(incarnation).key();
    }

    /** Returns the suspensions of which others have to know. */
    public Collection<Suspension> suspensions() {
        return mSuspensions.all();
    }

    /** An address belongs to one target at a time: whoever had it before has ended. */
    private void displaceOthers(TargetReport report, long seenAt) {
        List<Entry> displaced =
                mEntries.values().stream()
                        .filter(other -> other.mReport.address().equals(report.address()))
                        .filter(other -> !other.mReport.id().equals(report.id()))
                        .filter(other -> other.mLastSeenAt < seenAt)
                        .toList();
        for (Entry other : displaced) {
            mEntries.remove(other.mReport.id());
            mNewlyDisplaced.add(other.mReport.id());
            mDisplaced.put(other.mReport.id(), new Displaced(report.id(), seenAt));
        }
        mLapsed.remove(report.id());
        for (Map.Entry<String, Lapsed> lapsed : List.copyOf(mLapsed.entrySet())) {
            if (lapsed.getValue().address().equals(report.address())) {
                mLapsed.remove(lapsed.getKey());
                mDisplaced.put(lapsed.getKey(), new Displaced(report.id(), seenAt));
            }
        }
    }

    /** Notes that a target lives, as of a report that was told before. */
    public void onAlive(String id, long seenAt) {
        Entry known = mEntries.get(id);
        if (known != null) {
            known.mLastSeenAt = Math.max(known.mLastSeenAt, seenAt);
        }
    }

    /** Notes weights that a target is known to hold before it reports them. */
    public void onWeights(String id, String model, long version) {
        Entry known = mEntries.get(id);
        if (known != null && version > known.mReport.weights().getOrDefault(model, 0L)) {
            Map<String, Long> weights = new HashMap<>(known.mReport.weights());
            weights.put(model, version);
            known.mReport = known.mReport.withWeights(weights);
        }
    }

    /** Notes that a target is gone for good; returns whether that is news. */
    public boolean onPermanentDeparture(String id, long now) {
        return onDeparture(Departure.permanent(id, now));
    }

    /** Notes that a target has left; returns whether that is news. */
    public boolean onDeparture(Departure departure) {
        boolean isNew = mDepartures.add(departure);
        Entry known = mEntries.get(departure.target());
        if (known != null && mDepartures.precedesDeparture(known.mReport)) {
            mEntries.remove(departure.target());
        }
        supersedeEarlier(Incarnation.ofKey(departure.target()));
        return isNew;
    }

    /** Forgets a target that is silent; returns whether it was known. */
    public boolean onLapsed(String id) {
        return mEntries.remove(id) != null;
    }

    /**
     * Returns the targets that were not heard for {@code silentMillis}, and forgets them. Those
     * that had said that they leave have left: a report from before must not bring them back.
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
            mEntries.remove(report.id());
            mLapsed.put(report.id(), new Lapsed(report.address(), now));
            if (report.leaving() && mDepartures.add(Departure.upTo(report, now))) {
                mInferredDepartures.add(report.id());
            }
        }
        return lapsed;
    }

    /** Forgets what is only known to tell late words from others. */
    public void expireTombstones(long now) {
        mDepartures.expire(TOMBSTONE_RETENTION_MILLIS, now);
        mDisplaced
                .values()
                .removeIf(known -> now - known.mDisplacedAt > TOMBSTONE_RETENTION_MILLIS);
        mLapsed.values().removeIf(known -> now - known.lapsedAt() > TOMBSTONE_RETENTION_MILLIS);
        mSuspensions.expire(now);
    }

    /** Forgets the targets that are only remembered; returns their ids. */
    public List<String> removeRestored() {
        List<String> ids =
                mEntries.values().stream()
                        .map(entry -> entry.mReport)
                        .filter(TargetReport::isRestored)
                        .map(TargetReport::id)
                        .toList();
        ids.forEach(mEntries::remove);
        return ids;
    }

    /**
     * Returns whether a report of another service claims the id or the address of a target that was
     * heard.
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

    /** Returns the last report of a target. */
    public Optional<TargetReport> report(String id) {
        return Optional.ofNullable(mEntries.get(id)).map(entry -> entry.mReport);
    }

    /** Returns when a target was last heard, {@link #NEVER} if it isn't known. */
    public long lastSeenAt(String id) {
        Entry entry = mEntries.get(id);
        return entry == null ? NEVER : entry.mLastSeenAt;
    }

    /** Returns the last report of each target. */
    public List<TargetReport> reports() {
        return mEntries.values().stream().map(entry -> entry.mReport).toList();
    }

    /** Returns the targets that have left. */
    public Collection<Departure> departures() {
        return mDepartures.all();
    }

    /** Returns the departure of a target, if it has left. */
    public Optional<Departure> departure(String target) {
        return mDepartures.find(target);
    }

    /**
     * Returns the departures since this was asked last of targets that didn't say that they are
     * gone.
     */
    public List<Departure> takeInferredDepartures() {
        List<Departure> departures =
                mInferredDepartures.stream().flatMap(id -> mDepartures.find(id).stream()).toList();
        mInferredDepartures.clear();
        return departures;
    }

    /** Where a target was that fell silent. */
    private record Lapsed(String address, long lapsedAt) {}

    /** A target whose address another one has. */
    private static final class Displaced {
        final String mHolderId;
        final long mDisplacedAt;
        long mLastReportAt = Long.MIN_VALUE;

        Displaced(String holderId, long displacedAt) {
            mHolderId = holderId;
            mDisplacedAt = displacedAt;
        }
    }

    private static final class Entry {
        final boolean mReplacedEarlier;
        final long mFirstSeenAt;
        TargetReport mReport;
        long mLastSeenAt;

        /** When the newest of its reports was heard. */
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
