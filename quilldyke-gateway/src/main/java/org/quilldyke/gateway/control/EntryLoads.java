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
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.quilldyke.gateway.instance.proto.Loads;
import org.quilldyke.gateway.instance.proto.TargetLoad;

/**
 * The load that entries place on targets: each local entry's own, and the totals that other control
 * processes report.
 *
 * <p>Control processes exchange totals only, since these grow with the number of targets alone.
 * Per-entry loads, sent every 100 ms to each other control process, would grow with the number of
 * entries times that of targets.
 */
final class EntryLoads {
    /** Loads reported longer ago than this are ignored. */
    static final long STALE_MILLIS = 1500;

    /** Shortest time after which an entry that is not seen no longer counts. */
    static final long MIN_ENTRY_EXPIRY_MILLIS = 20_000;

    private final long mEntryExpiryMillis;
    private final Map<String, ReportedLoads> mLocal = new HashMap<>();
    private final Map<String, ReportedLoads> mRemote = new HashMap<>();
    private final Map<String, Long> mLocalSeenAt = new HashMap<>();
    private final Map<String, Long> mEntrySeenAt = new HashMap<>();
    private Map<String, Integer> mRanks = Map.of();

    private EntryLoads(long entryExpiryMillis) {
        mEntryExpiryMillis = entryExpiryMillis;
    }

    /**
     * Returns an instance without entries.
     *
     * @param retryWindowMillis the windows in which retries are limited; an entry counts until its
     *     retries have left them
     */
    static EntryLoads create(long retryWindowMillis) {
        return new EntryLoads(Math.max(MIN_ENTRY_EXPIRY_MILLIS, 2 * retryWindowMillis));
    }

    /** Stores the load that an entry reports to this process. */
    void onLoad(String entry, List<TargetLoad> targets, long now) {
        mLocal.put(entry, new ReportedLoads(targets, now));
        onLocalSeen(entry, now);
    }

    /** Records that an entry's last report is still accurate. */
    void onKeepAlive(String entry, long now) {
        mLocal.computeIfPresent(
                entry, (id, reported) -> new ReportedLoads(reported.targets(), now));
        onLocalSeen(entry, now);
    }

    private void onLocalSeen(String entry, long now) {
        mLocalSeenAt.put(entry, now);
        onEntrySeen(entry, now);
    }

    private void onEntrySeen(String entry, long now) {
        if (mEntrySeenAt.put(entry, now) == null) {
            mRanks = Map.of();
        }
    }

    /** Removes the load of an entry that reports to another process or has stopped. */
    void removeLocal(String entry) {
        mLocal.remove(entry);
        mLocalSeenAt.remove(entry);
    }

    /** Stores the totals of another control process. */
    void onPeerLoads(String control, Loads loads, long now) {
        mRemote.put(control, new ReportedLoads(loads.getTargetsList(), now));
        loads.getEntriesList().forEach(entry -> onEntrySeen(entry, now));
    }

    /** Returns the totals of the entries that recently reported to this process. */
    List<TargetLoad> localLoads(long now) {
        return listOf(sums(mLocal.values(), now));
    }

    /** Returns the entries that recently reported to this process. */
    Set<String> localEntries(long now) {
        mLocalSeenAt.values().removeIf(at -> now - at >= STALE_MILLIS);
        return Set.copyOf(mLocalSeenAt.keySet());
    }

    /** Removes expired entries, and returns the number of entries at all control processes. */
    int entryCount(long now) {
        if (mEntrySeenAt.values().removeIf(at -> now - at > mEntryExpiryMillis)) {
            mRanks = Map.of();
        }
        mLocal.keySet().retainAll(mEntrySeenAt.keySet());
        return mEntrySeenAt.size();
    }

    /** Returns an entry's 1-based position among all entries by name; 0 if it is unknown. */
    int rank(String entry) {
        if (mRanks.isEmpty()) {
            mRanks = new HashMap<>();
            for (String name : new TreeSet<>(mEntrySeenAt.keySet())) {
                mRanks.put(name, mRanks.size() + 1);
            }
        }
        return mRanks.getOrDefault(entry, 0);
    }

    /** Returns the number of open requests at each target, of all entries, as of {@code now}. */
    Map<String, Integer> openRequests(long now) {
        Map<String, Integer> open = new HashMap<>();
        totals(now).mSums.forEach((id, sum) -> open.put(id, sum.getRequests()));
        return open;
    }

    /** Returns the load of all entries together, as of {@code now}. */
    Totals totals(long now) {
        Map<String, TargetLoad.Builder> sums = sums(mLocal.values(), now);
        sums(mRemote.values(), now).values().forEach(sum -> add(sums, sum.build(), 1));
        return new Totals(sums, now);
    }

    private static Map<String, TargetLoad.Builder> sums(
            Collection<ReportedLoads> reports, long now) {
        Map<String, TargetLoad.Builder> sums = new TreeMap<>();
        reports.stream()
                .filter(reported -> reported.isFresh(now))
                .forEach(reported -> reported.targets().forEach(load -> add(sums, load, 1)));
        return sums;
    }

    private static void add(Map<String, TargetLoad.Builder> sums, TargetLoad load, int sign) {
        TargetLoad.Builder sum =
                sums.computeIfAbsent(load.getTarget(), id -> TargetLoad.newBuilder().setTarget(id));
        sum.setRequests(sum.getRequests() + sign * load.getRequests());
        sum.setTokens(sum.getTokens() + sign * load.getTokens());
    }

    private static List<TargetLoad> listOf(Map<String, TargetLoad.Builder> sums) {
        return sums.values().stream()
                .filter(load -> load.getRequests() > 0)
                .map(TargetLoad.Builder::build)
                .toList();
    }

    /** The totals of all entries, computed once for all recipients. */
    final class Totals {
        private final Map<String, TargetLoad.Builder> mSums;
        private final List<TargetLoad> mTotals;
        private final long mNow;

        private Totals(Map<String, TargetLoad.Builder> sums, long now) {
            mSums = sums;
            mTotals = listOf(sums);
            mNow = now;
        }

        /** Returns the load by target of all entries but the given one. */
        List<TargetLoad> excluding(String entry) {
            Map<String, TargetLoad.Builder> own = new HashMap<>();
            ReportedLoads reported = mLocal.get(entry);
            if (reported != null && reported.isFresh(mNow)) {
                for (TargetLoad load : reported.targets()) {
                    // A copy: the sum serves the other recipients, too.
                    TargetLoad.Builder sum = mSums.get(load.getTarget());
                    if (sum != null) {
                        own.putIfAbsent(load.getTarget(), sum.clone());
                        add(own, load, -1);
                    }
                }
            }
            List<TargetLoad> others = new ArrayList<>();
            for (TargetLoad total : mTotals) {
                TargetLoad.Builder rest = own.get(total.getTarget());
                if (rest == null) {
                    others.add(total);
                } else if (rest.getRequests() > 0) {
                    others.add(rest.build());
                }
            }
            return others;
        }
    }

    private record ReportedLoads(List<TargetLoad> targets, long reportedAt) {
        boolean isFresh(long now) {
            return now - reportedAt < STALE_MILLIS;
        }
    }
}
