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
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.rollout.VersionRouting;

/** Which targets may accept a request, by their state, their reach and their software version. */
final class TargetCandidates {
    private final Map<String, TargetState> mTargets;
    private final TargetPaths mPaths;
    private final VersionRouting mVersions;
    private final TargetScorer mScorer;
    private final long mMaxOutdatedMillis;
    private final PermitBorrowing mBorrowing = PermitBorrowing.create();
    private boolean mRelayAvailable;

    /**
     * Returns the candidates among the given targets.
     *
     * @param maxOutdatedMillis see {@link TargetSelector#create}
     */
    TargetCandidates(
            Map<String, TargetState> targets,
            TargetPaths paths,
            VersionRouting versions,
            TargetScorer scorer,
            long maxOutdatedMillis) {
        mTargets = targets;
        mPaths = paths;
        mVersions = versions;
        mScorer = scorer;
        mMaxOutdatedMillis = maxOutdatedMillis;
    }

    void onRelayAvailable(boolean available) {
        mRelayAvailable = available;
    }

    PermitBorrowing borrowing() {
        return mBorrowing;
    }

    ServiceReachability reachability(String service, long now) {
        int known = 0;
        int reported = 0;
        int responding = 0;
        for (TargetState state : mTargets.values()) {
            if (state.service().equals(service)) {
                long reportAge = state.mReportOrigin.ageMillis(now);
                known++;
                reported += reportAge >= 0 && reportAge < ServiceReachability.RECENT_MILLIS ? 1 : 0;
                responding += state.receivedWithin(ServiceReachability.RECENT_MILLIS, now) ? 1 : 0;
            }
        }
        return new ServiceReachability(known, reported, responding);
    }

    /**
     * Returns the targets that may accept a request, in order of preference: those of a later list
     * are used only if none of the earlier lists can accept it. Without a rollout of the service
     * there is one list.
     *
     * @param mayBeCanary whether the request may be sent to a version that is being rolled out;
     *     only if it can't have run yet
     */
    List<List<TargetState>> inOrder(
            ForwardRequest request, Set<String> excluded, boolean mayBeCanary, long now) {
        if (!mVersions.isRestricted(request.service())) {
            return List.of(candidates(request, excluded, state -> true, now));
        }
        boolean isFirstAttempt =
                mayBeCanary && excluded.isEmpty() && request.resumeAfterEvent() < 0;
        List<Set<String>> order =
                mVersions.preferredVersions(
                        request.id(),
                        request.service(),
                        knownVersions(request.service(), now),
                        isFirstAttempt,
                        now);
        List<List<TargetState>> out = new ArrayList<>();
        for (Set<String> versions : order) {
            boolean isLast = out.size() == order.size() - 1;
            out.add(
                    candidates(
                            request,
                            excluded,
                            state ->
                                    versions.contains(state.softwareVersion())
                                            && (isLast || reach(state, now).isHealthy()),
                            now));
        }
        return out;
    }

    /** Returns whether any target may accept a request. */
    boolean hasAny(ForwardRequest request, Set<String> excluded, long now) {
        return inOrder(request, excluded, excluded.isEmpty(), now).stream()
                .anyMatch(candidates -> !candidates.isEmpty());
    }

    /** Returns the preferred targets to which a running request can move, if they are healthy. */
    List<TargetState> healthy(ForwardRequest request, Set<String> excluded, long now) {
        for (List<TargetState> candidates : inOrder(request, excluded, false, now)) {
            if (!candidates.isEmpty() && reach(candidates.get(0), now).isHealthy()) {
                return candidates;
            }
        }
        return List.of();
    }

    /**
     * Returns the versions of a service's targets. While control processes don't confirm the
     * configuration, they don't report the end of targets either. So targets that seem to have
     * ended are left out then: the old version may have been replaced meanwhile.
     */
    private Set<String> knownVersions(String service, long now) {
        boolean isConfirmed = mVersions.isConfirmed(now);
        Set<String> versions = new HashSet<>();
        for (TargetState state : mTargets.values()) {
            boolean isKnown = !state.isLeaving() && (isConfirmed || !state.seemsEnded(now));
            if (isKnown && state.service().equals(service)) {
                versions.add(state.softwareVersion());
            }
        }
        return versions;
    }

    /**
     * Returns the targets that may accept a request: the healthy ones within reach or, if there are
     * none, the healthy ones that a relay reaches, then those that need the permit of another
     * instance and, if there are none either, the unhealthy ones.
     */
    private List<TargetState> candidates(
            ForwardRequest request,
            Set<String> excluded,
            Predicate<TargetState> isAllowed,
            long now) {
        Map<Reach, List<TargetState>> byReach = new EnumMap<>(Reach.class);
        boolean lacksPermits = false;
        for (TargetState state : mTargets.values()) {
            if (state.isAvailableFor(request.service(), now)
                    && !excluded.contains(state.id())
                    && !hasForbiddenWeights(state, request, now)
                    && isAllowed.test(state)) {
                byReach.computeIfAbsent(reach(state, now), r -> new ArrayList<>()).add(state);
                lacksPermits |= !state.hasPermit(now);
            }
        }
        if (lacksPermits && byReach.keySet().stream().noneMatch(Reach::isHealthy)) {
            mBorrowing.onPermitLacking(now);
        }
        byReach.remove(Reach.NONE);
        return byReach.isEmpty() ? List.of() : byReach.values().iterator().next();
    }

    private Reach reach(TargetState state, long now) {
        Reach reach = reachWithinLimit(state, now);
        if (state.hasPermit(now)) {
            return reach;
        }
        boolean mayBorrow =
                reach == Reach.DIRECT && mRelayAvailable && mBorrowing.mayTry(state.id(), now);
        return mayBorrow ? Reach.BORROWED : Reach.NONE;
    }

    private Reach reachWithinLimit(TargetState state, long now) {
        if (!mPaths.isLost(state.id())) {
            return state.isUnhealthy(now) ? Reach.UNHEALTHY : Reach.DIRECT;
        }
        if (mRelayAvailable) {
            return state.hasFailedLately(now) ? Reach.UNHEALTHY : Reach.RELAYED;
        }
        return mPaths.isPartitioned(state.service()) ? Reach.NONE : Reach.UNHEALTHY;
    }

    private boolean hasForbiddenWeights(TargetState state, ForwardRequest request, long now) {
        return request.prompt()
                .map(prompt -> mScorer.outdatedMillis(state, prompt, now) > mMaxOutdatedMillis)
                .orElse(false);
    }

    /** How a target can be reached, the preferred way first. */
    private enum Reach {
        DIRECT,
        RELAYED,
        /** Through an instance whose share of the target's limit isn't used up. */
        BORROWED,
        UNHEALTHY,
        /**
         * Not at present: the limit leaves no request, or all paths from here are lost, and no
         * instance is known that could relay requests.
         */
        NONE;

        boolean isHealthy() {
            return this == DIRECT || this == RELAYED;
        }
    }
}
