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
    static final long GONE_KEPT_MILLIS = 120_000;

    private final Map<String, Entry> mEntries = new HashMap<>();
    private final Departures mDepartures = new Departures();
    private final Suspensions mSuspensions = new Suspensions();
    private final Map<String, Displaced> mDisplaced = new HashMap<>();
    private final Map<String, Lapsed> mLapsed = new HashMap<>();
    private final LatestIncarnations mLatest = LatestIncarnations.create();
    private final List<String> mEnded = new ArrayList<>();
    private final List<String> mDropped = new ArrayList<>();
    private final List<String> mLeft = new ArrayList<>();
    private final boolean mJudges;

    private TargetRegistry(boolean judges) {
        mJudges = judges;
    }

    /** Returns a registry that knows no target and hears targets themselves. */
    public static TargetRegistry create() {
        return new TargetRegistry(true);
    }

    /** Returns a registry that knows no target and takes what other registries have judged. */
    public static TargetRegistry following() {
        return new TargetRegistry(false);
    }

    /**
     * Takes a report.
     *
     * @param heardAt when it was made, as far as known
     * @return whether it tells something new, other than that the target lives
     */
    public boolean onReport(TargetReport told, long heardAt) {
        TargetReport report =
                mSuspensions.covers(told.incarnation(), heardAt) ? told.asLeaving() : told;
        if (mDepartures.cover(report) || mLatest.isPast(report.incarnation())) {
            return false;
        }
        Entry known = mEntries.get(report.id());
        if (known != null && !report.replaces(known.mReport)) {
            known.mHeardAt = Math.max(known.mHeardAt, heardAt);
            return false;
        }
        if (mJudges && isOfAnEndedTarget(report.id(), heardAt)) {
            if (report.leaving() && mDepartures.add(Departure.after(report, heardAt))) {
                // Whoever has the address, and whether it still answers: it asks for no more.
                mLeft.add(report.id());
            }
            return false;
        }
        boolean succeeds = endEarlier(report.incarnation());
        displaceOthers(report, heardAt);
        if (known == null) {
            mEntries.put(report.id(), new Entry(report, heardAt, succeeds));
            return true;
        }
        boolean news = known.mReport.isRemembered() || !known.mReport.tellsTheSame(report);
        known.mReport = report;
        known.mHeardAt = Math.max(known.mHeardAt, heardAt);
        known.mReportedAt = Math.max(known.mReportedAt, heardAt);
        return news;
    }

    /**
     * Returns whether the sender's address has passed to another target since: a report may have
     * been held up on its way until long after its sender's end. Who reports twice while the other
     * one is silent lives, however.
     */
    private boolean isOfAnEndedTarget(String id, long heardAt) {
        Displaced displaced = mDisplaced.get(id);
        if (displaced == null) {
            return false;
        }
        Entry holder = mEntries.get(displaced.mBy);
        boolean holderLives = holder != null && holder.mHeardAt >= displaced.mHeardAgainAt;
        if (holderLives) {
            displaced.mHeardAgainAt = heardAt;
            return true;
        }
        mDisplaced.remove(id);
        return false;
    }

    /**
     * Whatever was known of earlier incarnations ends with the first word of a later one; returns
     * whether there was one.
     */
    private boolean endEarlier(Incarnation incarnation) {
        Optional<String> earlier = mLatest.note(incarnation).map(Incarnation::key);
        earlier.ifPresent(
                ended -> {
                    mEntries.remove(ended);
                    mLapsed.remove(ended);
                    mDisplaced.remove(ended);
                    mEnded.add(ended);
                });
        return earlier.isPresent();
    }

    /**
     * Returns the incarnations that a later one has ended since this was asked last: what is open
     * there is lost.
     */
    public List<String> takeEnded() {
        List<String> ended = List.copyOf(mEnded);
        mEnded.clear();
        return ended;
    }

    /**
     * Returns the targets that were known, and whose address another one has taken, since this was
     * asked last: they are sent nothing more.
     */
    public List<String> takeDropped() {
        List<String> dropped = List.copyOf(mDropped);
        mDropped.clear();
        return dropped;
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
    public Leave onLeave(String told, long now) {
        return Incarnation.ofKey(told).tellsBirth()
                ? end(told, Optional.empty(), now)
                : onLeaveWithoutBirth(latest(told), now);
    }

    private Leave onLeaveWithoutBirth(String latest, long now) {
        if (!Incarnation.ofKey(latest).tellsBirth()) {
            // Others may know an incarnation of the id, and this process may soon be told of it.
            boolean isKnown = mEntries.containsKey(latest);
            Optional<Suspension> unplaced =
                    isKnown ? Optional.empty() : Optional.of(Suspension.ofUnknown(latest, now));
            return end(latest, unplaced, now);
        }
        Entry known = mEntries.get(latest);
        // What comes late, or is only told by another instance, doesn't show that it lived just
        // now.
        long reportedAt = known == null ? NEVER : known.mReportedAt;
        Suspension suspension = Suspension.of(latest, reportedAt, now);
        if (known != null && mayBePredecessors(known, now)) {
            boolean news = onSuspended(suspension);
            return new Leave(latest, Leave.Result.SUSPENDED, Optional.of(suspension), news);
        }
        return end(latest, Optional.of(suspension).filter(Suspension::orNext), now);
    }

    private Leave end(String target, Optional<Suspension> suspension, long now) {
        boolean isKnown = mEntries.containsKey(target);
        boolean gone = onGone(target, now);
        boolean suspends = suspension.map(this::onSuspended).orElse(false);
        boolean isUnplaced = suspension.isPresent() && !Incarnation.ofKey(target).tellsBirth();
        Leave.Result result =
                isKnown
                        ? Leave.Result.ENDED
                        : isUnplaced
                                ? Leave.Result.UNPLACED
                                : gone ? Leave.Result.UNKNOWN : Leave.Result.KNOWN;
        return new Leave(target, result, suspension, gone || suspends);
    }

    /**
     * Returns whether a leave may be that of a target's predecessor: the target has just taken its
     * place, or the same leave came to another process, where it had.
     */
    private boolean mayBePredecessors(Entry known, long now) {
        boolean isNew = known.mSucceeds && now - known.mSince < Suspension.LATE_WORD_MILLIS;
        return isNew || mSuspensions.covers(known.mReport.incarnation(), now);
    }

    /**
     * Takes a suspension of an incarnation, or of whichever is known under an id; returns whether
     * that is news.
     */
    public boolean onSuspended(Suspension told) {
        Incarnation incarnation = told.incarnation();
        String target = incarnation.tellsBirth() ? told.target() : latest(told.target());
        Suspension suspension = new Suspension(target, told.at(), told.orNext());
        endEarlier(suspension.incarnation());
        boolean news = mSuspensions.add(suspension);
        Entry known = mEntries.get(target);
        if (news && known != null && suspension.mayFollow(known.mHeardAt)) {
            known.mReport = known.mReport.asLeaving();
        }
        return news;
    }

    /** Returns the latest incarnation that is known under the id of another key. */
    public String latest(String key) {
        Incarnation incarnation = Incarnation.ofKey(key);
        return mLatest.of(incarnation.id()).orElse(incarnation).key();
    }

    /** Returns the suspensions of which others have to know. */
    public Collection<Suspension> suspensions() {
        return mSuspensions.all();
    }

    /** An address belongs to one target at a time: whoever had it before has ended. */
    private void displaceOthers(TargetReport report, long heardAt) {
        List<Entry> ended =
                mEntries.values().stream()
                        .filter(other -> other.mReport.address().equals(report.address()))
                        .filter(other -> !other.mReport.id().equals(report.id()))
                        .filter(other -> other.mHeardAt < heardAt)
                        .toList();
        for (Entry other : ended) {
            mEntries.remove(other.mReport.id());
            mDropped.add(other.mReport.id());
            mDisplaced.put(other.mReport.id(), new Displaced(report.id(), heardAt));
        }
        mLapsed.remove(report.id());
        for (Map.Entry<String, Lapsed> lapsed : List.copyOf(mLapsed.entrySet())) {
            if (lapsed.getValue().address().equals(report.address())) {
                mLapsed.remove(lapsed.getKey());
                mDisplaced.put(lapsed.getKey(), new Displaced(report.id(), heardAt));
            }
        }
    }

    /** Notes that a target lives, as of a report that was told before. */
    public void onAlive(String id, long heardAt) {
        Entry known = mEntries.get(id);
        if (known != null) {
            known.mHeardAt = Math.max(known.mHeardAt, heardAt);
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
    public boolean onGone(String id, long now) {
        return onDeparture(Departure.forGood(id, now));
    }

    /** Notes that a target has left; returns whether that is news. */
    public boolean onDeparture(Departure departure) {
        boolean news = mDepartures.add(departure);
        Entry known = mEntries.get(departure.target());
        if (known != null && mDepartures.cover(known.mReport)) {
            mEntries.remove(departure.target());
        }
        endEarlier(Incarnation.ofKey(departure.target()));
        return news;
    }

    /** Forgets a target that is silent; returns whether it was known. */
    public boolean onLapsed(String id) {
        return mEntries.remove(id) != null;
    }

    /**
     * Returns the targets that were not heard for {@code silentMillis}, and forgets them. Those
     * that had said that they leave have left: a report from before must not bring them back.
     */
    public List<TargetReport> lapse(long silentMillis, long now) {
        forgetOld(now);
        List<TargetReport> lapsed = new ArrayList<>();
        for (Entry entry : mEntries.values()) {
            if (now - entry.mHeardAt > silentMillis) {
                lapsed.add(entry.mReport);
            }
        }
        for (TargetReport report : lapsed) {
            mEntries.remove(report.id());
            mLapsed.put(report.id(), new Lapsed(report.address(), now));
            if (report.leaving() && mDepartures.add(Departure.after(report, now))) {
                mLeft.add(report.id());
            }
        }
        return lapsed;
    }

    /** Forgets what is only known to tell late words from others. */
    public void forgetOld(long now) {
        mDepartures.expire(GONE_KEPT_MILLIS, now);
        mDisplaced.values().removeIf(known -> now - known.mAt > GONE_KEPT_MILLIS);
        mLapsed.values().removeIf(known -> now - known.at() > GONE_KEPT_MILLIS);
        mSuspensions.expire(now);
    }

    /** Forgets the targets that are only remembered; returns their ids. */
    public List<String> forgetRemembered() {
        List<String> ids =
                mEntries.values().stream()
                        .map(entry -> entry.mReport)
                        .filter(TargetReport::isRemembered)
                        .map(TargetReport::id)
                        .toList();
        ids.forEach(mEntries::remove);
        return ids;
    }

    /**
     * Returns whether a report of another service claims the id or the address of a target that was
     * heard.
     */
    public boolean displaces(TargetReport report) {
        String id = report.incarnation().id();
        return mEntries.values().stream()
                .map(entry -> entry.mReport)
                .filter(known -> !known.isRemembered())
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
    public long heardAt(String id) {
        Entry entry = mEntries.get(id);
        return entry == null ? NEVER : entry.mHeardAt;
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
        return mDepartures.of(target);
    }

    /**
     * Returns the departures since this was asked last of targets that didn't say that they are
     * gone.
     */
    public List<Departure> takeLeft() {
        List<Departure> left = mLeft.stream().flatMap(id -> mDepartures.of(id).stream()).toList();
        mLeft.clear();
        return left;
    }

    /** Where a target was that fell silent. */
    private record Lapsed(String address, long at) {}

    /** A target whose address another one has. */
    private static final class Displaced {
        final String mBy;
        final long mAt;
        long mHeardAgainAt = Long.MIN_VALUE;

        Displaced(String by, long at) {
            mBy = by;
            mAt = at;
        }
    }

    private static final class Entry {
        final boolean mSucceeds;
        final long mSince;
        TargetReport mReport;
        long mHeardAt;

        /** When the newest of its reports was heard. */
        long mReportedAt;

        Entry(TargetReport report, long heardAt, boolean succeeds) {
            mSucceeds = succeeds;
            mSince = heardAt;
            mReport = report;
            mHeardAt = heardAt;
            mReportedAt = heardAt;
        }
    }
}
