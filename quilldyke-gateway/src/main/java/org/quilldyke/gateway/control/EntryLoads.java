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

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.quilldyke.gateway.instance.proto.EntryLoad;
import org.quilldyke.gateway.instance.proto.TargetLoad;

/** What each entry process has open at targets, as told here or by other control processes. */
final class EntryLoads {
    /** A load that was told this long ago says nothing any more. */
    static final long STALE_MILLIS = 1500;

    /** An entry that was silent this long no longer has a part of what is shared. */
    static final long FORGOTTEN_MILLIS = 20_000;

    private final Map<String, Known> mEntries = new HashMap<>();

    /** Takes what an entry told here. */
    void onLoad(String entry, List<TargetLoad> targets, long now) {
        mEntries.put(entry, new Known(targets, now, true));
    }

    /** Takes what entries told at another control process. */
    void onOthers(List<EntryLoad> entries, long now) {
        for (EntryLoad load : entries) {
            Known known = mEntries.get(load.getEntry());
            if (known == null || !known.here() || now - known.at() > STALE_MILLIS) {
                mEntries.put(load.getEntry(), new Known(load.getTargetsList(), now, false));
            }
        }
    }

    /** Returns what entries have told here lately. */
    List<EntryLoad> here(long now) {
        mEntries.values().removeIf(known -> now - known.at() > FORGOTTEN_MILLIS);
        return mEntries.entrySet().stream()
                .filter(e -> e.getValue().here() && now - e.getValue().at() < STALE_MILLIS)
                .map(
                        e ->
                                EntryLoad.newBuilder()
                                        .setEntry(e.getKey())
                                        .addAllTargets(e.getValue().targets())
                                        .build())
                .toList();
    }

    /** Returns how many entries there are. */
    int entries() {
        return mEntries.size();
    }

    /** Returns how many requests all entries have open at each target, as of {@code now}. */
    Map<String, Integer> openRequests(long now) {
        Map<String, Integer> open = new HashMap<>();
        totals(now).mSums.forEach((id, sum) -> open.put(id, sum.getRequests()));
        return open;
    }

    /** Returns what all entries have open together, as of {@code now}. */
    Totals totals(long now) {
        Map<String, TargetLoad.Builder> sums = new TreeMap<>();
        mEntries.values().stream()
                .filter(known -> now - known.at() < STALE_MILLIS)
                .forEach(known -> known.targets().forEach(load -> add(sums, load, 1)));
        return new Totals(sums, now);
    }

    private static void add(Map<String, TargetLoad.Builder> sums, TargetLoad load, int sign) {
        TargetLoad.Builder sum =
                sums.computeIfAbsent(load.getTarget(), id -> TargetLoad.newBuilder().setTarget(id));
        sum.setRequests(sum.getRequests() + sign * load.getRequests());
        sum.setTokens(sum.getTokens() + sign * load.getTokens());
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
        List<TargetLoad> allBut(String entry) {
            Map<String, TargetLoad.Builder> others = new TreeMap<>();
            mSums.forEach((id, sum) -> others.put(id, sum.clone()));
            Known own = mEntries.get(entry);
            if (own != null && mNow - own.at() < STALE_MILLIS) {
                own.targets().forEach(load -> add(others, load, -1));
            }
            return others.values().stream()
                    .filter(load -> load.getRequests() > 0)
                    .map(TargetLoad.Builder::build)
                    .toList();
        }
    }

    private record Known(List<TargetLoad> targets, long at, boolean here) {}
}
