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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.Prompt;

/**
 * Where the parts of one prompt are cached, and which target is preferred for parts that are cached
 * nowhere; built once for a routing decision and queried for each target.
 *
 * <p>For each version of the weights, all targets are examined once, and not again for each target
 * that is queried: with 50 targets, a choice then takes a tenth of the time ({@code
 * TargetSelectorScaleTest}).
 */
final class PromptCacheLocations {
    /** Fewer tokens aren't worth a transfer: an engine prefills them in a millisecond. */
    private static final int MIN_FETCHED_TOKENS = 64;

    private final ForwardRequest mRequest;
    private final Prompt mPrompt;
    private final Iterable<TargetState> mTargets;
    private final KvStoreView mStore;
    private final KvTransfers mTransfers;
    private final Location mLocation;
    private final Set<String> mExcluded;
    private final long mNow;
    private final int mSharedTokens;
    private final long mAffinityKey;

    /** Whether there is a preferred target in each region, and not one of the whole fleet. */
    private final boolean mPrefersOnePerRegion;

    private final Map<Long, VersionLocations> mByVersion = new HashMap<>();

    /**
     * Creates the locations for a request's prompt.
     *
     * @param request a request with a prompt
     * @param targets all known targets
     * @param store the KV store
     * @param transfers rates transfers of KV cache
     * @param location where this instance is
     * @param excluded targets that the request can't be sent to
     */
    PromptCacheLocations(
            ForwardRequest request,
            Iterable<TargetState> targets,
            KvStoreView store,
            KvTransfers transfers,
            Location location,
            Set<String> excluded,
            long now) {
        mRequest = request;
        mPrompt = request.prompt().orElseThrow();
        mTargets = targets;
        mStore = store;
        mTransfers = transfers;
        mLocation = location;
        mExcluded = excluded;
        mNow = now;
        mSharedTokens = mPrompt.sharedTokens();
        mAffinityKey = CacheKeys.affinityKey(request.cacheScope(), mPrompt);
        double crossingCost = PlacementCost.crossDomain(request.bodyBytes(), Distance.OTHER_REGION);
        mPrefersOnePerRegion =
                location.hasRegions()
                        && location.affinity().prefersOnePerRegion(mSharedTokens, crossingCost);
    }

    /** Returns how many tokens of the prompt other prompts may share. */
    int sharedTokens() {
        return mSharedTokens;
    }

    /**
     * Returns the salt under which a target shares cached prompts: model, version of the weights
     * and, unless it is empty, the cache scope.
     */
    String salt(TargetState target) {
        return locationsFor(target).mSalt;
    }

    /**
     * Returns how many leading tokens a target has cached, or will once it has prefilled what was
     * sent there.
     */
    int cachedTokens(TargetState target) {
        return target.cache().cachedTokens(locationsFor(target).mKeys, mPrompt, mNow);
    }

    /** Returns how many leading shared tokens the store has confirmed for a target's weights. */
    int storedTokens(TargetState target) {
        return locationsFor(target).mStoredTokens;
    }

    /**
     * Returns the sources from which a target could fetch shared tokens.
     *
     * <p>In a fleet of one region that is at most one, the source with the most shared tokens, if
     * it has enough more than the target to be worth a transfer. Among several engines with equally
     * many tokens, one in the target's failure domain is chosen, from where a transfer takes half
     * the time. Targets are spread over those engines, or all would fetch from the first one.
     *
     * <p>In a fleet of two regions or more, there is one at each {@link Distance}, and the store.
     *
     * @param cachedTokens how many tokens the target itself has cached
     */
    List<KvSource> transferSources(TargetState target, int cachedTokens) {
        VersionLocations locations = locationsFor(target);
        int minSourceTokens = cachedTokens + MIN_FETCHED_TOKENS;
        if (mLocation.hasRegions()) {
            return locations.sourcesByDistance(target, cachedTokens, minSourceTokens);
        }
        if (locations.mMostTokens >= minSourceTokens
                && locations.mMostTokens >= locations.mStoredTokens) {
            TargetState holder = locations.holderFor(target);
            return List.of(KvSource.engine(holder.address(), locations.mMostTokens));
        }
        return cachedTokens < mSharedTokens && locations.mStoredTokens >= minSourceTokens
                ? List.of(
                        KvSource.store(
                                mStore.address(),
                                locations.mStoredTokens,
                                mStore.excessMillis(mNow)))
                : List.of();
    }

    /** Returns whether prefilling what could be fetched is weighed against fetching it. */
    boolean weighsPrefillAgainstFetch() {
        return mLocation.hasRegions();
    }

    /**
     * Returns whether a target should use the store at all. With regions, it must be in the
     * target's region, and fetching a token from there must be quicker than prefilling it.
     */
    boolean isStoreUseful(TargetState target, CostModel costModel) {
        if (!mLocation.hasRegions()) {
            return true;
        }
        Distance distance = storeDistance(target);
        return distance != Distance.OTHER_REGION
                && mTransfers.storeMillisPerToken(mRequest.service(), distance)
                        < costModel.prefillMillis(0, 1);
    }

    private Distance storeDistance(TargetState target) {
        return mLocation.topology().distance(mStore.failureDomain(), target.failureDomain());
    }

    /**
     * Returns whether all instances prefer this target for prompts with the same shared parts:
     * parts that are prefilled elsewhere are most likely prefilled twice.
     */
    boolean isPreferredTarget(TargetState target) {
        VersionLocations locations = locationsFor(target);
        if (locations.mHighestRanks.isEmpty()) {
            locations.findHighestRanks(target.weights(mPrompt.model()));
        }
        long highest = locations.mHighestRanks.getOrDefault(locations.affinityScope(target), 0L);
        return Long.compareUnsigned(highest, target.rank(mAffinityKey)) <= 0;
    }

    private VersionLocations locationsFor(TargetState target) {
        return mByVersion.computeIfAbsent(target.weights(mPrompt.model()), VersionLocations::new);
    }

    /** Where the prompt is cached under one version of the weights. */
    private final class VersionLocations {
        final String mSalt;
        final long[] mKeys;
        final int mStoredTokens;

        /** The highest rank of a target for the prompt's affinity key, once known, by scope. */
        private final Map<String, Long> mHighestRanks = new HashMap<>();

        /** Whether a target is preferred in each region. */
        private boolean mByRegion;

        /** The targets with most shared tokens confirmed, by failure domain. */
        private final Map<String, List<TargetState>> mHoldersByDomain = new HashMap<>();

        private final List<TargetState> mAllHolders = new ArrayList<>();

        /** How many shared tokens each holder has; from 1, so that a target without any is none. */
        private int mMostTokens = 1;

        /** In a fleet of two regions or more, the holders of most tokens in each domain. */
        private final Map<String, DomainHolders> mDomains = new HashMap<>();

        VersionLocations(long weights) {
            String cacheScope = mRequest.cacheScope();
            mSalt =
                    mPrompt.model()
                            + "."
                            + weights
                            + (cacheScope.isEmpty() ? "" : "." + cacheScope);
            mKeys = CacheKeys.of(mSalt, mPrompt);
            mStoredTokens = mStore.isUsable() ? sharedTokensIn(mStore.cache()) : 0;
            for (TargetState target : mTargets) {
                if (target.service().equals(mRequest.service())
                        && target.weights(mPrompt.model()) == weights
                        && !target.isUnhealthy(mNow)) {
                    int tokens = sharedTokensIn(target.cache());
                    addHolder(target, tokens);
                    if (mLocation.hasRegions() && tokens > 0) {
                        mDomains.computeIfAbsent(
                                        target.failureDomain(), domain -> new DomainHolders())
                                .add(target, tokens);
                    }
                }
            }
        }

        private int sharedTokensIn(CacheView cache) {
            return Math.min(mSharedTokens, cache.fetchableTokens(mKeys, mPrompt));
        }

        private void addHolder(TargetState holder, int tokens) {
            if (tokens > mMostTokens) {
                mMostTokens = tokens;
                mHoldersByDomain.clear();
                mAllHolders.clear();
            }
            if (tokens == mMostTokens) {
                mAllHolders.add(holder);
                mHoldersByDomain
                        .computeIfAbsent(holder.failureDomain(), d -> new ArrayList<>())
                        .add(holder);
            }
        }

        TargetState holderFor(TargetState target) {
            List<TargetState> holders =
                    mHoldersByDomain.getOrDefault(target.failureDomain(), mAllHolders);
            return holders.get(Math.floorMod(target.id().hashCode(), holders.size()));
        }

        /**
         * Finds the highest ranks of the healthy targets with these weights that accept requests:
         * one in each region, or one in the fleet if this instance's region has none of them.
         */
        private void findHighestRanks(long weights) {
            List<TargetState> candidates = new ArrayList<>();
            for (TargetState target : mTargets) {
                if (target.acceptsRequestsFor(mRequest.service(), mNow)
                        && target.weights(mPrompt.model()) == weights
                        && !target.isUnhealthy(mNow)
                        && !(mPrefersOnePerRegion && mExcluded.contains(target.id()))) {
                    candidates.add(target);
                }
            }
            mByRegion =
                    mPrefersOnePerRegion
                            && candidates.stream()
                                    .anyMatch(t -> mLocation.isInRegion(t.failureDomain()));
            for (TargetState candidate : candidates) {
                mHighestRanks.merge(
                        affinityScope(candidate),
                        candidate.rank(mAffinityKey),
                        (a, b) -> Long.compareUnsigned(a, b) < 0 ? b : a);
            }
        }

        /** Returns the region in which one target is preferred; empty if it is one of the fleet. */
        private String affinityScope(TargetState target) {
            return mByRegion ? mLocation.topology().region(target.failureDomain()) : "";
        }

        private List<KvSource> sourcesByDistance(
                TargetState target, int cachedTokens, int minSourceTokens) {
            Map<Distance, KvSource> fullest = new EnumMap<>(Distance.class);
            mDomains.forEach(
                    (domain, holders) -> {
                        if (holders.mTokens >= minSourceTokens) {
                            KvSource source = engineSource(target, domain, holders);
                            fullest.merge(
                                    source.distance(),
                                    source,
                                    (a, b) -> a.tokens() >= b.tokens() ? a : b);
                        }
                    });
            List<KvSource> sources = new ArrayList<>(fullest.values());
            if (cachedTokens < mSharedTokens && mStoredTokens >= minSourceTokens) {
                Distance distance = storeDistance(target);
                sources.add(
                        new KvSource(
                                mStore.address(),
                                mStoredTokens,
                                true,
                                mTransfers.storeMillisPerToken(mRequest.service(), distance),
                                mStore.excessMillis(mNow) + roundTripMillis(distance),
                                distance));
            }
            return sources;
        }

        private KvSource engineSource(TargetState target, String domain, DomainHolders holders) {
            Distance distance = mLocation.topology().distance(domain, target.failureDomain());
            return new KvSource(
                    holders.holderFor(target).address(),
                    holders.mTokens,
                    false,
                    mTransfers.engineMillisPerToken(mRequest.service(), distance),
                    roundTripMillis(distance),
                    distance);
        }

        /** The round trip between engines of two regions, which this instance can't measure. */
        private double roundTripMillis(Distance distance) {
            return distance == Distance.OTHER_REGION ? RoundTrips.ASSUMED_MILLIS : 0;
        }
    }

    /** The targets of one failure domain that have most shared tokens confirmed. */
    private static final class DomainHolders {
        private final List<TargetState> mHolders = new ArrayList<>();
        private int mTokens;

        void add(TargetState holder, int tokens) {
            if (tokens > mTokens) {
                mTokens = tokens;
                mHolders.clear();
            }
            if (tokens == mTokens) {
                mHolders.add(holder);
            }
        }

        TargetState holderFor(TargetState target) {
            return mHolders.get(Math.floorMod(target.id().hashCode(), mHolders.size()));
        }
    }
}
