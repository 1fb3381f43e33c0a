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

/**
 * The targets as one instance sees them, and the choice among them.
 *
 * <p>What targets report is corrected by what this instance has sent them since, and by what came
 * back: a target that can't be reached or fails is avoided for a while, longer each time.
 */
public final class TargetSelector {
    /** A target that sent something this lately is alive, however long one answer takes. */
    public static final long RESPONDING_MILLIS = 600;

    private final long mMaxOutdatedMillis;
    private final RandomGenerator mRandom;
    private final NamedWeights mNamedWeights = NamedWeights.create();
    private final Map<String, TargetState> mTargets = new HashMap<>();
    private final KvStoreView mStore = new KvStoreView();
    private final TargetScorer mScorer;
    private InstanceRank mInstanceRank = InstanceRank.UNKNOWN;

    private TargetSelector(String failureDomain, long maxOutdatedMillis, RandomGenerator random) {
        mMaxOutdatedMillis = maxOutdatedMillis;
        mRandom = random;
        mScorer = new TargetScorer(failureDomain, mNamedWeights, mTargets, mStore, random);
    }

    /**
     * Returns a book without targets.
     *
     * @param failureDomain where this instance stands
     * @param maxOutdatedMillis for how long after a newer version was named requests may still go
     *     to older weights
     * @param random spreads ties
     */
    public static TargetSelector create(
            String failureDomain, long maxOutdatedMillis, RandomGenerator random) {
        return new TargetSelector(failureDomain, maxOutdatedMillis, random);
    }

    /** Takes what a target reports. */
    public void onReport(TargetReport report) {
        TargetState state = mTargets.get(report.id());
        if (state == null) {
            mTargets.put(report.id(), new TargetState(report));
        } else {
            state.onReport(report);
        }
    }

    /**
     * Notes who told of a target last.
     *
     * @param reporter the control process
     * @param reportedAt when that or another one had heard the target, as far as it said
     */
    public void onReportOrigin(String id, String reporter, long reportedAt) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.mReportOrigin = new ReportOrigin(reporter, reportedAt);
        }
    }

    /** Returns who told of a target last; {@link ReportOrigin#UNKNOWN} if it isn't known. */
    public ReportOrigin reportOrigin(String id) {
        TargetState state = mTargets.get(id);
        return state == null ? ReportOrigin.UNKNOWN : state.mReportOrigin;
    }

    /** Returns whether a target has said that it leaves. */
    public boolean isLeaving(String id) {
        TargetState state = mTargets.get(id);
        return state != null && state.isLeaving();
    }

    /** Forgets a target. */
    public void onRemoved(String id) {
        mTargets.remove(id);
    }

    /** Takes the services that the manifest names: one of them may be a store of kept cache. */
    public void onServices(List<Service> services) {
        mStore.onAddress(
                services.stream()
                        .flatMap(service -> service.kvStore().stream())
                        .map(Service.KvStore::address)
                        .findFirst()
                        .orElse(""));
    }

    /** Takes what has changed in the cache of an engine or the store. */
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
        if (update.restarted()) {
            cache.clear();
        }
        update.removed().forEach(cache::remove);
        update.added().forEach(cache::addConfirmed);
    }

    /** Takes a version of a model's weights that operators named. */
    public void onNamedWeights(String model, long version, long namedAt) {
        mNamedWeights.onNamed(model, version, namedAt);
    }

    /** Notes that a target is about to load weights, or has done so. */
    public void onLoading(String id, boolean loading, long now) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.onLoading(loading, now);
        }
    }

    /** Returns whether a target takes nothing since it is to load weights. */
    public boolean isLoading(String id, long now) {
        TargetState state = mTargets.get(id);
        return state != null && state.isLoading(now);
    }

    /** Returns whether streams should go on elsewhere since they keep a target from loading. */
    public boolean shouldMoveStreams(String id, long now) {
        TargetState state = mTargets.get(id);
        return state != null && state.shouldMoveStreams(now);
    }

    /** Takes how much other instances have open at a target. */
    public void onOtherInstancesLoad(String id, int requests, long tokens) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.mOtherInstancesRequests = requests;
            state.mOtherInstancesTokens = tokens;
        }
    }

    /** Takes how many connections to a target are free: a request there needs no new one. */
    public void onFreeConnections(String id, int free) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.mFreeConnections = free;
        }
    }

    /**
     * Takes what a target says of the requests that it takes from all instances together.
     *
     * @return whether others should hear of it
     */
    public boolean onLimit(AdvertisedLimit limit, long now) {
        TargetState state = mTargets.get(limit.target());
        return state != null && state.onLimit(limit, mInstanceRank, mRandom.nextDouble(), now);
    }

    /** Takes which of all instances this one is: targets' limits are shared among some. */
    public void onInstanceRank(InstanceRank rank, long now) {
        if (!rank.equals(mInstanceRank)) {
            mInstanceRank = rank;
            mTargets.values()
                    .forEach(state -> state.onInstanceRank(rank, mRandom.nextDouble(), now));
        }
    }

    /** Takes the weights that a target's answer names. */
    public void onWeightsReported(String id, String model, long version) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.onWeightsReported(model, version);
        }
    }

    /**
     * Returns the best target for a request, if there is one: of those whose line is short enough
     * for it and that cost less than a refusal would, or else of all.
     */
    public Optional<Choice> choose(ForwardRequest request, Set<String> excluded, long now) {
        Optional<PromptCacheLocations> locations = mScorer.cacheLocations(request, now);
        List<ScoredTarget> scored = new ArrayList<>();
        for (TargetState state : candidates(request, excluded, now)) {
            scored.add(mScorer.score(state, request, locations, now));
        }
        scored.sort(Comparator.comparingDouble(ScoredTarget::cost));
        if (scored.isEmpty()) {
            return Optional.empty();
        }
        double maxCost = scored.get(0).cost() + PlacementCost.REFUSAL_COST_TOKENS;
        ScoredTarget best =
                scored.stream()
                        .filter(r -> Admission.admits(request, Math.round(r.admissionMillis())))
                        .filter(r -> r.cost() <= maxCost)
                        .findFirst()
                        .orElse(scored.get(0));
        return Optional.of(choiceOf(best, scored, locations));
    }

    /**
     * Returns the target that is expected to end the rest of a stream first, if one in good
     * standing can take it.
     *
     * @param remainingEvents how many events the rest has at most
     */
    public Optional<SuccessorChoice> chooseSuccessor(
            ForwardRequest request, Set<String> excluded, int remainingEvents, long now) {
        Optional<PromptCacheLocations> locations = mScorer.cacheLocations(request, now);
        List<ScoredTarget> scored = new ArrayList<>();
        for (TargetState state : candidates(request, excluded, now)) {
            if (!state.isUnhealthy(now)) {
                scored.add(mScorer.score(state, request, locations, now));
            }
        }
        scored.sort(
                Comparator.comparingDouble(
                        r ->
                                r.expectedMillis()
                                        + remainingEvents
                                                * mScorer.eventIntervalMillis(r.state(), now)));
        return scored.stream()
                .findFirst()
                .map(
                        best ->
                                new SuccessorChoice(
                                        choiceOf(best, scored, locations),
                                        mScorer.eventIntervalMillis(best.state(), now)));
    }

    private Choice choiceOf(
            ScoredTarget best,
            List<ScoredTarget> scored,
            Optional<PromptCacheLocations> locations) {
        ScoredTarget runnerUp = scored.stream().filter(r -> r != best).findFirst().orElse(null);
        return new Choice(
                best.state().id(),
                best.state().address(),
                best.weights(),
                best.cacheSalt(),
                best.cachedTokens(),
                best.missingTokens(),
                best.fetchedTokens(),
                best.cacheSource().isEmpty()
                        ? locations.map(h -> mScorer.fallbackSource(best, h)).orElse("")
                        : best.cacheSource(),
                locations.map(h -> mScorer.uploadStore(best, h)).orElse(""),
                Math.round(best.admissionMillis()),
                Math.round(best.expectedMillis()),
                runnerUp == null ? "" : runnerUp.state().id(),
                runnerUp == null ? 0 : Math.round(runnerUp.expectedMillis()));
    }

    /** Returns whether another target could take a request. */
    public boolean hasCandidate(ForwardRequest request, Set<String> excluded, long now) {
        return !candidates(request, excluded, now).isEmpty();
    }

    /** Notes that a request is about to be sent to a target. */
    public void onDispatch(Choice choice, ForwardRequest request, long now) {
        TargetState state = mTargets.get(choice.target());
        if (state != null) {
            state.onDispatch(choice, request.prompt().orElse(null), now);
        }
    }

    /** Notes that a request is no longer open at a target. */
    public void onFinished(Choice choice) {
        TargetState state = mTargets.get(choice.target());
        if (state != null) {
            state.onFinished();
        }
    }

    /** Notes that the prompt of a request is read, or never will be. */
    public void onPrefillEnd(Choice choice) {
        TargetState state = mTargets.get(choice.target());
        if (state != null) {
            state.onPrefillEnd(choice);
        }
    }

    /** Notes the first event of an answer, so many milliseconds after the request was sent. */
    public void onFirstEvent(Choice choice, long millis, long now) {
        if (choice.fetchedTokens() > 0 && choice.cacheSource().equals(mStore.address())) {
            // The store's link is shared by all engines: a wait says little of this one.
            mStore.onFirstEventAfterFetch(millis, choice.expectedMillis(), now);
            return;
        }
        TargetState state = mTargets.get(choice.target());
        if (state != null) {
            state.onFirstEvent(millis, choice.expectedMillis(), now);
        }
    }

    /** Notes a further event of an answer, so many milliseconds after the one before it. */
    public void onEvent(String id, long sinceLastMillis, long now) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.onEvent(sinceLastMillis, now);
        }
    }

    /** Returns how long a target takes for an event, if streams from there were seen lately. */
    public OptionalDouble eventIntervalMillis(String id, long now) {
        TargetState state = mTargets.get(id);
        return state == null ? OptionalDouble.empty() : state.eventIntervalMillis(now);
    }

    /** Notes that a target has sent something. */
    public void onDataReceived(String id, long now) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.onDataReceived(now);
        }
    }

    /** Returns whether a target has sent something just now, on any answer. */
    public boolean isResponding(String id, long now) {
        TargetState state = mTargets.get(id);
        return state != null && state.receivedWithin(RESPONDING_MILLIS, now);
    }

    /** Notes that a target couldn't be reached. */
    public void onUnreachable(String id, long now) {
        recordFailure(id, now);
    }

    /** Notes that a target failed a request, or broke off its answer. */
    public void onFailure(String id, long now) {
        recordFailure(id, now);
    }

    /** Notes that a target's answer was none. */
    public void onInvalidResponse(String id, long now) {
        recordFailure(id, now);
    }

    /** Notes that a target had no room for a request. */
    public void onOverloaded(String id, long now) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.onOverloaded(now);
        }
    }

    /** Notes that a target isn't what its last report says. */
    public void onWrongTarget(String id, long now) {
        onOverloaded(id, now);
    }

    /** Notes a good answer. */
    public void onSuccess(String id, long now) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.onSuccess();
        }
    }

    /** Returns when a caller that is refused may try again. */
    public long retryAfterMillis(ForwardRequest request, long now) {
        return Admission.retryAfterMillis(request, mRandom, now);
    }

    /** Returns the targets, to be read. */
    public Collection<TargetState> targets() {
        return mTargets.values();
    }

    private void recordFailure(String id, long now) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.onFailure(now);
        }
    }

    /** Returns the targets that may take a request: those in good standing, else the others. */
    private List<TargetState> candidates(ForwardRequest request, Set<String> excluded, long now) {
        List<TargetState> healthy = new ArrayList<>();
        List<TargetState> unhealthy = new ArrayList<>();
        for (TargetState state : mTargets.values()) {
            if (!state.acceptsRequestsFor(request.service(), now)
                    || excluded.contains(state.id())
                    || hasForbiddenWeights(state, request, now)) {
                continue;
            }
            (state.isUnhealthy(now) ? unhealthy : healthy).add(state);
        }
        return healthy.isEmpty() ? unhealthy : healthy;
    }

    private boolean hasForbiddenWeights(TargetState state, ForwardRequest request, long now) {
        return request.prompt()
                .map(prompt -> mScorer.outdatedMillis(state, prompt, now) > mMaxOutdatedMillis)
                .orElse(false);
    }
}
