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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which software versions the leader records in the {@link VersionHistory}.
 *
 * <p>A version is recorded before its targets may begin resumable streams. It is removed only after
 * this leader itself has seen no target of it for as long as its streams can be resumed: what was
 * not seen before its election, or while the process was suspended, is no evidence.
 */
public final class VersionHistoryPlanner {
    /** Time without a target after which a version is retired while another one serves. */
    public static final long RETIRE_MILLIS = 5000;

    /**
     * Time without a target after which any version is retired. Until then, targets that don't
     * reach control processes may still serve at entries.
     */
    public static final long ABANDON_MILLIS = 600_000;

    /** Time within which the last stream begins at a retired version. */
    public static final long RETIREMENT_SPREAD_MILLIS = 30_000;

    /** Further versions of a service are not recorded, so that they begin no resumable streams. */
    public static final int MAX_VERSIONS_PER_SERVICE = 32;

    /** After a longer time between two observations, targets may have served unseen. */
    private static final long MAX_OBSERVATION_GAP_MILLIS = 2000;

    private final long mRemoveMillis;
    private final Map<Key, Long> mSeenAt = new HashMap<>();
    private final Map<Key, Long> mRetiredSince = new HashMap<>();
    private boolean mObserving;
    private long mObservedSince;
    private long mObservedAt;

    private VersionHistoryPlanner(long resumableMillis) {
        mRemoveMillis = resumableMillis + RETIREMENT_SPREAD_MILLIS;
    }

    /**
     * Returns a planner that has observed nothing.
     *
     * @param resumableMillis for how long a stream of an ended target may be resumed
     */
    public static VersionHistoryPlanner create(long resumableMillis) {
        return new VersionHistoryPlanner(resumableMillis);
    }

    /** Discards all observations: another process may have led meanwhile. */
    public void reset() {
        mObserving = false;
    }

    /**
     * Returns the changes to record.
     *
     * @param history the committed history
     * @param targets all targets that are known now
     */
    public List<ServedVersion> plan(
            VersionHistory history, Collection<TargetReport> targets, long now) {
        observe(now);
        Set<Key> seen = new HashSet<>();
        for (TargetReport target : targets) {
            if (!target.isRestored()) {
                seen.add(new Key(target.service(), target.softwareVersion()));
            }
        }
        seen.forEach(key -> mSeenAt.put(key, now));
        List<ServedVersion> changes = new ArrayList<>();
        for (Key key : seen) {
            if (key.standing(history) != VersionStanding.SERVING
                    && hasRoom(history, key, changes)) {
                changes.add(key.as(VersionStanding.SERVING));
            }
        }
        for (ServedVersion served : history.served()) {
            planUnseen(served, seen, changes, now);
        }
        return changes;
    }

    /** Returns whether the history is complete by what was observed since the election. */
    public boolean hasObservedResumableStreams(long now) {
        return mObserving && now - mObservedSince >= mRemoveMillis;
    }

    private void observe(long now) {
        if (!mObserving || now - mObservedAt > MAX_OBSERVATION_GAP_MILLIS) {
            mObserving = true;
            mObservedSince = now;
            mSeenAt.clear();
            mRetiredSince.clear();
        }
        mObservedAt = now;
    }

    private void planUnseen(
            ServedVersion served, Set<Key> seen, List<ServedVersion> changes, long now) {
        Key key = new Key(served.service(), served.version());
        long seenAt = mSeenAt.computeIfAbsent(key, k -> now);
        if (served.standing() == VersionStanding.SERVING) {
            mRetiredSince.remove(key);
            boolean isReplaced =
                    seen.stream().anyMatch(other -> other.service().equals(key.service()));
            if (now - seenAt >= (isReplaced ? RETIRE_MILLIS : ABANDON_MILLIS)) {
                changes.add(key.as(VersionStanding.RETIRED));
            }
        } else if (!seen.contains(key)
                && now - mRetiredSince.computeIfAbsent(key, k -> now) >= mRemoveMillis) {
            changes.add(key.as(VersionStanding.REMOVED));
            mSeenAt.remove(key);
            mRetiredSince.remove(key);
        }
    }

    private static boolean hasRoom(VersionHistory history, Key key, List<ServedVersion> changes) {
        long added =
                changes.stream().filter(change -> change.service().equals(key.service())).count();
        return history.versions(key.service()).contains(key.version())
                || history.versions(key.service()).size() + added < MAX_VERSIONS_PER_SERVICE;
    }

    private record Key(String service, String version) {
        VersionStanding standing(VersionHistory history) {
            return history.standing(service, version);
        }

        ServedVersion as(VersionStanding standing) {
            return new ServedVersion(service, version, standing);
        }
    }
}
