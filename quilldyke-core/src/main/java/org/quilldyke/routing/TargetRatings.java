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

    /** Less than this isn't worth a transfer: an engine reads it in a millisecond. */
    private static final int MIN_FETCHED_TOKENS = 64;

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

    /** Returns what a request would cost at a target. */
    RatedTarget rate(TargetState state, ForwardRequest request, long now) {
        double noise = mRandom.nextDouble() * 0.1;
        if (request.prompt().isEmpty()) {
            double domain = state.isIn(mFailureDomain) ? 0 : OTHER_DOMAIN_COST;
            double cost = 10.0 * state.openRequests() / state.slots() + domain + noise;
            return new RatedTarget(state, Choice.NO_WEIGHTS, "", 0, 0, 0, "", 0, cost, cost);
        }
        return rateEngine(state, request, request.prompt().get(), noise, now);
    }

    /** Returns how long an event takes at a target: as seen here, or else as expected. */
    double paceMillis(TargetState state, long now) {
        return state.paceMillis(mCosts.unseenEventMillis(state.openRequests()), now);
    }

    private RatedTarget rateEngine(
            TargetState state, ForwardRequest request, Prompt prompt, double noise, long now) {
        String salt = salt(state, request);
        int cached = state.cache().cachedTokens(salt, prompt, now);
        Optional<KvSource> source = source(state, request, prompt, salt, cached, now);
        int held = source.map(KvSource::tokens).orElse(cached);
        double fetch = source.map(s -> s.fetchMillis(s.tokens() - cached)).orElse(0.0);
        int missing = Math.max(1, prompt.tokens() - held);
        double wait =
                mCosts.waitMillis(state.backlogTokens(), state.openRequests(), state.slots())
                        + state.excessMillis(now)
                        + source.map(KvSource::waitMillis).orElse(0.0);
        double expected = wait + fetch + mCosts.firstTokenMillis(missing, state.openRequests());
        double ownReading = mCosts.readingMillis(prompt.tokens() - prompt.sharedTokens());
        double pardoned = Admission.pardonedMillis(request, ownReading);
        boolean old = outdatedFor(state, prompt, now) > OLD_WEIGHTS_MILLIS;
        double others = mCosts.costToOthers(missing, state.openRequests());
        double cost =
                PlacementCost.lateness(expected, request.route().objectiveMillis())
                        + reading(state, request, prompt.sharedTokens(), cached, held, now)
                        + others
                        + (old ? PlacementCost.OLD_WEIGHTS_TOKENS : 0)
                        + (state.isIn(mFailureDomain)
                                ? 0
                                : PlacementCost.otherDomain(request.bodyBytes()))
                        + noise;
        return new RatedTarget(
                state,
                state.weights(prompt.model()),
                salt,
                held,
                missing,
                held - cached,
                source.map(KvSource::address).orElse(""),
                expected - pardoned,
                expected,
                cost);
    }

    /** Returns who else keeps most of the shared parts, if that is a good deal more than here. */
    private Optional<KvSource> source(
            TargetState state,
            ForwardRequest request,
            Prompt prompt,
            String salt,
            int cached,
            long now) {
        int shared = prompt.sharedTokens();
        int most = cached + MIN_FETCHED_TOKENS - 1;
        KvSource best = null;
        if (mStore.isUsable() && cached < shared) {
            int stored = fetchable(mStore.cache(), salt, prompt);
            if (stored > most) {
                most = stored;
                best = KvSource.store(mStore.address(), stored, mStore.excessMillis(now));
            }
        }
        for (TargetState other : mTargets.values()) {
            boolean same =
                    other != state
                            && other.service().equals(request.service())
                            && other.weights(prompt.model()) == state.weights(prompt.model())
                            && !other.isSuspect(now);
            int kept = same ? fetchable(other.cache(), salt, prompt) : 0;
            // Of equal sources, an engine's link is faster than the store's.
            boolean better = kept > most || best != null && best.isStore() && kept == most;
            if (better) {
                most = kept;
                best = KvSource.engine(other.address(), kept);
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the store if it keeps shared parts that the target is expected to keep as well. An
     * engine drops within seconds what isn't asked for, and that is known only some hundred
     * milliseconds later: to ask the store then costs it a millisecond, to read the parts again
     * some seventy. Other engines aren't named: one that has just died costs some hundred.
     */
    String spareSource(RatedTarget rated, ForwardRequest request) {
        Prompt prompt = request.prompt().orElse(null);
        if (prompt == null || prompt.sharedTokens() < MIN_SHARED_TOKENS) {
            return "";
        }
        boolean stored =
                mStore.isUsable()
                        && fetchable(mStore.cache(), rated.salt(), prompt) >= MIN_SHARED_TOKENS;
        return stored ? mStore.address() : "";
    }

    private static int fetchable(CacheView cache, String salt, Prompt prompt) {
        return Math.min(prompt.sharedTokens(), cache.fetchableTokens(salt, prompt));
    }

    /** Returns the store's address if shared parts are read that it lacks, so that it gets them. */
    String storeFor(RatedTarget rated, ForwardRequest request) {
        if (request.prompt().isEmpty() || !mStore.isUsable()) {
            return "";
        }
        Prompt prompt = request.prompt().get();
        boolean worth =
                prompt.sharedTokens() >= MIN_SHARED_TOKENS
                        && mStore.cache().fetchableTokens(rated.salt(), prompt)
                                < prompt.sharedTokens();
        return worth ? mStore.address() : "";
    }

    /** Returns for how long a target's weights have been out of date for a prompt. */
    long outdatedFor(TargetState state, Prompt prompt, long now) {
        String model = prompt.model();
        return mNamed.outdatedFor(model, state.weights(model), now);
    }

    private double reading(
            TargetState state, ForwardRequest request, int shared, int cached, int held, long now) {
        // A part that nobody keeps has one home, and so has a subject that is brought back.
        int lacksFrom = held < shared ? held : cached;
        boolean home = cached < shared && isHome(state, request, lacksFrom, now);
        return PlacementCost.reading(shared, cached, held, home);
    }

    /**
     * Returns whether an engine is where all instances have the first lacking part of a prompt
     * read: what is read elsewhere is most likely read twice.
     */
    private boolean isHome(TargetState state, ForwardRequest request, int heldTokens, long now) {
        Prompt prompt = request.prompt().orElseThrow();
        long key = CacheKeys.affinity(request.cacheOwner(), prompt, heldTokens);
        long own = Rendezvous.rank(key, state.id());
        for (TargetState other : mTargets.values()) {
            boolean rival =
                    other != state
                            && other.serves(request.service(), now)
                            && other.weights(prompt.model()) == state.weights(prompt.model());
            if (rival
                    && !other.isSuspect(now)
                    && Long.compareUnsigned(Rendezvous.rank(key, other.id()), own) > 0) {
                return false;
            }
        }
        return true;
    }

    /** Returns the name under which prompts are shared: by model, weights and organisation. */
    private static String salt(TargetState state, ForwardRequest request) {
        String model = request.prompt().map(Prompt::model).orElse("");
        String owner = request.cacheOwner();
        return model + "." + state.weights(model) + (owner.isEmpty() ? "" : "." + owner);
    }
}
