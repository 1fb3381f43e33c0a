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

    /** Interval between probes of different targets of a service, so that they are no burst. */
    static final long PROBE_SPACING_MILLIS = 20;

    /** After an answered probe, silence is the target's own for this long. */
    static final long TRUSTED_MILLIS = 2000;

    /** Failed probes of this many targets, or of all if there are fewer, show a partition. */
    private static final int MIN_FAILED_TARGETS = 2;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<String, Path> mPaths = new HashMap<>();
    private final Map<String, Long> mDataAtByService = new HashMap<>();
    private final Map<String, Long> mNextProbeAtByService = new HashMap<>();
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
        mPaths.remove(target);
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
        List<String> targets = new ArrayList<>();
        for (Path path : due) {
            if (now >= mNextProbeAtByService.getOrDefault(path.mService, NEVER)) {
                mNextProbeAtByService.put(path.mService, now + spacing(path.mService));
                path.mProbing = true;
                path.mProbedAt = now;
                targets.add(path.mTarget);
            }
        }
        return targets;
    }

    /** Records that a target has answered a probe, with any status. */
    public void onProbeAnswered(String target, long now) {
        Path path = mPaths.get(target);
        if (path == null) {
            return;
        }
        onData(target, now);
        path.mProbing = false;
        path.mState = State.WORKING;
        path.mTrustedUntil = now + TRUSTED_MILLIS;
        if (mPartitionedServices.remove(path.mService)) {
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
        boolean othersProbed =
                pathsOf(path.mService).stream()
                        .anyMatch(p -> p != path && p.mState != State.WORKING);
        if (!othersProbed) {
            // Tells a failure of this target from one of all paths to the service.
            pathsOf(path.mService).stream()
                    .filter(p -> p != path)
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
                paths.stream().filter(p -> p.mState == State.LOST && p.mProbedAt > dataAt).count();
        return failed >= Math.min(MIN_FAILED_TARGETS, paths.size());
    }

    /** While no path works, one probe in an interval is enough to notice that they are back. */
    private long spacing(String service) {
        return isPartitioned(service)
                ? PROBE_INTERVAL_MILLIS / MIN_FAILED_TARGETS
                : PROBE_SPACING_MILLIS;
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
        private boolean mProbing;

        Path(String target, String service) {
            mTarget = target;
            mService = service;
        }
    }
}
