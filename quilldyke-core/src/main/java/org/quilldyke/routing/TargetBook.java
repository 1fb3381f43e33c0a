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
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.Prompt;
import org.quilldyke.engine.TargetReport;

/**
 * The targets as one instance sees them, and the choice among them.
 *
 * <p>What targets report is corrected by what this instance has sent them since, and by what came
 * back: a target that can't be reached or fails is avoided for a while, longer each time.
 */
public final class TargetBook {
    /** What is believed to be kept of prompts: somewhat more than half of an engine's memory. */
    private static final long CACHE_TOKENS = 60_000;

    /** Weights that were replaced this long ago cost something: a good while before they must go. */
    private static final long OLD_WEIGHTS_MILLIS = 1200;

    private static final double OLD_WEIGHTS_COST = 120;
    private static final double OTHER_DOMAIN_COST = 0.5;
    private static final long RETRY_AFTER_MILLIS = 150;

    private final String mFailureDomain;
    private final long mOldestWeightsMillis;
    private final RandomGenerator mRandom;
    private final CostModel mCosts = CostModel.standard();
    private final NamedWeights mNamed = NamedWeights.create();
    private final Map<String, TargetState> mTargets = new HashMap<>();

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
            mTargets.put(report.id(), new TargetState(report, CACHE_TOKENS));
        } else {
            state.onReport(report);
        }
    }

    /** Forgets a target. */
    public void onGone(String id) {
        mTargets.remove(id);
    }

    /** Takes a version of a model's weights that operators named. */
    public void onNamedWeights(String model, long version, long namedAt) {
        mNamed.onNamed(model, version, namedAt);
    }

    /** Notes that a target is about to load weights, or has done so. */
    public void onLoading(String id, boolean loading) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.mLoading = loading;
        }
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

    /** Returns the best target for a request, if there is one. */
    public Optional<Choice> choose(ForwardRequest request, Set<String> excluded, long now) {
        List<Rated> rated = new ArrayList<>();
        for (TargetState state : candidates(request, excluded, now)) {
            rated.add(rate(state, request, now));
        }
        rated.sort(Comparator.comparingDouble(Rated::cost));
        if (rated.isEmpty()) {
            return Optional.empty();
        }
        Rated best = rated.get(0);
        Rated next = rated.size() > 1 ? rated.get(1) : null;
        return Optional.of(
                new Choice(
                        best.state().id(),
                        best.state().address(),
                        best.weights(),
                        best.salt(),
                        best.cached(),
                        best.missing(),
                        Math.round(best.expected()),
                        next == null ? "" : next.state().id(),
                        next == null ? 0 : Math.round(next.expected())));
    }

    /** Returns whether another target could take a request. */
    public boolean hasOther(ForwardRequest request, Set<String> excluded, long now) {
        return !candidates(request, excluded, now).isEmpty();
    }

    /** Notes that a request is about to be sent to a target. */
    public void onChosen(Choice choice, ForwardRequest request) {
        TargetState state = mTargets.get(choice.target());
        if (state != null) {
            state.onChosen(choice, chainFor(state, request));
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

    /** Returns when a caller that is refused may try again: spread, so that not all come at once. */
    public long retryAfterMillis(ForwardRequest request, long now) {
        return RETRY_AFTER_MILLIS + mRandom.nextLong(RETRY_AFTER_MILLIS);
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
    private List<TargetState> candidates(
            ForwardRequest request, Set<String> excluded, long now) {
        List<TargetState> good = new ArrayList<>();
        List<TargetState> doubtful = new ArrayList<>();
        for (TargetState state : mTargets.values()) {
            if (!state.serves(request.service())
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
        double domain = state.isIn(mFailureDomain) ? 0 : OTHER_DOMAIN_COST;
        double noise = mRandom.nextDouble() * 0.1;
        if (request.prompt().isEmpty()) {
            double cost = 10.0 * state.openRequests() / state.slots() + domain + noise;
            return new Rated(state, Choice.NO_WEIGHTS, "", 0, 0, cost, cost);
        }
        Prompt prompt = request.prompt().get();
        PromptChain chain = chainFor(state, request);
        int cached = state.cachedTokens(chain);
        if (cached < prompt.sharedTokens() && isHome(state, request, now)) {
            cached = prompt.sharedTokens();
        }
        int missing = Math.max(1, prompt.tokens() - cached);
        double expected =
                mCosts.firstTokenMillis(
                        missing, state.backlogTokens(), state.openRequests(), state.slots());
        double cost =
                expected
                        + mCosts.costToOthers(missing, state.openRequests())
                        + (outdatedFor(state, prompt, now) > OLD_WEIGHTS_MILLIS
                                ? OLD_WEIGHTS_COST
                                : 0)
                        + domain
                        + noise;
        return new Rated(
                state,
                state.weights(prompt.model()),
                salt(state, request),
                cached,
                missing,
                expected,
                cost);
    }

    /** Returns whether all instances send requests for this subject to this target first. */
    private boolean isHome(TargetState state, ForwardRequest request, long now) {
        long key = request.prompt().map(PromptChain::affinityKey).orElse(0L);
        long own = Rendezvous.rank(key, state.id());
        for (TargetState other : mTargets.values()) {
            boolean rival = other != state && other.serves(request.service());
            if (rival
                    && !other.isSuspect(now)
                    && Long.compareUnsigned(Rendezvous.rank(key, other.id()), own) > 0) {
                return false;
            }
        }
        return true;
    }

    private static PromptChain chainFor(TargetState state, ForwardRequest request) {
        return request.prompt().map(prompt -> PromptChain.of(salt(state, request), prompt)).orElse(null);
    }

    /** Returns the name under which prompts are shared: by model, weights and organisation. */
    private static String salt(TargetState state, ForwardRequest request) {
        String model = request.prompt().map(Prompt::model).orElse("");
        String owner = request.cacheOwner();
        return model + "." + state.weights(model) + (owner.isEmpty() ? "" : "." + owner);
    }

    /** A target with what a request would cost there. */
    private record Rated(
            TargetState state,
            long weights,
            String salt,
            int cached,
            int missing,
            double expected,
            double cost) {}
}
