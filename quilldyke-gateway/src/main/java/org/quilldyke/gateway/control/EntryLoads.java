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

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.quilldyke.gateway.instance.proto.Loads;
import org.quilldyke.gateway.instance.proto.TargetLoad;

/**
 * What entry processes have open at targets: each entry's own, of those that tell it here, and the
 * sums of what is told to each other control process.
 *
 * <p>Sums are enough, and grow with the targets only; told entry by entry, every 100 ms and to each
 * other control process, loads grow with entries times targets.
 */
final class EntryLoads {
    /** A load that was told this long ago says nothing any more. */
    static final long STALE_MILLIS = 1500;

    /** An entry that was silent this long no longer has a part of what is shared. */
    static final long ENTRY_EXPIRY_MILLIS = 20_000;

    private final Map<String, ReportedLoads> mLocal = new HashMap<>();
    private final Map<String, ReportedLoads> mRemote = new HashMap<>();
    private final Map<String, Long> mEntrySeenAt = new HashMap<>();
    private Map<String, Integer> mRanks = Map.of();

    /** Takes what an entry told here. */
    void onLoad(String entry, List<TargetLoad> targets, long now) {
        mLocal.put(entry, new ReportedLoads(targets, now));
        onEntrySeen(entry, now);
    }

    /** Notes that what an entry told here last is still so. */
    void onKeepAlive(String entry, long now) {
        mLocal.computeIfPresent(
                entry, (id, reported) -> new ReportedLoads(reported.targets(), now));
        onEntrySeen(entry, now);
    }

    private void onEntrySeen(String entry, long now) {
        if (mEntrySeenAt.put(entry, now) == null) {
            mRanks = Map.of();
        }
    }

    /** Notes that an entry tells what it has open elsewhere, or has ended. */
    void removeLocal(String entry) {
        mLocal.remove(entry);
    }

    /** Takes the sums of another control process. */
    void onPeerLoads(String control, Loads loads, long now) {
        mRemote.put(control, new ReportedLoads(loads.getTargetsList(), now));
        loads.getEntriesList().forEach(entry -> onEntrySeen(entry, now));
    }

    /** Returns the sums of what entries have told here lately. */
    List<TargetLoad> localLoads(long now) {
        return listOf(sums(mLocal.values(), now));
    }

    /** Returns the entries that have told something here lately. */
    Set<String> localEntries(long now) {
        Set<String> entries = new HashSet<>();
        mLocal.forEach(
                (entry, reported) -> {
                    if (reported.isFresh(now)) {
                        entries.add(entry);
                    }
                });
        return entries;
    }

    /** Returns how many entries there are. */
    int entryCount(long now) {
        if (mEntrySeenAt.values().removeIf(at -> now - at > ENTRY_EXPIRY_MILLIS)) {
            mRanks = Map.of();
        }
        mLocal.keySet().retainAll(mEntrySeenAt.keySet());
        return mEntrySeenAt.size();
    }

    /** Returns an entry's place among all by name, from 1 on; 0 if it isn't known. */
    int rank(String entry) {
        if (mRanks.isEmpty()) {
            mRanks = new HashMap<>();
            for (String name : new TreeSet<>(mEntrySeenAt.keySet())) {
                mRanks.put(name, mRanks.size() + 1);
            }
        }
        return mRanks.getOrDefault(entry, 0);
    }

    /** Returns how many requests all entries have open at each target, as of {@code now}. */
    Map<String, Integer> openRequests(long now) {
        Map<String, Integer> open = new HashMap<>();
        totals(now).mSums.forEach((id, sum) -> open.put(id, sum.getRequests()));
        return open;
    }

    /** Returns what all entries have open together, as of {@code now}. */
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

    /** The sums over all entries, made once for all who ask. */
    final class Totals {
        private final Map<String, TargetLoad.Builder> mSums;
        private final long mNow;

        private Totals(Map<String, TargetLoad.Builder> sums, long now) {
            mSums = sums;
            mNow = now;
        }

        /** Returns what all entries but one have open, by target. */
        List<TargetLoad> excluding(String entry) {
            Map<String, TargetLoad.Builder> others = new TreeMap<>();
            mSums.forEach((id, sum) -> others.put(id, sum.clone()));
            ReportedLoads own = mLocal.get(entry);
            if (own != null && own.isFresh(mNow)) {
                own.targets().forEach(load -> add(others, load, -1));
            }
            return listOf(others);
        }
    }

    private record ReportedLoads(List<TargetLoad> targets, long reportedAt) {
        boolean isFresh(long now) {
            return now - reportedAt < STALE_MILLIS;
        }
    }
}
