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
public final class TargetBook {
    /** A target that sent something this lately is alive, however long one answer takes. */
    public static final long ALIVE_MILLIS = 600;

    private final long mOldestWeightsMillis;
    private final RandomGenerator mRandom;
    private final NamedWeights mNamed = NamedWeights.create();
    private final Map<String, TargetState> mTargets = new HashMap<>();
    private final KvStoreView mStore = new KvStoreView();
    private final TargetRatings mRatings;
    private InstanceRank mRank = InstanceRank.UNKNOWN;

    private TargetBook(String failureDomain, long oldestWeightsMillis, RandomGenerator random) {
        mOldestWeightsMillis = oldestWeightsMillis;
        mRandom = random;
        mRatings = new TargetRatings(failureDomain, mNamed, mTargets, mStore, random);
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

    /**
     * Notes who told of a target last.
     *
     * @param by the control process
     * @param heardAt when that or another one had heard the target, as far as it said
     */
    public void onTold(String id, String by, long heardAt) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.mTold = new Told(by, heardAt);
        }
    }

    /** Returns who told of a target last; {@link Told#NOBODY} if it isn't known. */
    public Told told(String id) {
        TargetState state = mTargets.get(id);
        return state == null ? Told.NOBODY : state.mTold;
    }

    /** Returns whether a target has said that it leaves. */
    public boolean isLeaving(String id) {
        TargetState state = mTargets.get(id);
        return state != null && state.isLeaving();
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
    public boolean isHeldUp(String id, long now) {
        TargetState state = mTargets.get(id);
        return state != null && state.isHeldUp(now);
    }

    /** Takes how much other instances have open at a target. */
    public void onOthersLoad(String id, int requests, long tokens) {
        TargetState state = mTargets.get(id);
        if (state != null) {
            state.mOthersRequests = requests;
            state.mOthersTokens = tokens;
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
    public boolean onLimit(NamedLimit limit, long now) {
        TargetState state = mTargets.get(limit.target());
        return state != null && state.onLimit(limit, mRank, mRandom.nextDouble(), now);
    }

    /** Takes which of all instances this one is: targets' limits are shared among some. */
    public void onRank(InstanceRank rank, long now) {
        if (!rank.equals(mRank)) {
            mRank = rank;
            mTargets.values().forEach(state -> state.onRank(rank, mRandom.nextDouble(), now));
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
        Optional<PromptHolders> holders = mRatings.holders(request, now);
        List<RatedTarget> rated = new ArrayList<>();
        for (TargetState state : candidates(request, excluded, now)) {
            rated.add(mRatings.rate(state, request, holders, now));
        }
        rated.sort(Comparator.comparingDouble(RatedTarget::cost));
        if (rated.isEmpty()) {
            return Optional.empty();
        }
        double dearest = rated.get(0).cost() + PlacementCost.REFUSAL_TOKENS;
        RatedTarget best =
                rated.stream()
                        .filter(r -> Admission.admits(request, Math.round(r.admission())))
                        .filter(r -> r.cost() <= dearest)
                        .findFirst()
                        .orElse(rated.get(0));
        return Optional.of(choiceOf(best, rated, holders));
    }

    /**
     * Returns the target that is expected to end the rest of a stream first, if one in good
     * standing can take it.
     *
     * @param events how many events the rest has at most
     */
    public Optional<PacedChoice> chooseQuickest(
            ForwardRequest request, Set<String> excluded, int events, long now) {
        Optional<PromptHolders> holders = mRatings.holders(request, now);
        List<RatedTarget> rated = new ArrayList<>();
        for (TargetState state : candidates(request, excluded, now)) {
            if (!state.isSuspect(now)) {
                rated.add(mRatings.rate(state, request, holders, now));
            }
        }
        rated.sort(
                Comparator.comparingDouble(
                        r -> r.expected() + events * mRatings.paceMillis(r.state(), now)));
        return rated.stream()
                .findFirst()
                .map(
                        best ->
                                new PacedChoice(
                                        choiceOf(best, rated, holders),
                                        mRatings.paceMillis(best.state(), now)));
    }

    private Choice choiceOf(
            RatedTarget best, List<RatedTarget> rated, Optional<PromptHolders> holders) {
        RatedTarget next = rated.stream().filter(r -> r != best).findFirst().orElse(null);
        return new Choice(
                best.state().id(),
                best.state().address(),
                best.weights(),
                best.salt(),
                best.cached(),
                best.missing(),
                best.fetched(),
                best.source().isEmpty()
                        ? holders.map(h -> mRatings.spareSource(best, h)).orElse("")
                        : best.source(),
                holders.map(h -> mRatings.storeFor(best, h)).orElse(""),
                Math.round(best.admission()),
                Math.round(best.expected()),
                next == null ? "" : next.state().id(),
                next == null ? 0 : Math.round(next.expected()));
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
        if (choice.fetchedTokens() > 0 && choice.cacheSource().equals(mStore.address())) {
            // The store's link is shared by all engines: a wait says little of this one.
            mStore.onFetched(millis, choice.expectedMillis(), now);
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
    public OptionalDouble paceMillis(String id, long now) {
        TargetState state = mTargets.get(id);
        return state == null ? OptionalDouble.empty() : state.paceMillis(now);
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
                .map(prompt -> mRatings.outdatedFor(state, prompt, now) > mOldestWeightsMillis)
                .orElse(false);
    }
}
