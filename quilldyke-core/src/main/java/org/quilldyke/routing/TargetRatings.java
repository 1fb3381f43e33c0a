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
final class TargetRatings {
    /**
     * Weights that were replaced this long ago cost something: a good while before they must go.
     */
    private static final long OLD_WEIGHTS_MILLIS = 1200;

    /** What the way to another failure domain costs a plain request, in tenths of a full target. */
    private static final double OTHER_DOMAIN_COST = 0.5;

    /** Spreads targets that are as good as each other, in tenths of a full target. */
    private static final double NOISE = 0.1;

    /**
     * What a new connection costs a plain request, in tenths of a full target. Less than the noise:
     * of idle targets each is tried now and then, and is known to work before it is needed.
     */
    private static final double CONNECTION_COST = NOISE / 2;

    /** A prompt with less to share isn't worth its place in the store. */
    private static final int MIN_SHARED_TOKENS = 1000;

    private final String mFailureDomain;
    private final CostModel mCosts = CostModel.standard();
    private final NamedWeights mNamed;
    private final Map<String, TargetState> mTargets;
    private final KvStoreView mStore;
    private final RandomGenerator mRandom;

    /**
     * Makes ratings over what a book keeps.
     *
     * @param failureDomain where this instance stands
     * @param named the weights that are wanted
     * @param targets all targets, by id; read at each rating
     * @param store the store of kept cache; read at each rating
     * @param random spreads ties
     */
    TargetRatings(
            String failureDomain,
            NamedWeights named,
            Map<String, TargetState> targets,
            KvStoreView store,
            RandomGenerator random) {
        mFailureDomain = failureDomain;
        mNamed = named;
        mTargets = targets;
        mStore = store;
        mRandom = random;
    }

    /** Returns who keeps what of a request's prompt; empty if it has none. */
    Optional<PromptHolders> holders(ForwardRequest request, long now) {
        return request.prompt()
                .map(prompt -> new PromptHolders(request, mTargets.values(), mStore, now));
    }

    /**
     * Returns what a request would cost at a target.
     *
     * @param holders who keeps what of its prompt, {@link #holders}
     */
    RatedTarget rate(
            TargetState state, ForwardRequest request, Optional<PromptHolders> holders, long now) {
        double noise = mRandom.nextDouble() * NOISE;
        if (holders.isEmpty()) {
            double domain = state.isIn(mFailureDomain) ? 0 : OTHER_DOMAIN_COST;
            double connection = state.isConnected() ? 0 : CONNECTION_COST;
            double load = 10.0 * state.openRequests() / state.slots();
            double cost = load + domain + connection + noise;
            return new RatedTarget(state, Choice.NO_WEIGHTS, "", 0, 0, 0, "", 0, cost, cost);
        }
        return rateEngine(state, request, holders.get(), noise, now);
    }

    /** Returns how long an event takes at a target: as seen here, or else as expected. */
    double paceMillis(TargetState state, long now) {
        return state.paceMillis(mCosts.unseenEventMillis(state.openRequests()), now);
    }

    private RatedTarget rateEngine(
            TargetState state,
            ForwardRequest request,
            PromptHolders holders,
            double noise,
            long now) {
        Prompt prompt = request.prompt().orElseThrow();
        int cached = holders.cachedTokens(state);
        Optional<KvSource> source = holders.source(state, cached);
        int held = source.map(KvSource::tokens).orElse(cached);
        double fetch = source.map(s -> s.fetchMillis(s.tokens() - cached)).orElse(0.0);
        int missing = Math.max(1, prompt.tokens() - held);
        double wait =
                mCosts.waitMillis(state.backlogTokens(), state.openRequests(), state.slots())
                        + state.excessMillis(now)
                        + source.map(KvSource::waitMillis).orElse(0.0);
        double expected = wait + fetch + mCosts.firstTokenMillis(missing, state.openRequests());
        double ownReading = mCosts.readingMillis(prompt.tokens() - holders.sharedTokens());
        double pardoned = Admission.discountedPrefillMillis(request, ownReading);
        boolean old = outdatedFor(state, prompt, now) > OLD_WEIGHTS_MILLIS;
        double others = mCosts.costToOthers(missing, state.openRequests());
        double cost =
                PlacementCost.lateness(expected, request.route().objectiveMillis())
                        + reading(state, holders, cached, held)
                        + others
                        + (old ? PlacementCost.OLD_WEIGHTS_TOKENS : 0)
                        + (state.isConnected() ? 0 : PlacementCost.CONNECTION_TOKENS)
                        + (state.isIn(mFailureDomain)
                                ? 0
                                : PlacementCost.otherDomain(request.bodyBytes()))
                        + noise;
        return new RatedTarget(
                state,
                state.weights(prompt.model()),
                holders.salt(state),
                held,
                missing,
                held - cached,
                source.map(KvSource::address).orElse(""),
                expected - pardoned,
                expected,
                cost);
    }

    /**
     * Returns the store if it keeps shared parts that the target is expected to keep as well. An
     * engine drops within seconds what isn't asked for, and that is known only some hundred
     * milliseconds later: to ask the store then costs it a millisecond, to read the parts again
     * some seventy. Other engines aren't named: one that has just died costs some hundred.
     */
    String spareSource(RatedTarget rated, PromptHolders holders) {
        return holders.storedTokens(rated.state()) >= MIN_SHARED_TOKENS ? mStore.address() : "";
    }

    /** Returns the store's address if shared parts are read that it lacks, so that it gets them. */
    String storeFor(RatedTarget rated, PromptHolders holders) {
        boolean worth =
                mStore.isUsable()
                        && holders.sharedTokens() >= MIN_SHARED_TOKENS
                        && holders.storedTokens(rated.state()) < holders.sharedTokens();
        return worth ? mStore.address() : "";
    }

    /** Returns for how long a target's weights have been out of date for a prompt. */
    long outdatedFor(TargetState state, Prompt prompt, long now) {
        String model = prompt.model();
        return mNamed.outdatedFor(model, state.weights(model), now);
    }

    private static double reading(TargetState state, PromptHolders holders, int cached, int held) {
        int shared = holders.sharedTokens();
        // A part that nobody keeps has one home, and so has a subject that is brought back.
        int lacksFrom = held < shared ? held : cached;
        boolean home = cached < shared && holders.isHome(state, lacksFrom);
        return PlacementCost.reading(shared, cached, held, home);
    }
}
