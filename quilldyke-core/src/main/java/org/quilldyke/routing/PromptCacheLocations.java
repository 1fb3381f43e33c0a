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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.Prompt;

/**
 * Who keeps which parts of one prompt, and where what nobody keeps has its home; worked out once
 * for a choice and asked for each target.
 *
 * <p>Each target is looked at once for each version of weights, not once for each other target: of
 * 50 targets a choice then takes a tenth of the time ({@code TargetBookSizeTest}).
 */
final class PromptCacheLocations {
    /** Less than this isn't worth a transfer: an engine reads it in a millisecond. */
    private static final int MIN_FETCHED_TOKENS = 64;

    private final ForwardRequest mRequest;
    private final Prompt mPrompt;
    private final Iterable<TargetState> mTargets;
    private final KvStoreView mStore;
    private final long mNow;
    private final int mSharedTokens;
    private final Map<Long, VersionLocations> mByVersion = new HashMap<>();

    /**
     * Returns the holders of a prompt.
     *
     * @param request what is asked for, with a prompt
     * @param targets all that are known
     * @param store the store of kept cache
     */
    PromptCacheLocations(
            ForwardRequest request, Iterable<TargetState> targets, KvStoreView store, long now) {
        mRequest = request;
        mPrompt = request.prompt().orElseThrow();
        mTargets = targets;
        mStore = store;
        mNow = now;
        mSharedTokens = mPrompt.sharedTokens();
    }

    /** Returns how many tokens of the prompt others may share. */
    int sharedTokens() {
        return mSharedTokens;
    }

    /** Returns the name under which a target shares prompts: by model, weights and organisation. */
    String salt(TargetState target) {
        return locationsFor(target).mSalt;
    }

    /** Returns how many tokens a target keeps, or will when it has read what was sent there. */
    int cachedTokens(TargetState target) {
        return target.cache().cachedTokens(locationsFor(target).mKeys, mPrompt, mNow);
    }

    /** Returns how many of the shared tokens the store surely keeps for a target. */
    int storedTokens(TargetState target) {
        return locationsFor(target).mStoredTokens;
    }

    /**
     * Returns who else keeps most of the shared parts, if that is a good deal more than the target.
     *
     * <p>Of several engines that keep as much, one in the target's failure domain is named, where a
     * transfer takes half the time, and targets spread over those: all would fetch from the first.
     *
     * @param cachedTokens how many tokens the target keeps itself
     */
    Optional<KvSource> transferSource(TargetState target, int cachedTokens) {
        VersionLocations locations = locationsFor(target);
        int minSourceTokens = cachedTokens + MIN_FETCHED_TOKENS;
        if (locations.mMostTokens >= minSourceTokens
                && locations.mMostTokens >= locations.mStoredTokens) {
            TargetState holder = locations.holderFor(target);
            return Optional.of(KvSource.engine(holder.address(), locations.mMostTokens));
        }
        return cachedTokens < mSharedTokens && locations.mStoredTokens >= minSourceTokens
                ? Optional.of(
                        KvSource.store(
                                mStore.address(),
                                locations.mStoredTokens,
                                mStore.excessMillis(mNow)))
                : Optional.empty();
    }

    /**
     * Returns whether a target is where all instances have the first lacking part of the prompt
     * read: what is read elsewhere is most likely read twice.
     *
     * @param heldTokens how many tokens aren't lacking
     */
    boolean isPreferredTarget(TargetState target, int heldTokens) {
        long key = CacheKeys.affinityKey(mRequest.cacheScope(), mPrompt, heldTokens);
        long highest =
                locationsFor(target)
                        .mHighestRanks
                        .computeIfAbsent(key, k -> highestRank(target, k));
        return Long.compareUnsigned(highest, target.rank(key)) <= 0;
    }

    /** Returns the highest rank of those with a target's weights that may take the request. */
    private long highestRank(TargetState target, long key) {
        long weights = target.weights(mPrompt.model());
        long highest = 0;
        for (TargetState candidate : mTargets) {
            if (candidate.acceptsRequestsFor(mRequest.service(), mNow)
                    && candidate.weights(mPrompt.model()) == weights
                    && !candidate.isUnhealthy(mNow)) {
                long rank = candidate.rank(key);
                highest = Long.compareUnsigned(rank, highest) > 0 ? rank : highest;
            }
        }
        return highest;
    }

    private VersionLocations locationsFor(TargetState target) {
        return mByVersion.computeIfAbsent(target.weights(mPrompt.model()), VersionLocations::new);
    }

    /** What is kept under one version of the weights. */
    private final class VersionLocations {
        final String mSalt;
        final long[] mKeys;
        final int mStoredTokens;

        /** The highest rank of a target for each key that is asked for. */
        final Map<Long, Long> mHighestRanks = new HashMap<>();

        /** The targets that surely keep most shared tokens, by failure domain. */
        private final Map<String, List<TargetState>> mHoldersByDomain = new HashMap<>();

        private final List<TargetState> mAllHolders = new ArrayList<>();
        private int mMostTokens = 1;

        VersionLocations(long weights) {
            String owner = mRequest.cacheScope();
            mSalt = mPrompt.model() + "." + weights + (owner.isEmpty() ? "" : "." + owner);
            mKeys = CacheKeys.of(mSalt, mPrompt);
            mStoredTokens = mStore.isUsable() ? sharedTokensIn(mStore.cache()) : 0;
            for (TargetState target : mTargets) {
                if (target.service().equals(mRequest.service())
                        && target.weights(mPrompt.model()) == weights
                        && !target.isUnhealthy(mNow)) {
                    addHolder(target, sharedTokensIn(target.cache()));
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
    }
}
