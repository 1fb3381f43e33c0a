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
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.quilldyke.caller.Admission;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.Prompt;
import org.quilldyke.manifest.Service;

/** Predicts what a request costs at each target: queueing delay, prefill and evicted cache. */
final class TargetScorer {
    /**
     * Weights that have been outdated for longer than this add to the cost, well before requests
     * may no longer go to them.
     */
    private static final long OUTDATED_WEIGHTS_TOLERANCE_MILLIS = 1200;

    /** Spreads requests over targets of equal cost; in the unit of {@link ScoredTarget#cost}. */
    private static final double TIE_BREAK_NOISE = 0.1;

    /**
     * Cost of a new connection for a plain request, in the unit of {@link Distance#plainCost}. It
     * is below the noise, so that each idle target is tried now and then and is known to work
     * before it is needed.
     */
    private static final double NEW_CONNECTION_COST = TIE_BREAK_NOISE / 2;

    /** Prompts with fewer shared tokens aren't worth their space in the store. */
    private static final int MIN_SHARED_TOKENS = 1000;

    private final Location mLocation;
    private final RoundTrips mRoundTrips = new RoundTrips();
    private final KvTransfers mTransfers = new KvTransfers();
    private final Map<String, EngineSpeed.ServiceSpeed> mServiceSpeeds = new HashMap<>();
    private final NamedWeights mNamedWeights;
    private final Map<String, TargetState> mTargets;
    private final KvStoreView mStore;
    private final RandomGenerator mRandom;

    /**
     * Creates a scorer over the state of a {@link TargetSelector}.
     *
     * @param location where this instance is
     * @param namedWeights the weights that operators have named for use
     * @param targets all targets, by id; read for each score
     * @param store the KV store; read for each score
     * @param random breaks ties
     */
    TargetScorer(
            Location location,
            NamedWeights namedWeights,
            Map<String, TargetState> targets,
            KvStoreView store,
            RandomGenerator random) {
        mLocation = location;
        mNamedWeights = namedWeights;
        mTargets = targets;
        mStore = store;
        mRandom = random;
    }

    /**
     * Returns the speed of a new incarnation of a service's target. It is measured only in fleets
     * of two regions or more, whose engines come from several sites.
     */
    EngineSpeed newSpeed(String service) {
        return mLocation.hasRegions()
                ? EngineSpeed.measured(
                        mServiceSpeeds.computeIfAbsent(
                                service, name -> new EngineSpeed.ServiceSpeed()))
                : EngineSpeed.standard();
    }

    /** Returns where a request's prompt is cached; empty if it has no prompt. */
    Optional<PromptCacheLocations> cacheLocations(
            ForwardRequest request, Set<String> excluded, long now) {
        return request.prompt()
                .map(
                        prompt ->
                                new PromptCacheLocations(
                                        request,
                                        mTargets.values(),
                                        mStore,
                                        mTransfers,
                                        mLocation,
                                        excluded,
                                        now));
    }

    /**
     * Returns a target with the cost of a request there.
     *
     * @param locations where its prompt is cached, {@link #cacheLocations}
     */
    ScoredTarget score(
            TargetState state,
            ForwardRequest request,
            Optional<PromptCacheLocations> locations,
            long now) {
        double noise = mRandom.nextDouble() * TIE_BREAK_NOISE;
        if (locations.isEmpty()) {
            double domainCost = plainDistanceCost(state);
            boolean connectionIsFree = state.isConnected() || state.isUnusedSinceLimit(now);
            double connectionCost = connectionIsFree ? 0 : NEW_CONNECTION_COST;
            double loadCost = 10.0 * state.openRequests() / state.slots();
            double cost = loadCost + domainCost + connectionCost + noise;
            return new ScoredTarget(state, Choice.NO_WEIGHTS, "", 0, 0, 0, "", 0, cost, cost);
        }
        return scoreEngine(state, request, locations.get(), noise, now);
    }

    /** Applies the services of the manifest. */
    void onServices(List<Service> services) {
        mTransfers.onServices(services);
    }

    /** Records how long a successful connect to a target took. */
    void onConnected(TargetState state, long millis, long now) {
        if (distance(state) == Distance.OTHER_REGION) {
            mRoundTrips.onConnected(region(state), millis, now);
        }
    }

    private Distance distance(TargetState state) {
        return mLocation.distanceTo(state.failureDomain());
    }

    /** Returns where a target is. */
    TargetLocation location(TargetState state) {
        return new TargetLocation(
                distance(state),
                mLocation.hasRegions() ? Optional.of(region(state)) : Optional.empty());
    }

    private String region(TargetState state) {
        return mLocation.topology().region(state.failureDomain());
    }

    private double roundTripMillis(TargetState state, long now) {
        return distance(state) == Distance.OTHER_REGION
                ? mRoundTrips.millis(region(state), now)
                : 0;
    }

    /**
     * Returns the cost of the distance to a target for plain requests. With regions, a target in
     * this instance's region that has no free slot costs as much as one in another region, so that
     * their loads are compared.
     */
    private double plainDistanceCost(TargetState state) {
        boolean isFull = mLocation.hasRegions() && state.openRequests() >= state.slots();
        return isFull ? Distance.OTHER_REGION.plainCost() : distance(state).plainCost();
    }

    /**
     * Returns the expected time until a stream is complete at a target, with the cost of another
     * region in milliseconds.
     */
    double completionMillis(
            ScoredTarget target, ForwardRequest request, int remainingEvents, long now) {
        TargetState state = target.state();
        double crossingCost =
                distance(state) == Distance.OTHER_REGION && request.prompt().isPresent()
                        ? PlacementCost.crossDomain(request.bodyBytes(), Distance.OTHER_REGION)
                        : 0;
        return target.expectedMillis()
                + PlacementCost.inMillis(crossingCost, request.route().latencyObjectiveMillis())
                + remainingEvents * eventIntervalMillis(state, now);
    }

    /** Returns the interval of events at a target, as measured here or else as expected. */
    double eventIntervalMillis(TargetState state, long now) {
        return state.eventIntervalMillis(
                state.costModel(now).defaultEventIntervalMillis(state.openRequests()), now);
    }

    /** Returns the cheapest way to serve a prompt at an engine: with or without a transfer. */
    private ScoredTarget scoreEngine(
            TargetState state,
            ForwardRequest request,
            PromptCacheLocations locations,
            double noise,
            long now) {
        int cachedTokens = locations.cachedTokens(state);
        List<KvSource> sources = locations.transferSources(state, cachedTokens);
        int availableTokens =
                sources.stream().mapToInt(KvSource::tokens).max().orElse(cachedTokens);
        List<Prefix> ways = new ArrayList<>();
        if (sources.isEmpty() || locations.weighsPrefillAgainstFetch()) {
            ways.add(new Prefix(cachedTokens, availableTokens, Optional.empty()));
        }
        for (KvSource source : sources) {
            ways.add(new Prefix(cachedTokens, availableTokens, Optional.of(source)));
        }
        return ways.stream()
                .map(prefix -> scoreEngine(state, request, locations, prefix, noise, now))
                .min(Comparator.comparingDouble(ScoredTarget::cost))
                .orElseThrow();
    }

    private ScoredTarget scoreEngine(
            TargetState state,
            ForwardRequest request,
            PromptCacheLocations locations,
            Prefix prefix,
            double noise,
            long now) {
        CostModel costModel = state.costModel(now);
        Prompt prompt = request.prompt().orElseThrow();
        Optional<KvSource> source = prefix.source();
        int tokensAfterFetch = prefix.tokensAfterFetch();
        int fetchedTokens = tokensAfterFetch - prefix.cachedTokens();
        double fetchMillis = source.map(s -> s.fetchMillis(fetchedTokens)).orElse(0.0);
        int missingTokens = Math.max(1, prompt.tokens() - tokensAfterFetch);
        double waitMillis =
                state.backlogMillis(now)
                        + costModel.slotWaitMillis(state.openRequests(), state.slots())
                        + state.excessMillis(now)
                        + source.map(KvSource::waitMillis).orElse(0.0);
        // A new connection takes a round trip before the request's own.
        double networkMillis = roundTripMillis(state, now) * (state.isConnected() ? 1 : 2);
        double expectedMillis =
                networkMillis
                        + waitMillis
                        + fetchMillis
                        + costModel.firstTokenMillis(
                                tokensAfterFetch, missingTokens, state.openRequests());
        double unsharedPrefillMillis =
                costModel.prefillMillis(
                        locations.sharedTokens(), prompt.tokens() - locations.sharedTokens());
        double discountedMillis =
                Admission.discountedPrefillMillis(request, unsharedPrefillMillis)
                        + Admission.discountedRoundTripMillis(request, networkMillis);
        boolean outdated = outdatedMillis(state, prompt, now) > OUTDATED_WEIGHTS_TOLERANCE_MILLIS;
        double costToOthers =
                costModel.costToOthers(tokensAfterFetch, missingTokens, state.openRequests());
        double cost =
                PlacementCost.lateness(expectedMillis, request.route().latencyObjectiveMillis())
                        + prefillCost(state, locations, prefix)
                        + costToOthers
                        + (outdated ? PlacementCost.OUTDATED_WEIGHTS_COST_TOKENS : 0)
                        + (state.isConnected() ? 0 : PlacementCost.NEW_CONNECTION_COST_TOKENS)
                        + PlacementCost.crossDomain(request.bodyBytes(), distance(state))
                        + source.map(s -> s.transferCost(fetchedTokens)).orElse(0.0)
                        + noise;
        return new ScoredTarget(
                state,
                state.weights(prompt.model()),
                locations.salt(state),
                tokensAfterFetch,
                missingTokens,
                fetchedTokens,
                source.map(KvSource::address).orElse(""),
                expectedMillis - discountedMillis,
                expectedMillis,
                cost);
    }

    /**
     * Returns the store's address if it has shared parts cached that the target is expected to have
     * as well, else an empty string.
     *
     * <p>An engine evicts within seconds what isn't requested, and this instance learns of it only
     * some hundred milliseconds later. Asking the store then costs the engine a millisecond;
     * prefilling the parts again costs some seventy. Other engines aren't used: fetching from one
     * that has just failed costs some hundred.
     */
    String fallbackSource(ScoredTarget scored, PromptCacheLocations locations, long now) {
        return locations.isStoreUseful(scored.state(), scored.state().costModel(now))
                        && locations.storedTokens(scored.state()) >= MIN_SHARED_TOKENS
                ? mStore.address()
                : "";
    }

    /**
     * Returns the store's address if the request has shared parts that the store lacks, so that the
     * target sends them there, else an empty string.
     */
    String uploadDestination(ScoredTarget scored, PromptCacheLocations locations, long now) {
        boolean shouldUpload =
                locations.isStoreUseful(scored.state(), scored.state().costModel(now))
                        && mStore.isUsable()
                        && locations.sharedTokens() >= MIN_SHARED_TOKENS
                        && locations.storedTokens(scored.state()) < locations.sharedTokens();
        return shouldUpload ? mStore.address() : "";
    }

    /** Returns for how long a target's weights have been outdated for a prompt. */
    long outdatedMillis(TargetState state, Prompt prompt, long now) {
        String model = prompt.model();
        return mNamedWeights.outdatedMillis(model, state.weights(model), now);
    }

    private static double prefillCost(
            TargetState state, PromptCacheLocations locations, Prefix prefix) {
        int sharedTokens = locations.sharedTokens();
        int cachedTokens = prefix.cachedTokens();
        boolean preferred = cachedTokens < sharedTokens && locations.isPreferredTarget(state);
        double cost =
                PlacementCost.prefill(
                        sharedTokens, cachedTokens, prefix.tokensAfterFetch(), preferred);
        // What another engine holds isn't prefilled for the first time at the preferred target.
        return preferred && locations.weighsPrefillAgainstFetch()
                ? cost + Math.max(0, prefix.availableTokens() - prefix.tokensAfterFetch())
                : cost;
    }

    /**
     * How a prompt's shared parts get to an engine.
     *
     * @param cachedTokens how many leading tokens the engine has cached
     * @param availableTokens how many it could have after a transfer from the fullest source
     * @param source from where it fetches some, empty if it prefills all that it lacks
     */
    private record Prefix(int cachedTokens, int availableTokens, Optional<KvSource> source) {
        int tokensAfterFetch() {
            return source.map(KvSource::tokens).orElse(cachedTokens);
        }
    }
}
