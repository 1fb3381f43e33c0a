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
package org.quilldyke.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Whether this instance reaches targets over connections of its own.
 *
 * <p>A target may be fine and out of reach from here only. Connections that fail, or all of them
 * being silent, make a path suspect; a probe, a short request on a new connection, decides. If the
 * probes of two targets of a service fail and no other one sends anything, this instance is treated
 * as partitioned from the whole service. Lost paths are probed until one works.
 */
public final class TargetPaths {
    /** Without data from any target for this long, targets with open requests are probed. */
    static final long SILENCE_MILLIS = 500;

    /** Interval between the probes of a lost path. */
    static final long PROBE_INTERVAL_MILLIS = 500;

    /** Interval between the probes of a service of which no target is within reach. */
    static final long PARTITION_PROBE_MILLIS = 250;

    /** Probes that are started at once for a service, so that they are no burst. */
    static final int MAX_PROBES_AT_ONCE = 5;

    /** After an answered probe, silence is the target's own for this long. */
    static final long TRUSTED_MILLIS = 2000;

    /** Failed probes of this many targets, or of all if there are fewer, show a partition. */
    private static final int MIN_FAILED_TARGETS = 2;

    /** With this many failed ones, the outcome of further probes isn't awaited. */
    private static final int ENOUGH_FAILED_TARGETS = 4;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<String, Path> mPaths = new HashMap<>();
    private final Map<String, Long> mDataAtByService = new HashMap<>();
    private final Map<String, Long> mProbeStartedAtByService = new HashMap<>();
    private final Set<String> mPartitionedServices = new HashSet<>();
    private long mDataAt = NEVER;

    private TargetPaths() {}

    /** Returns an instance without targets. */
    public static TargetPaths create() {
        return new TargetPaths();
    }

    /** Adds a target, whose path is assumed to work; no-op for a known one. */
    void onTarget(String target, String service) {
        mPaths.computeIfAbsent(target, id -> new Path(id, service));
    }

    void onRemoved(String target) {
        Path path = mPaths.remove(target);
        if (path != null && pathsOf(path.mService).isEmpty()) {
            mPartitionedServices.remove(path.mService);
        }
    }

    /** Records that a request was sent to a target over a connection of this instance. */
    public void onSent(String target, long now) {
        Path path = mPaths.get(target);
        if (path != null) {
            path.mAwaitingDataSince = path.mOpen == 0 ? now : path.mAwaitingDataSince;
            path.mOpen++;
        }
    }

    /** Records that data of a target arrived over a connection of this instance. */
    public void onData(String target, long now) {
        Path path = mPaths.get(target);
        if (path != null) {
            path.mAwaitingDataSince = now;
            path.mDataAt = now;
            mDataAt = now;
            mDataAtByService.put(path.mService, now);
            mPartitionedServices.remove(path.mService);
        }
    }

    /**
     * Records that a request is no longer open.
     *
     * @param disconnected whether the connection was closed before any data had arrived on it
     */
    public void onClosed(String target, boolean disconnected, long now) {
        Path path = mPaths.get(target);
        if (path == null) {
            return;
        }
        boolean silent = isSilent(path, now);
        path.mOpen = Math.max(0, path.mOpen - 1);
        if (disconnected || silent) {
            suspect(path, now);
        }
    }

    /** Records that a connection to a target could not be established. */
    public void onConnectionFailed(String target, long now) {
        Path path = mPaths.get(target);
        if (path != null) {
            suspect(path, now);
        }
    }

    /** Returns the targets to be probed now; the outcome of each is awaited. */
    public List<String> startProbes(long now) {
        mPaths.values().stream()
                .filter(p -> isSilent(p, now))
                .toList()
                .forEach(p -> suspect(p, now));
        List<Path> due =
                mPaths.values().stream()
                        .filter(p -> p.mState != State.WORKING && !p.mProbing)
                        .filter(p -> now >= p.mNextProbeAt)
                        .sorted(Comparator.comparingLong((Path p) -> p.mNextProbeAt))
                        .toList();
        Map<String, Integer> startedByService = new HashMap<>();
        List<String> targets = new ArrayList<>();
        for (Path path : due) {
            if (mayProbe(path.mService, startedByService.getOrDefault(path.mService, 0), now)) {
                startedByService.merge(path.mService, 1, Integer::sum);
                mProbeStartedAtByService.put(path.mService, now);
                path.mProbing = true;
                path.mProbedAt = now;
                targets.add(path.mTarget);
            }
        }
        return targets;
    }

    private boolean mayProbe(String service, int started, long now) {
        long startedAt = mProbeStartedAtByService.getOrDefault(service, NEVER);
        return isPartitioned(service)
                ? now - startedAt >= PARTITION_PROBE_MILLIS
                : started < MAX_PROBES_AT_ONCE;
    }

    /** Records that a probe was not sent, since the target wants no requests until then. */
    public void onProbePostponed(String target, long until) {
        Path path = mPaths.get(target);
        if (path != null) {
            path.mProbing = false;
            path.mNextProbeAt = until;
        }
    }

    /** Records that a target has answered a probe, with any status. */
    public void onProbeAnswered(String target, long now) {
        Path path = mPaths.get(target);
        if (path == null) {
            return;
        }
        boolean wasPartitioned = isPartitioned(path.mService);
        onData(target, now);
        path.mProbing = false;
        path.mState = State.WORKING;
        path.mTrustedUntil = now + TRUSTED_MILLIS;
        if (wasPartitioned) {
            for (Path other : pathsOf(path.mService)) {
                if (other.mState == State.LOST) {
                    other.mState = State.SUSPECT;
                    other.mNextProbeAt = now;
                }
            }
        }
    }

    /** Records that no connection for a probe was established, or that no answer came in time. */
    public void onProbeFailed(String target, long now) {
        Path path = mPaths.get(target);
        if (path == null) {
            return;
        }
        path.mProbing = false;
        path.mFirstFailedProbeAt =
                path.mState == State.LOST ? path.mFirstFailedProbeAt : path.mProbedAt;
        path.mState = State.LOST;
        path.mNextProbeAt = now + PROBE_INTERVAL_MILLIS;
        if (isPartitionShown(path.mService) && mPartitionedServices.add(path.mService)) {
            for (Path other : pathsOf(path.mService)) {
                other.mState = State.LOST;
                other.mNextProbeAt = Math.max(other.mNextProbeAt, now);
            }
        }
    }

    /** Returns whether requests to a target can't be sent over connections of this instance. */
    public boolean isLost(String target) {
        Path path = mPaths.get(target);
        return path != null && path.mState == State.LOST;
    }

    /** Returns whether this instance reaches no target of a service. */
    public boolean isPartitioned(String service) {
        return mPartitionedServices.contains(service);
    }

    /** Returns whether there is a service of which this instance reaches no target. */
    public boolean isPartitioned() {
        return !mPartitionedServices.isEmpty();
    }

    /** Returns the number of targets that this instance does not reach itself. */
    public int lostCount() {
        return (int) mPaths.values().stream().filter(p -> p.mState == State.LOST).count();
    }

    private void suspect(Path path, long now) {
        if (path.mState != State.WORKING) {
            return;
        }
        suspectAlone(path, now);
        boolean othersSuspect =
                pathsOf(path.mService).stream()
                        .anyMatch(p -> p != path && p.mState == State.SUSPECT);
        if (!othersSuspect) {
            // Distinguishes a failure of this target from a loss of all paths to the service.
            pathsOf(path.mService).stream()
                    .filter(p -> p.mState == State.WORKING)
                    .min(Comparator.comparingLong((Path p) -> p.mDataAt))
                    .ifPresent(other -> suspectAlone(other, now));
        }
    }

    private static void suspectAlone(Path path, long now) {
        path.mState = State.SUSPECT;
        path.mNextProbeAt = now;
    }

    /** While any target sends data, an unanswered request is the target's own delay. */
    private boolean isSilent(Path path, long now) {
        return path.mOpen > 0
                && now - path.mAwaitingDataSince >= SILENCE_MILLIS
                && now - mDataAt >= SILENCE_MILLIS
                && now >= path.mTrustedUntil;
    }

    private boolean isPartitionShown(String service) {
        List<Path> paths = pathsOf(service);
        long dataAt = mDataAtByService.getOrDefault(service, NEVER);
        long failed =
                paths.stream()
                        .filter(p -> p.mState == State.LOST && p.mFirstFailedProbeAt > dataAt)
                        .count();
        boolean outcomeAwaited = paths.stream().anyMatch(p -> p.mProbing);
        return failed >= ENOUGH_FAILED_TARGETS
                || !outcomeAwaited && failed >= Math.min(MIN_FAILED_TARGETS, paths.size());
    }

    private List<Path> pathsOf(String service) {
        return mPaths.values().stream().filter(p -> p.mService.equals(service)).toList();
    }

    private enum State {
        WORKING,
        /** Still used, and probed. */
        SUSPECT,
        /** Not used, and probed. */
        LOST
    }

    /** The path to one target. */
    private static final class Path {
        private final String mTarget;
        private final String mService;
        private State mState = State.WORKING;
        private int mOpen;
        private long mAwaitingDataSince;
        private long mDataAt = NEVER;
        private long mTrustedUntil = NEVER;
        private long mNextProbeAt = NEVER;
        private long mProbedAt = NEVER;

        /** When the probe was started by which the path was lost. */
        private long mFirstFailedProbeAt = NEVER;

        private boolean mProbing;

        Path(String target, String service) {
            mTarget = target;
            mService = service;
        }
    }
}
