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
import java.util.Set;
import java.util.random.RandomGenerator;
import org.quilldyke.caller.Admission;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.Prompt;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.manifest.Service;
import org.quilldyke.weights.LoadStage;

/**
 * The targets as one instance sees them, and the choice among them.
 *
 * <p>What targets report is corrected by what this instance has sent them since, and by what came
 * back: a target that can't be reached or fails is avoided for a while, longer each time.
 */
public final class TargetBook {
    /**
     * Weights that were replaced this long ago cost something: a good while before they must go.
     */
    private static final long OLD_WEIGHTS_MILLIS = 1200;

    /** What the way to another failure domain costs a plain request, in tenths of a full target. */
    private static final double OTHER_DOMAIN_COST = 0.5;

    /** A target that sent something this lately is alive, however long one answer takes. */
    private static final long ALIVE_MILLIS = 600;

    /** Less than this isn't worth a transfer: an engine reads it in a millisecond. */
    private static final int MIN_FETCHED_TOKENS = 64;

    /** A prompt with less to share isn't worth its place in the store. */
    private static final int MIN_SHARED_TOKENS = 1000;

    private final String mFailureDomain;
    private final long mOldestWeightsMillis;
    private final RandomGenerator mRandom;
    private final CostModel mCosts = CostModel.standard();
    private final NamedWeights mNamed = NamedWeights.create();
    private final Map<String, TargetState> mTargets = new HashMap<>();
    private final KvStoreView mStore = new KvStoreView();

    private TargetBook(String failureDomain, long oldestWeightsMillis, RandomGenerator random) {
        mFailureDomain = failureDomain;
        mOldestWeightsMillis = oldestWeightsMillis;
        mRandom = random;
    }

    /**
     * Returns a book without targets.
     *
     * @param failureDomain where this instance stands
     * @param oldestWeightsMillis for how long after a newer version was named requests may still go
     *     to older weights
     * @param random spreads ties
     */
    public static TargetBook create(
            String failureDomain, long oldestWeightsMillis, RandomGenerator random) {
        return new TargetBook(failureDomain, oldestWeightsMillis, random);
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

    /** Forgets a target. */
    public void onGone(String id) {
        mTargets.remove(id);
    }

    /** Takes the services that the manifest names: one of them may be a store of kept cache. */
    public void onServices(List<Service> services) {
        mStore.onAddress(
                services.stream()
                        .flatMap(service -> service.store().stream())
                        .map(Service.KvStore::address)
                        .findFirst()
                        .orElse(""));
    }

    /** Takes what has changed in the cache of an engine or the store. */
    public void onCacheNews(CacheNews news) {
        TargetState state = mTargets.get(news.holder());
        boolean isStore = news.holder().equals(mStore.address());
        if (isStore) {
            mStore.onStanding(news.up());
        } else if (state != null) {
            state.onWatched(news.up());
        }
        CacheView cache = isStore ? mStore.cache() : state == null ? null : state.cache();
        if (cache == null) {
            return;
        }
        if (news.restarted()) {
            cache.clear();
        }
        news.removed().forEach(cache::remove);
        news.added().forEach(cache::add);
    }

    /** Takes a version of a model's weights that operators named. */
    public void onNamedWeights(String model, long version, long namedAt) {
        mNamed.onNamed(model, version, namedAt);
    }

    /** Notes how far a target is on its way to new weights. */
    public void onLoadStage(String id, LoadStage stage, long now) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.onLoadStage(stage, now);
        }
    }

    /** Returns whether a target takes nothing since it is to load weights. */
    public boolean isLoading(String id, long now) {
        TargetState state = mTargets.get(id);
        return state != null && state.isLoading(now);
    }

    /** Takes how much other instances have open at a target. */
    public void onOthersLoad(String id, int requests, long tokens) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.mOthersRequests = requests;
            state.mOthersTokens = tokens;
        }
    }

    /** Takes the weights that a target's answer names. */
    public void onWeightsSeen(String id, String model, long version) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.onWeightsSeen(model, version);
        }
    }

    /**
     * Returns the best target for a request, if there is one: of those whose line is short enough
     * for it and that cost less than a refusal would, or else of all.
     */
    public Optional<Choice> choose(ForwardRequest request, Set<String> excluded, long now) {
        List<Rated> rated = new ArrayList<>();
        for (TargetState state : candidates(request, excluded, now)) {
            rated.add(rate(state, request, now));
        }
        rated.sort(Comparator.comparingDouble(Rated::cost));
        if (rated.isEmpty()) {
            return Optional.empty();
        }
        double dearest = rated.get(0).cost() + PlacementCost.REFUSAL_TOKENS;
        Rated best =
                rated.stream()
                        .filter(r -> Admission.admits(request, Math.round(r.admission())))
                        .filter(r -> r.cost() <= dearest)
                        .findFirst()
                        .orElse(rated.get(0));
        Rated next = rated.stream().filter(r -> r != best).findFirst().orElse(null);
        return Optional.of(
                new Choice(
                        best.state().id(),
                        best.state().address(),
                        best.weights(),
                        best.salt(),
                        best.cached(),
                        best.missing(),
                        best.source(),
                        cacheTarget(best, request),
                        Math.round(best.admission()),
                        Math.round(best.expected()),
                        next == null ? "" : next.state().id(),
                        next == null ? 0 : Math.round(next.expected())));
    }

    /** Returns whether another target could take a request. */
    public boolean hasOther(ForwardRequest request, Set<String> excluded, long now) {
        return !candidates(request, excluded, now).isEmpty();
    }

    /** Notes that a request is about to be sent to a target. */
    public void onChosen(Choice choice, ForwardRequest request, long now) {
        TargetState state = mTargets.get(choice.target());
        if (state != null) {
            state.onChosen(choice, request.prompt().orElse(null), now);
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
    public void onPromptRead(Choice choice) {
        TargetState state = mTargets.get(choice.target());
        if (state != null) {
            state.onPromptRead(choice);
        }
    }

    /** Notes the first event of an answer, so many milliseconds after the request was sent. */
    public void onFirstEvent(Choice choice, long millis, long now) {
        if (!choice.cacheSource().isEmpty() && choice.cacheSource().equals(mStore.address())) {
            // The store's link is shared by all engines: a wait says little of this one.
            mStore.onFetched(millis, choice.expectedMillis(), now);
            return;
        }
        TargetState state = mTargets.get(choice.target());
        if (state != null) {
            state.onFirstEvent(millis, choice.expectedMillis(), now);
        }
    }

    /** Notes that a target has sent something. */
    public void onHeard(String id, long now) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.onHeard(now);
        }
    }

    /** Returns whether a target has sent something just now, on any answer. */
    public boolean isAlive(String id, long now) {
        TargetState state = mTargets.get(id);
        return state != null && state.wasHeard(ALIVE_MILLIS, now);
    }

    /** Notes that a target couldn't be reached. */
    public void onUnreachable(String id, long now) {
        onTrouble(id, now);
    }

    /** Notes that a target failed a request, or broke off its answer. */
    public void onFailure(String id, long now) {
        onTrouble(id, now);
    }

    /** Notes that a target's answer was none. */
    public void onSpoiled(String id, long now) {
        onTrouble(id, now);
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

    private void onTrouble(String id, long now) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.onTrouble(now);
        }
    }

    /** Returns the targets that may take a request: those in good standing, else the others. */
    private List<TargetState> candidates(ForwardRequest request, Set<String> excluded, long now) {
        List<TargetState> good = new ArrayList<>();
        List<TargetState> doubtful = new ArrayList<>();
        for (TargetState state : mTargets.values()) {
            if (!state.serves(request.service(), now)
                    || excluded.contains(state.id())
                    || hasForbiddenWeights(state, request, now)) {
                continue;
            }
            (state.isSuspect(now) ? doubtful : good).add(state);
        }
        return good.isEmpty() ? doubtful : good;
    }

    private boolean hasForbiddenWeights(TargetState state, ForwardRequest request, long now) {
        return request.prompt()
                .map(prompt -> outdatedFor(state, prompt, now) > mOldestWeightsMillis)
                .orElse(false);
    }

    private long outdatedFor(TargetState state, Prompt prompt, long now) {
        String model = prompt.model();
        return mNamed.outdatedFor(model, state.weights(model), now);
    }

    private Rated rate(TargetState state, ForwardRequest request, long now) {
        double noise = mRandom.nextDouble() * 0.1;
        if (request.prompt().isEmpty()) {
            double domain = state.isIn(mFailureDomain) ? 0 : OTHER_DOMAIN_COST;
            double cost = 10.0 * state.openRequests() / state.slots() + domain + noise;
            return new Rated(state, Choice.NO_WEIGHTS, "", 0, 0, "", 0, cost, cost);
        }
        return rateEngine(state, request, request.prompt().get(), noise, now);
    }

    private Rated rateEngine(
            TargetState state, ForwardRequest request, Prompt prompt, double noise, long now) {
        String salt = salt(state, request);
        int cached = state.cache().cachedTokens(salt, prompt, now);
        Optional<Source> source = source(state, request, prompt, salt, cached, now);
        int held = source.map(Source::tokens).orElse(cached);
        double fetch = source.map(s -> s.fetchMillis(s.tokens() - cached)).orElse(0.0);
        int missing = Math.max(1, prompt.tokens() - held);
        double wait =
                mCosts.waitMillis(state.backlogTokens(), state.openRequests(), state.slots())
                        + state.excessMillis(now)
                        + source.map(Source::waitMillis).orElse(0.0);
        double expected = wait + fetch + mCosts.firstTokenMillis(missing, state.openRequests());
        double ownReading = mCosts.readingMillis(prompt.tokens() - prompt.sharedTokens());
        double pardoned = Admission.pardonedMillis(request, ownReading);
        boolean old = outdatedFor(state, prompt, now) > OLD_WEIGHTS_MILLIS;
        double others = mCosts.costToOthers(missing, state.openRequests());
        double cost =
                PlacementCost.lateness(expected, request.route().objectiveMillis())
                        + reading(state, request, prompt.sharedTokens(), cached, held, now)
                        + others
                        + (state.takesShortWorkOnly(now) && prompt.hasLongAnswer()
                                ? PlacementCost.DELAYED_LOAD_TOKENS
                                : 0)
                        + (old ? PlacementCost.OLD_WEIGHTS_TOKENS : 0)
                        + (state.isIn(mFailureDomain) ? 0 : PlacementCost.OTHER_DOMAIN_TOKENS)
                        + noise;
        return new Rated(
                state,
                state.weights(prompt.model()),
                salt,
                held,
                missing,
                source.map(Source::address).orElse(""),
                expected - pardoned,
                expected,
                cost);
    }

    /** Returns who else keeps most of the shared parts, if that is a good deal more than here. */
    private Optional<Source> source(
            TargetState state,
            ForwardRequest request,
            Prompt prompt,
            String salt,
            int cached,
            long now) {
        int shared = prompt.sharedTokens();
        int most = cached + MIN_FETCHED_TOKENS - 1;
        Source best = null;
        if (mStore.isUsable() && cached < shared) {
            int stored = Math.min(shared, mStore.cache().fetchableTokens(salt, prompt));
            if (stored > most) {
                most = stored;
                best = Source.store(mStore.address(), stored, mStore.excessMillis(now));
            }
        }
        for (TargetState other : mTargets.values()) {
            boolean same =
                    other != state
                            && other.service().equals(request.service())
                            && other.weights(prompt.model()) == state.weights(prompt.model());
            int kept = same ? Math.min(shared, other.cache().fetchableTokens(salt, prompt)) : 0;
            // Of equal sources, an engine's link is faster than the store's.
            boolean better = kept > most || best != null && best.isStore() && kept == most;
            if (better) {
                most = kept;
                best = Source.engine(other.address(), kept);
            }
        }
        return Optional.ofNullable(best);
    }

    /** Has shared parts kept in the store that are read now and aren't there yet. */
    private String cacheTarget(Rated rated, ForwardRequest request) {
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

    /** Who keeps parts of a prompt, how many tokens, and how long they take from there. */
    private record Source(
            String address, int tokens, boolean isStore, double millisPerToken, double waitMillis) {
        static Source store(String address, int tokens, double wait) {
            return new Source(address, tokens, true, CostModel.STORE_FETCH_MILLIS_PER_TOKEN, wait);
        }

        static Source engine(String address, int tokens) {
            return new Source(address, tokens, false, CostModel.ENGINE_FETCH_MILLIS_PER_TOKEN, 0);
        }

        double fetchMillis(int fetchedTokens) {
            return millisPerToken * fetchedTokens;
        }
    }

    /** A target with what a request would cost there. */
    private record Rated(
            TargetState state,
            long weights,
            String salt,
            int cached,
            int missing,
            String source,
            double admission,
            double expected,
            double cost) {}
}
