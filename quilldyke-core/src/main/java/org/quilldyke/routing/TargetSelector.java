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
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.quilldyke.caller.Admission;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.manifest.Service;
import org.quilldyke.rollout.RolloutTolerance;
import org.quilldyke.rollout.VersionRouting;

/**
 * The targets as one instance sees them, and the choice among them.
 *
 * <p>What targets report is corrected by what this instance has sent them since and by the results:
 * a target that can't be reached or fails is avoided for a while, longer each time.
 */
public final class TargetSelector {
    /**
     * A target that has sent data within this time is alive, however long one of its answers takes.
     */
    public static final long RESPONDING_MILLIS = 600;

    private final RandomGenerator mRandom;
    private final NamedWeights mNamedWeights = NamedWeights.create();
    private final Map<String, TargetState> mTargets = new HashMap<>();
    private final KvStoreView mStore = new KvStoreView();
    private final TargetScorer mScorer;
    private final TargetPaths mPaths = TargetPaths.create();
    private final VersionRouting mVersions;
    private final TargetCandidates mCandidates;
    private final InstanceRanks mInstanceRanks = new InstanceRanks();

    private TargetSelector(
            Location location,
            long maxOutdatedMillis,
            VersionRouting versions,
            RandomGenerator random) {
        mRandom = random;
        mVersions = versions;
        mScorer = new TargetScorer(location, mNamedWeights, mTargets, mStore, random);
        mCandidates = new TargetCandidates(mTargets, mPaths, mVersions, mScorer, maxOutdatedMillis);
    }

    /**
     * Returns a selector without targets.
     *
     * @param location where this instance is
     * @param maxOutdatedMillis for how long after a newer version was named requests may still go
     *     to older weights
     * @param versions which software versions may serve requests
     * @param random breaks ties
     */
    public static TargetSelector create(
            Location location,
            long maxOutdatedMillis,
            VersionRouting versions,
            RandomGenerator random) {
        return new TargetSelector(location, maxOutdatedMillis, versions, random);
    }

    /** Returns a selector for a fleet in one region, without rollouts. */
    public static TargetSelector create(
            String failureDomain, long maxOutdatedMillis, RandomGenerator random) {
        VersionRouting versions = VersionRouting.create(RolloutTolerance.NO_ROLLOUTS);
        return create(Location.inOneRegion(failureDomain), maxOutdatedMillis, versions, random);
    }

    /** Returns which software versions may serve requests. */
    public VersionRouting versions() {
        return mVersions;
    }

    /** Applies which software versions may serve requests, after this has changed. */
    public void onVersionsChanged() {
        mTargets.values().forEach(state -> state.onVersions(mVersions));
    }

    /** Returns the software version of a target, empty if it is unknown. */
    public String softwareVersion(String id) {
        return Optional.ofNullable(mTargets.get(id)).map(TargetState::softwareVersion).orElse("");
    }

    /** Applies a target's report. */
    public void onReport(TargetReport report) {
        mPaths.onTarget(report.key(), report.service());
        TargetState state = mTargets.get(report.key());
        if (state == null) {
            state = new TargetState(report, mScorer.newSpeed(report.service()));
            mTargets.put(report.key(), state);
        } else {
            state.onReport(report);
        }
        state.onVersions(mVersions);
    }

    /**
     * Records which control process last reported a target.
     *
     * @param reporter the control process
     * @param reportedAt when that or another one received the target's own report, in milliseconds
     *     of this instance's clock
     */
    public void onReportOrigin(String id, String reporter, long reportedAt) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.mReportOrigin = new ReportOrigin(reporter, reportedAt);
        }
    }

    /**
     * Returns the origin of a target's last report; {@link ReportOrigin#UNKNOWN} if there is none.
     */
    public ReportOrigin reportOrigin(String id) {
        TargetState state = mTargets.get(id);
        return state == null ? ReportOrigin.UNKNOWN : state.mReportOrigin;
    }

    /** Returns which targets this instance reaches over connections of its own. */
    public TargetPaths paths() {
        return mPaths;
    }

    /** Records whether another instance can relay requests to targets out of reach from here. */
    public void onRelayAvailable(boolean available) {
        mCandidates.onRelayAvailable(available);
    }

    /** Discards the failures of targets out of reach from here: the paths have failed. */
    public void onPathsLost() {
        mTargets.values().stream()
                .filter(state -> mPaths.isLost(state.id()))
                .forEach(TargetState::onPathLost);
    }

    /**
     * Returns the address of a target if requests of other instances may be relayed to it, empty if
     * it is unknown, leaving, resting or out of reach from here.
     */
    public Optional<String> relayDestination(String id, long now) {
        return Optional.ofNullable(mTargets.get(id))
                .filter(state -> !state.isLeaving() && !state.isResting(now))
                .filter(state -> !mPaths.isLost(id))
                .map(TargetState::address);
    }

    /** Returns how many targets of a service are alive, by their reports and by their data. */
    public ServiceReachability reachability(String service, long now) {
        return mCandidates.reachability(service, now);
    }

    /** Returns what is known of permits that other instances may lend to this one. */
    public PermitBorrowing borrowing() {
        return mCandidates.borrowing();
    }

    /** Uses this instance's permit for a request of another one; returns whether it had one. */
    public boolean lendPermit(String id, long now) {
        return mTargets.containsKey(id) && mTargets.get(id).lendPermit(now);
    }

    /** Returns whether a target has announced that it shuts down. */
    public boolean isLeaving(String id) {
        TargetState state = mTargets.get(id);
        return state != null && state.isLeaving();
    }

    /** Removes a target. */
    public void onRemoved(String id) {
        mTargets.remove(id);
        mPaths.onRemoved(id);
    }

    /** Applies the services of the manifest, one of which may be a KV store. */
    public void onServices(List<Service> services) {
        mStore.onServices(services);
        mScorer.onServices(services);
    }

    /** Records how long a successful connect to a target took. */
    public void onConnected(String id, long millis, long now) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            mScorer.onConnected(state, millis, now);
        }
    }

    /** Returns where a target is; empty if it is unknown. */
    public Optional<TargetLocation> location(String id) {
        return Optional.ofNullable(mTargets.get(id)).map(mScorer::location);
    }

    /** Applies a change in the cache of an engine or the KV store. */
    public void onCacheUpdate(CacheUpdate update) {
        TargetState state = mTargets.get(update.holder());
        boolean isStore = update.holder().equals(mStore.address());
        if (isStore) {
            mStore.onReachable(update.reachable());
        } else if (state != null) {
            state.onReachableFromControl(update.reachable());
        }
        CacheView cache = isStore ? mStore.cache() : state == null ? null : state.cache();
        if (cache == null) {
            return;
        }
        if (update.discardsPrevious()) {
            cache.clear();
        }
        update.removed().forEach(cache::remove);
        update.added().forEach(cache::addConfirmed);
    }

    /** Records a version of a model's weights that operators have named for use. */
    public void onNamedWeights(String model, long version, long namedAt) {
        mNamedWeights.onNamed(model, version, namedAt);
    }

    /** Records that a target is about to load weights, or that it has finished. */
    public void onLoading(String id, boolean loading, long now) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.onLoading(loading, now);
        }
    }

    /** Returns whether a target accepts no requests because it is to load weights. */
    public boolean isLoading(String id, long now) {
        TargetState state = mTargets.get(id);
        return state != null && state.isLoading(now);
    }

    /**
     * Returns whether a target's streams should continue elsewhere because they delay its loading.
     */
    public boolean shouldMoveStreams(String id, long now) {
        TargetState state = mTargets.get(id);
        return state != null && state.shouldMoveStreams(now);
    }

    /** Records how many requests and prompt tokens other instances have open at a target. */
    public void onOtherInstancesLoad(String id, int requests, long tokens) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.mOtherInstancesRequests = requests;
            state.mOtherInstancesTokens = tokens;
        }
    }

    /**
     * Records how many connections to a target are free: while there are any, a request needs no
     * new one.
     */
    public void onFreeConnections(String id, int free) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.mFreeConnections = free;
        }
    }

    /**
     * Applies the limit that a target advertises for requests from all instances together.
     *
     * @return whether the limit should be published to other instances
     */
    public boolean onLimit(AdvertisedLimit limit, long now) {
        TargetState state = mTargets.get(limit.target());
        return state != null
                && state.onLimit(limit, mInstanceRanks.current(), mRandom.nextDouble(), now);
    }

    /** Applies this instance's rank, which decides which targets with a limit it may use. */
    public void onInstanceRank(InstanceRank rank, long now) {
        if (mInstanceRanks.onTold(rank, now)) {
            mTargets.values()
                    .forEach(state -> state.onInstanceRank(rank, mRandom.nextDouble(), now));
        }
    }

    /** Applies the version of the weights that a target's answer names. */
    public void onWeightsReported(String id, String model, long version) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.onWeightsReported(model, version);
        }
    }

    /**
     * Returns the best target for a request, if there is one: the cheapest that {@link Admission}
     * admits, provided that it costs at most {@code PlacementCost.REFUSAL_COST_TOKENS} more than
     * the cheapest of all. Otherwise it is the cheapest of all, for which the caller may have to
     * refuse the request.
     */
    public Optional<Choice> choose(ForwardRequest request, Set<String> excluded, long now) {
        return choose(request, excluded, excluded.isEmpty(), now);
    }

    /** Returns the best target, of a version that is being rolled out only if permitted. */
    public Optional<Choice> choose(
            ForwardRequest request, Set<String> excluded, boolean mayBeCanary, long now) {
        Optional<PromptCacheLocations> locations = mScorer.cacheLocations(request, excluded, now);
        Choice choice = null;
        for (List<TargetState> candidates :
                mCandidates.inOrder(request, excluded, mayBeCanary, now)) {
            if (!candidates.isEmpty()) {
                choice = choose(request, candidates, locations, now);
                if (Admission.admits(request, choice.admissionMillis())) {
                    break;
                }
            }
        }
        return Optional.ofNullable(choice);
    }

    private Choice choose(
            ForwardRequest request,
            List<TargetState> candidates,
            Optional<PromptCacheLocations> locations,
            long now) {
        List<ScoredTarget> scored = new ArrayList<>();
        for (TargetState state : candidates) {
            scored.add(mScorer.score(state, request, locations, now));
        }
        scored.sort(Comparator.comparingDouble(ScoredTarget::cost));
        double maxCost = scored.get(0).cost() + PlacementCost.REFUSAL_COST_TOKENS;
        ScoredTarget best =
                scored.stream()
                        .filter(
                                target ->
                                        Admission.admits(
                                                request, Math.round(target.admissionMillis())))
                        .filter(target -> target.cost() <= maxCost)
                        .findFirst()
                        .orElse(scored.get(0));
        return choiceOf(best, scored, locations, now);
    }

    /**
     * Returns the healthy target that is expected to be the first to complete a stream, if there is
     * one.
     *
     * @param remainingEvents how many events of the stream are missing at most
     */
    public Optional<SuccessorChoice> chooseSuccessor(
            ForwardRequest request, Set<String> excluded, int remainingEvents, long now) {
        Optional<PromptCacheLocations> locations = mScorer.cacheLocations(request, excluded, now);
        List<ScoredTarget> scored = new ArrayList<>();
        for (TargetState state : mCandidates.healthy(request, excluded, now)) {
            scored.add(mScorer.score(state, request, locations, now));
        }
        scored.sort(
                Comparator.comparingDouble(
                        target -> mScorer.completionMillis(target, request, remainingEvents, now)));
        return scored.stream()
                .findFirst()
                .map(
                        best ->
                                new SuccessorChoice(
                                        choiceOf(best, scored, locations, now),
                                        mScorer.eventIntervalMillis(best.state(), now)));
    }

    private Choice choiceOf(
            ScoredTarget best,
            List<ScoredTarget> scored,
            Optional<PromptCacheLocations> locations,
            long now) {
        ScoredTarget runnerUp =
                scored.stream().filter(target -> target != best).findFirst().orElse(null);
        return new Choice(
                best.state().id(),
                best.state().address(),
                best.weights(),
                best.cacheSalt(),
                best.cachedTokens(),
                best.missingTokens(),
                best.fetchedTokens(),
                best.cacheSource().isEmpty()
                        ? locations.map(l -> mScorer.fallbackSource(best, l, now)).orElse("")
                        : best.cacheSource(),
                locations.map(l -> mScorer.uploadDestination(best, l, now)).orElse(""),
                Math.round(best.admissionMillis()),
                Math.round(best.expectedMillis()),
                runnerUp == null ? "" : runnerUp.state().id(),
                runnerUp == null ? 0 : Math.round(runnerUp.expectedMillis()),
                !best.state().hasPermit(now));
    }

    /** Returns whether a target that isn't excluded can accept a request. */
    public boolean hasCandidate(ForwardRequest request, Set<String> excluded, long now) {
        return mCandidates.hasAny(request, excluded, now);
    }

    /** Records that a request is about to be sent to a target. */
    public void onDispatch(Choice choice, ForwardRequest request, long now) {
        TargetState state = mTargets.get(choice.target());
        if (state != null) {
            state.onDispatch(choice, request.prompt().orElse(null), now);
        }
    }

    /** Records that a request is no longer open at a target. */
    public void onFinished(Choice choice) {
        TargetState state = mTargets.get(choice.target());
        if (state != null) {
            state.onFinished(choice);
        }
    }

    /** Records that the prefill of a request is done, or that it won't take place. */
    public void onPrefillEnd(Choice choice) {
        TargetState state = mTargets.get(choice.target());
        if (state != null) {
            state.onPrefillEnd(choice);
        }
    }

    /** Records the first event of an answer, {@code sinceDispatchMillis} after the request. */
    public void onFirstEvent(Choice choice, long sinceDispatchMillis, long now) {
        if (choice.fetchedTokens() > 0 && choice.cacheSource().equals(mStore.address())) {
            // The store's link is shared by all engines, so a delay doesn't indicate a slow engine.
            mStore.onFirstEventAfterFetch(sinceDispatchMillis, choice.expectedMillis(), now);
            return;
        }
        TargetState state = mTargets.get(choice.target());
        if (state != null) {
            state.onFirstEvent(choice, sinceDispatchMillis, now);
        }
    }

    /** Records a further event of an answer, {@code sinceLastMillis} after the previous one. */
    public void onEvent(String id, long sinceLastMillis, long now) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.onEvent(sinceLastMillis, now);
        }
    }

    /** Returns the interval of a target's events, if streams from there were observed lately. */
    public OptionalDouble eventIntervalMillis(String id, long now) {
        TargetState state = mTargets.get(id);
        return state == null ? OptionalDouble.empty() : state.eventIntervalMillis(now);
    }

    /** Records that a target has sent data. */
    public void onDataReceived(String id, long now) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.onDataReceived(now);
        }
    }

    /** Returns whether a target has sent data within {@link #RESPONDING_MILLIS}, on any answer. */
    public boolean isResponding(String id, long now) {
        TargetState state = mTargets.get(id);
        return state != null && state.receivedWithin(RESPONDING_MILLIS, now);
    }

    /** Records that a target couldn't be reached. */
    public void onUnreachable(String id, long now) {
        recordFailure(id, now);
    }

    /** Records that a target failed a request or broke off its answer. */
    public void onFailure(String id, long now) {
        recordFailure(id, now);
    }

    /** Records that a target's response wasn't a valid answer. */
    public void onInvalidResponse(String id, long now) {
        recordFailure(id, now);
    }

    /** Records that a target had no capacity for a request. */
    public void onOverloaded(String id, long now) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.onOverloaded(mRandom.nextDouble(), now);
        }
    }

    /** Records that the target at the address isn't the one that its last report describes. */
    public void onWrongTarget(String id, long now) {
        onOverloaded(id, now);
    }

    /** Records a valid answer. */
    public void onSuccess(String id, long now) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.onSuccess();
        }
    }

    /**
     * Applies what a target states about itself in an answer to this instance.
     *
     * @param now when the answer arrived
     * @return whether it states that it leaves, which wasn't known
     */
    public boolean onNotice(String id, TargetNotice notice, long now) {
        TargetState state = mTargets.get(id);
        if (state == null) {
            return false;
        }
        notice.restMillis().ifPresent(millis -> state.onRest(now + millis));
        return notice.leaving() && state.onLeavingStated();
    }

    /**
     * Records that the targets of a service fail if they have to refuse too many requests.
     *
     * @param id the target that has stated so
     * @param maxRefusals the number of refusals in a second that each of them survives
     * @return whether that is new
     */
    public boolean onBrittle(String id, int maxRefusals, long now) {
        TargetState stating = mTargets.get(id);
        if (stating == null) {
            return false;
        }
        boolean isNew = false;
        for (TargetState state : mTargets.values()) {
            if (state.service().equals(stating.service())) {
                isNew |= state.onBrittle(maxRefusals, mInstanceRanks.current(), now);
            }
        }
        return isNew;
    }

    /** Returns until when a target wants no requests of this instance; in the past if it does. */
    public long restingUntil(String id) {
        TargetState state = mTargets.get(id);
        return state == null ? Long.MIN_VALUE : state.restingUntil();
    }

    /**
     * Returns for how long all targets of a service want no requests of this instance, 0 if there
     * is one that does, or none at all.
     */
    public long restMillis(String service, long now) {
        return mTargets.values().stream()
                .filter(state -> state.service().equals(service) && !state.isLeaving())
                .mapToLong(state -> Math.max(0, state.restingUntil() - now))
                .min()
                .orElse(0);
    }

    /**
     * Returns after how many milliseconds a refused caller may retry: not before a target's rest
     * ends, and spread after that.
     */
    public long retryAfterMillis(ForwardRequest request, long now) {
        long restMillis = restMillis(request.service(), now);
        return restMillis == 0
                ? Admission.retryAfterMillis(request, mRandom, now)
                : restMillis
                        + mRandom.nextLong(Math.max(1, request.route().latencyObjectiveMillis()));
    }

    /** Returns all targets; callers must not modify the collection. */
    public Collection<TargetState> targets() {
        return mTargets.values();
    }

    private void recordFailure(String id, long now) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.onFailure(now);
        }
    }
}
