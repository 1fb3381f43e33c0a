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
package org.quilldyke.rollout;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.quilldyke.engine.VersionHistory;
import org.quilldyke.engine.VersionHistoryPlanner;

/**
 * Decides which software versions of a service may serve a request at this entry.
 *
 * <p>Times are in milliseconds of the entry's monotonic clock, except those of confirmations. These
 * are in milliseconds of the clock for leases, which also counts the time for which the machine was
 * suspended.
 */
public final class VersionRouting {
    /**
     * Without a confirmation for this time, the new version gets nothing. Confirmations are
     * requested every 250 ms.
     */
    static final long CONFIRMATION_MILLIS = 1500;

    /**
     * Without a confirmation for this time, no resumable stream begins: its version may have been
     * retired. The rest of the spread is for streams that begin after they were routed.
     */
    static final long HISTORY_MILLIS = VersionHistoryPlanner.RETIREMENT_SPREAD_MILLIS / 2;

    private final RolloutTolerance mTolerance;
    private final Map<String, State> mStates = new HashMap<>();

    /** By service; unused if there are no rollouts. */
    private final Map<String, Set<String>> mSeenVersions = new HashMap<>();

    /** Versions that were seen for the first time, with the time of their first report. */
    private final Map<ServiceVersion, Long> mHeld = new HashMap<>();

    /** Empty if control processes record no versions, as those of earlier releases. */
    private Optional<VersionHistory> mHistory = Optional.empty();

    private boolean mConfirmed;
    private long mConfirmedAt;
    private long mSuspendedMillis;

    private VersionRouting(RolloutTolerance tolerance) {
        mTolerance = tolerance;
    }

    /** Returns the routing of an entry that knows no rollouts. */
    public static VersionRouting create(RolloutTolerance tolerance) {
        return new VersionRouting(tolerance);
    }

    /**
     * Applies the latest rollout of a service, unless a later one or a later phase is known.
     *
     * @param ageMillis the time since its order
     * @return whether the rollout or its phase has changed
     */
    public boolean onRollout(ServiceVersions versions, long ageMillis, long now) {
        Rollout rollout = versions.rollout();
        State known = mStates.get(rollout.service());
        long startedAt = now - ageMillis;
        if (known == null || known.rollout().index() < rollout.index()) {
            mStates.put(rollout.service(), new State(versions, startedAt));
            return true;
        }
        if (known.rollout().index() > rollout.index()) {
            return false;
        }
        known.mStartedAt = Math.min(known.mStartedAt, startedAt);
        boolean isForward = known.rollout().phase().mayBecome(rollout.phase());
        if (isForward) {
            known.mVersions = versions;
        }
        return isForward;
    }

    /** Applies which versions are recorded to serve, or to have served. */
    public void onHistory(VersionHistory history) {
        mHistory = Optional.of(history);
    }

    /** Returns whether the recorded versions were confirmed lately enough to begin streams. */
    public boolean isHistoryCurrent(long now) {
        return mHistory.isEmpty() || isConfirmedWithin(HISTORY_MILLIS, now);
    }

    /** Returns whether a resumable stream may begin at a version while the history is current. */
    public boolean mayBeginStreams(String service, String version) {
        return mHistory.map(known -> known.standing(service, version).mayBeginStreams())
                .orElse(true);
    }

    /** Applies the canary fraction of a rollout that the leader has sent. */
    public void onCanaryFraction(String service, long index, double fraction, long now) {
        State state = mStates.get(service);
        if (state != null && state.rollout().index() == index) {
            state.mFraction.onReceived(fraction, now);
        }
    }

    /**
     * Records that the configuration was confirmed: all orders that were committed before the
     * request are known here.
     *
     * @param requestedAt in milliseconds of the clock for leases
     */
    public void onConfirmed(long requestedAt) {
        mConfirmedAt = mConfirmed ? Math.max(mConfirmedAt, requestedAt) : requestedAt;
        mConfirmed = true;
        if (!mHeld.isEmpty()) {
            mHeld.values().removeIf(reportedAt -> reportedAt < requestedAt);
        }
    }

    /** Records for how long the machine was suspended: how far the clock for leases is ahead. */
    public void onSuspended(long suspendedMillis) {
        mSuspendedMillis = suspendedMillis;
    }

    /**
     * Records the version of a target that was reported. A version that was not seen before gets
     * nothing until a confirmation that is requested after the report, as its order may not have
     * arrived here yet.
     */
    public void onVersionReported(String service, String version, long now) {
        if (!mTolerance.permitsRollouts()) {
            return;
        }
        Set<String> seen = mSeenVersions.computeIfAbsent(service, s -> new HashSet<>());
        boolean isFirst = seen.isEmpty();
        if (seen.add(version) && !isFirst) {
            mHeld.put(new ServiceVersion(service, version), now + mSuspendedMillis);
        }
    }

    /** Records a response to a canary request; returns whether canaries stop because of it. */
    public boolean onCanaryResponse(String service, String target, boolean bad, long now) {
        State state = mStates.get(service);
        return state != null && state.mStop.onResponse(target, bad, now);
    }

    /** Returns whether operators may order rollouts. */
    public boolean permitsRollouts() {
        return mTolerance.permitsRollouts();
    }

    /** Returns whether the version of a target may matter for requests to a service. */
    public boolean isRestricted(String service) {
        return !mStates.isEmpty() && mStates.containsKey(service)
                || !mHeld.isEmpty()
                        && mHeld.keySet().stream().anyMatch(held -> held.service().equals(service));
    }

    /** Returns the latest rollout of a service, if there is one. */
    public Optional<Rollout> rollout(String service) {
        return Optional.ofNullable(mStates.get(service)).map(State::rollout);
    }

    /** Returns the latest rollouts of all services. */
    public List<Rollout> rollouts() {
        return mStates.values().stream().map(State::rollout).toList();
    }

    /** Returns the time since a service's latest rollout was ordered, 0 if there is none. */
    public long ageMillis(String service, long now) {
        State state = mStates.get(service);
        return state == null ? 0 : now - state.mStartedAt;
    }

    /** Returns whether the targets of a version must get no more requests. */
    public boolean isRetired(String service, String version) {
        State state = mStates.get(service);
        return state != null && state.isRetired(version);
    }

    /** Returns whether the configuration was confirmed lately enough to send canaries. */
    public boolean isConfirmed(long now) {
        return isConfirmedWithin(CONFIRMATION_MILLIS, now);
    }

    private boolean isConfirmedWithin(long millis, long now) {
        return mConfirmed && now + mSuspendedMillis - mConfirmedAt < millis;
    }

    /** Returns whether requests to a service prefer the new version at every attempt. */
    public boolean prefersNewVersion(String service, long now) {
        State state = mStates.get(service);
        return state != null
                && state.rollout().phase() == RolloutPhase.SHIFTING
                && maySendToNew(state, now);
    }

    /**
     * Returns which versions may serve a request, as sets in order of preference. A target of all
     * but the last set is used only if it is healthy and can accept the request.
     *
     * @param requestId the request's id
     * @param service the service that receives it
     * @param known the versions of the service's targets that aren't leaving
     * @param firstAttempt whether the request has been sent to no target yet
     */
    public List<Set<String>> preferredVersions(
            String requestId, String service, Set<String> known, boolean firstAttempt, long now) {
        State state = mStates.get(service);
        if (state == null) {
            return List.of(notHeld(service, known, version -> false));
        }
        Set<String> usable = filter(known, version -> !state.isRetired(version));
        Rollout rollout = state.rollout();
        String next = rollout.version();
        if (!rollout.phase().isRunning()) {
            return List.of(notHeld(service, usable, next::equals));
        }
        Set<String> others = filter(usable, version -> !version.equals(next));
        if (others.isEmpty() || !usable.contains(next)) {
            return List.of(notHeld(service, usable, next::equals));
        }
        Set<String> old = notHeld(service, others, version -> false);
        if (prefersNewVersion(service, now)) {
            return List.of(Set.of(next), old, with(old, next));
        }
        boolean isCanary =
                rollout.phase() == RolloutPhase.CANARY
                        && firstAttempt
                        && maySendToNew(state, now)
                        && isCanary(requestId, state, now);
        return isCanary ? List.of(Set.of(next), old) : List.of(old);
    }

    private boolean maySendToNew(State state, long now) {
        return isConfirmed(now) && !state.mStop.isActive(now);
    }

    private boolean isCanary(String requestId, State state, long now) {
        long id = Hashing.xxh3_64().hashCharsToLong(requestId);
        long hash = Hashing.xxh3_64().hashLongLongToLong(id, state.rollout().index());
        return CanaryFraction.isBelow(hash, state.mFraction.value(mTolerance, now));
    }

    /** Returns the versions that aren't held, or all of them if there are no others. */
    private Set<String> notHeld(String service, Set<String> versions, Predicate<String> exempt) {
        if (mHeld.isEmpty()) {
            return versions;
        }
        Set<String> rest =
                filter(
                        versions,
                        version ->
                                exempt.test(version)
                                        || !mHeld.containsKey(
                                                new ServiceVersion(service, version)));
        return rest.isEmpty() ? versions : rest;
    }

    private static Set<String> filter(Set<String> versions, Predicate<String> accepted) {
        Set<String> out = new HashSet<>();
        for (String version : versions) {
            if (accepted.test(version)) {
                out.add(version);
            }
        }
        return out;
    }

    private static Set<String> with(Set<String> versions, String other) {
        List<String> out = new ArrayList<>(versions);
        out.add(other);
        return Set.copyOf(out);
    }

    private record ServiceVersion(String service, String version) {}

    /** The latest rollout of a service as this entry knows it. */
    private static final class State {
        private final CanaryFraction mFraction = new CanaryFraction();
        private final CanaryStop mStop = new CanaryStop();
        private ServiceVersions mVersions;
        private long mStartedAt;

        private State(ServiceVersions versions, long startedAt) {
            mVersions = versions;
            mStartedAt = startedAt;
        }

        private Rollout rollout() {
            return mVersions.rollout();
        }

        private boolean isRetired(String version) {
            boolean isReverted =
                    rollout().phase() == RolloutPhase.REVERTED
                            && rollout().version().equals(version);
            return isReverted || mVersions.retired().contains(version);
        }
    }
}
