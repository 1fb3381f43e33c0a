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
package org.quilldyke.caller;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Runs whose connections were closed by their targets, kept until it is known whether the target
 * has crashed.
 *
 * <p>A closed connection alone may be due to a network failure or to a failure of one request. A
 * target that refuses connections right after it has closed some has crashed.
 */
public final class DisconnectedRuns {
    /**
     * A target that ends later than this after it closed a connection did not crash because of that
     * run.
     */
    static final long RETENTION_MILLIS = 2000;

    private final Map<String, Map<RequestFingerprint, Long>> mDisconnectedAtByTarget =
            new HashMap<>();

    private DisconnectedRuns() {}

    /** Returns an object without runs. */
    public static DisconnectedRuns create() {
        return new DisconnectedRuns();
    }

    /**
     * Records that a target closed the connection of a run.
     *
     * @param request the fingerprints of the request that it ran
     */
    public void onDisconnected(String target, Set<RequestFingerprint> request, long now) {
        expire(now);
        Map<RequestFingerprint, Long> disconnectedAt =
                mDisconnectedAtByTarget.computeIfAbsent(target, id -> new HashMap<>());
        request.forEach(fingerprint -> disconnectedAt.put(fingerprint, now));
    }

    /**
     * Returns whether a target has neither ended nor left since it closed the connection of a run;
     * to be called within {@link #RETENTION_MILLIS} of it.
     */
    public boolean hasSurvived(String target, RequestFingerprint request, long disconnectedAt) {
        Long lastDisconnectedAt =
                mDisconnectedAtByTarget.getOrDefault(target, Map.of()).get(request);
        return lastDisconnectedAt != null && lastDisconnectedAt >= disconnectedAt;
    }

    /**
     * Returns the crash of a target that has ended, dated at the first connection that it closed;
     * empty if it has closed none within {@link #RETENTION_MILLIS}.
     */
    public Optional<TargetCrash> onTargetEnded(String target, long now) {
        expire(now);
        Map<RequestFingerprint, Long> disconnected = mDisconnectedAtByTarget.remove(target);
        if (disconnected == null) {
            return Optional.empty();
        }
        Set<RequestFingerprint> requests = new HashSet<>(disconnected.keySet());
        long firstDisconnectedAt =
                disconnected.values().stream().mapToLong(Long::longValue).min().orElse(now);
        return Optional.of(new TargetCrash(target, requests, firstDisconnectedAt));
    }

    /** Discards the runs of a target that shuts down in an orderly way. */
    public void onTargetLeft(String target) {
        mDisconnectedAtByTarget.remove(target);
    }

    private void expire(long now) {
        for (Map<RequestFingerprint, Long> disconnected : mDisconnectedAtByTarget.values()) {
            disconnected
                    .values()
                    .removeIf(disconnectedAt -> now - disconnectedAt > RETENTION_MILLIS);
        }
        mDisconnectedAtByTarget.values().removeIf(Map::isEmpty);
    }
}
