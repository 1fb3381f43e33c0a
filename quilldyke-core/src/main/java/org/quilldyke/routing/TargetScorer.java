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

import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.quilldyke.caller.Admission;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.Prompt;

/** What a request would cost at each target: its wait, the reading, and what gives way to it. */
final class TargetScorer {
    /**
     * Weights that were replaced this long ago cost something: a good while before they must go.
     */
    private static final long OUTDATED_WEIGHTS_MILLIS = 1200;

    /** What the way to another failure domain costs a plain request, in tenths of a full target. */
    private static final double CROSS_DOMAIN_COST = 0.5;

    /** Spreads targets that are as good as each other, in tenths of a full target. */
    private static final double TIE_BREAK_NOISE = 0.1;

    /**
     * What a new connection costs a plain request, in tenths of a full target. Less than the noise:
     * of idle targets each is tried now and then, and is known to work before it is needed.
     */
    private static final double NEW_CONNECTION_COST = TIE_BREAK_NOISE / 2;

    /** A prompt with less to share isn't worth its place in the store. */
    private static final int MIN_SHARED_TOKENS = 1000;

    private final String mFailureDomain;
    private final CostModel mCostModel = CostModel.standard();
    private final NamedWeights mNamedWeights;
    private final Map<String, TargetState> mTargets;
    private final KvStoreView mStore;
    private final RandomGenerator mRandom;

    /**
     * Makes ratings over what a book keeps.
     *
     * @param failureDomain where this instance stands
     * @param namedWeights the weights that are wanted
     * @param targets all targets, by id; read at each rating
     * @param store the store of kept cache; read at each rating
     * @param random spreads ties
     */
    TargetScorer(
            String failureDomain,
            NamedWeights namedWeights,
            Map<String, TargetState> targets,
            KvStoreView store,
            RandomGenerator random) {
        mFailureDomain = failureDomain;
        mNamedWeights = namedWeights;
        mTargets = targets;
        mStore = store;
        mRandom = random;
    }

    /** Returns who keeps what of a request's prompt; empty if it has none. */
    Optional<PromptCacheLocations> cacheLocations(ForwardRequest request, long now) {
        return request.prompt()
                .map(prompt -> new PromptCacheLocations(request, mTargets.values(), mStore, now));
    }

    /**
     * Returns what a request would cost at a target.
     *
     * @param locations who keeps what of its prompt, {@link #cacheLocations}
     */
    ScoredTarget score(
            TargetState state,
            ForwardRequest request,
            Optional<PromptCacheLocations> locations,
            long now) {
        double noise = mRandom.nextDouble() * TIE_BREAK_NOISE;
        if (locations.isEmpty()) {
            double domain = state.isInFailureDomain(mFailureDomain) ? 0 : CROSS_DOMAIN_COST;
            double connection = state.isConnected() ? 0 : NEW_CONNECTION_COST;
            double load = 10.0 * state.openRequests() / state.slots();
            double cost = load + domain + connection + noise;
            return new ScoredTarget(state, Choice.NO_WEIGHTS, "", 0, 0, 0, "", 0, cost, cost);
        }
        return scoreEngine(state, request, locations.get(), noise, now);
    }

    /** Returns how long an event takes at a target: as seen here, or else as expected. */
    double eventIntervalMillis(TargetState state, long now) {
        return state.eventIntervalMillis(
                mCostModel.defaultEventIntervalMillis(state.openRequests()), now);
    }

    private ScoredTarget scoreEngine(
            TargetState state,
            ForwardRequest request,
            PromptCacheLocations locations,
            double noise,
            long now) {
        Prompt prompt = request.prompt().orElseThrow();
        int cachedTokens = locations.cachedTokens(state);
        Optional<KvSource> source = locations.transferSource(state, cachedTokens);
        int heldTokens = source.map(KvSource::tokens).orElse(cachedTokens);
        double fetchMillis = source.map(s -> s.fetchMillis(s.tokens() - cachedTokens)).orElse(0.0);
        int missingTokens = Math.max(1, prompt.tokens() - heldTokens);
        double waitMillis =
                mCostModel.waitMillis(state.backlogTokens(), state.openRequests(), state.slots())
                        + state.excessMillis(now)
                        + source.map(KvSource::waitMillis).orElse(0.0);
        double expectedMillis =
                waitMillis
                        + fetchMillis
                        + mCostModel.firstTokenMillis(missingTokens, state.openRequests());
        double ownPrefillMillis =
                mCostModel.prefillMillis(prompt.tokens() - locations.sharedTokens());
        double exemptMillis = Admission.discountedPrefillMillis(request, ownPrefillMillis);
        boolean outdated = outdatedMillis(state, prompt, now) > OUTDATED_WEIGHTS_MILLIS;
        double costToOthers = mCostModel.costToOthers(missingTokens, state.openRequests());
        double cost =
                PlacementCost.lateness(expectedMillis, request.route().latencyObjectiveMillis())
                        + prefillCost(state, locations, cachedTokens, heldTokens)
                        + costToOthers
                        + (outdated ? PlacementCost.OUTDATED_WEIGHTS_COST_TOKENS : 0)
                        + (state.isConnected() ? 0 : PlacementCost.NEW_CONNECTION_COST_TOKENS)
                        + (state.isInFailureDomain(mFailureDomain)
                                ? 0
                                : PlacementCost.crossDomain(request.bodyBytes()))
                        + noise;
        return new ScoredTarget(
                state,
                state.weights(prompt.model()),
                locations.salt(state),
                heldTokens,
                missingTokens,
                heldTokens - cachedTokens,
                source.map(KvSource::address).orElse(""),
                expectedMillis - exemptMillis,
                expectedMillis,
                cost);
    }

    /**
     * Returns the store if it keeps shared parts that the target is expected to keep as well. An
     * engine drops within seconds what isn't asked for, and that is known only some hundred
     * milliseconds later: to ask the store then costs it a millisecond, to read the parts again
     * some seventy. Other engines aren't named: one that has just died costs some hundred.
     */
    String fallbackSource(ScoredTarget scored, PromptCacheLocations locations) {
        return locations.storedTokens(scored.state()) >= MIN_SHARED_TOKENS ? mStore.address() : "";
    }

    /** Returns the store's address if shared parts are read that it lacks, so that it gets them. */
    String uploadStore(ScoredTarget scored, PromptCacheLocations locations) {
        boolean shouldUpload =
                mStore.isUsable()
                        && locations.sharedTokens() >= MIN_SHARED_TOKENS
                        && locations.storedTokens(scored.state()) < locations.sharedTokens();
        return shouldUpload ? mStore.address() : "";
    }

    /** Returns for how long a target's weights have been out of date for a prompt. */
    long outdatedMillis(TargetState state, Prompt prompt, long now) {
        String model = prompt.model();
        return mNamedWeights.outdatedMillis(model, state.weights(model), now);
    }

    private static double prefillCost(
            TargetState state, PromptCacheLocations locations, int cachedTokens, int heldTokens) {
        int sharedTokens = locations.sharedTokens();
        // A part that nobody keeps has one home, and so has a subject that is brought back.
        int presentTokens = heldTokens < sharedTokens ? heldTokens : cachedTokens;
        boolean preferred =
                cachedTokens < sharedTokens && locations.isPreferredTarget(state, presentTokens);
        return PlacementCost.prefill(sharedTokens, cachedTokens, heldTokens, preferred);
    }
}
