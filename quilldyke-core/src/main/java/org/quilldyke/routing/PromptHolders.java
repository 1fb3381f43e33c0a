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
final class PromptHolders {
    /** Less than this isn't worth a transfer: an engine reads it in a millisecond. */
    private static final int MIN_FETCHED_TOKENS = 64;

    private final ForwardRequest mRequest;
    private final Prompt mPrompt;
    private final Iterable<TargetState> mTargets;
    private final KvStoreView mStore;
    private final long mNow;
    private final int mShared;
    private final Map<Long, Version> mVersions = new HashMap<>();

    /**
     * Returns the holders of a prompt.
     *
     * @param request what is asked for, with a prompt
     * @param targets all that are known
     * @param store the store of kept cache
     */
    PromptHolders(
            ForwardRequest request, Iterable<TargetState> targets, KvStoreView store, long now) {
        mRequest = request;
        mPrompt = request.prompt().orElseThrow();
        mTargets = targets;
        mStore = store;
        mNow = now;
        mShared = mPrompt.sharedTokens();
    }

    /** Returns how many tokens of the prompt others may share. */
    int sharedTokens() {
        return mShared;
    }

    /** Returns the name under which a target shares prompts: by model, weights and organisation. */
    String salt(TargetState target) {
        return version(target).mSalt;
    }

    /** Returns how many tokens a target keeps, or will when it has read what was sent there. */
    int cachedTokens(TargetState target) {
        return target.cache().cachedTokens(version(target).mKeys, mPrompt, mNow);
    }

    /** Returns how many of the shared tokens the store surely keeps for a target. */
    int storedTokens(TargetState target) {
        return version(target).mStored;
    }

    /**
     * Returns who else keeps most of the shared parts, if that is a good deal more than the target.
     *
     * <p>Of several engines that keep as much, one in the target's failure domain is named, where a
     * transfer takes half the time, and targets spread over those: all would fetch from the first.
     *
     * @param cached how many tokens the target keeps itself
     */
    Optional<KvSource> source(TargetState target, int cached) {
        Version version = version(target);
        int enough = cached + MIN_FETCHED_TOKENS;
        if (version.mMost >= enough && version.mMost >= version.mStored) {
            TargetState holder = version.holderFor(target);
            return Optional.of(KvSource.engine(holder.address(), version.mMost));
        }
        return cached < mShared && version.mStored >= enough
                ? Optional.of(
                        KvSource.store(
                                mStore.address(), version.mStored, mStore.excessMillis(mNow)))
                : Optional.empty();
    }

    /**
     * Returns whether a target is where all instances have the first lacking part of the prompt
     * read: what is read elsewhere is most likely read twice.
     *
     * @param heldTokens how many tokens aren't lacking
     */
    boolean isHome(TargetState target, int heldTokens) {
        long key = CacheKeys.affinity(mRequest.cacheScope(), mPrompt, heldTokens);
        long first = version(target).mFirstRanks.computeIfAbsent(key, k -> firstRank(target, k));
        return Long.compareUnsigned(first, target.rank(key)) <= 0;
    }

    /** Returns the highest rank of those with a target's weights that may take the request. */
    private long firstRank(TargetState target, long key) {
        long weights = target.weights(mPrompt.model());
        long first = 0;
        for (TargetState rival : mTargets) {
            if (rival.serves(mRequest.service(), mNow)
                    && rival.weights(mPrompt.model()) == weights
                    && !rival.isSuspect(mNow)) {
                long rank = rival.rank(key);
                first = Long.compareUnsigned(rank, first) > 0 ? rank : first;
            }
        }
        return first;
    }

    private Version version(TargetState target) {
        return mVersions.computeIfAbsent(target.weights(mPrompt.model()), Version::new);
    }

    /** What is kept under one version of the weights. */
    private final class Version {
        final String mSalt;
        final long[] mKeys;
        final int mStored;

        /** The highest rank of a target for each key that is asked for. */
        final Map<Long, Long> mFirstRanks = new HashMap<>();

        /** The targets that surely keep most shared tokens, by failure domain. */
        private final Map<String, List<TargetState>> mHolders = new HashMap<>();

        private final List<TargetState> mAllHolders = new ArrayList<>();
        private int mMost = 1;

        Version(long weights) {
            String owner = mRequest.cacheScope();
            mSalt = mPrompt.model() + "." + weights + (owner.isEmpty() ? "" : "." + owner);
            mKeys = CacheKeys.of(mSalt, mPrompt);
            mStored = mStore.isUsable() ? shared(mStore.cache()) : 0;
            for (TargetState other : mTargets) {
                if (other.service().equals(mRequest.service())
                        && other.weights(mPrompt.model()) == weights
                        && !other.isSuspect(mNow)) {
                    add(other, shared(other.cache()));
                }
            }
        }

        private int shared(CacheView cache) {
            return Math.min(mShared, cache.fetchableTokens(mKeys, mPrompt));
        }

        private void add(TargetState other, int kept) {
            if (kept > mMost) {
                mMost = kept;
                mHolders.clear();
                mAllHolders.clear();
            }
            if (kept == mMost) {
                mAllHolders.add(other);
                mHolders.computeIfAbsent(other.failureDomain(), d -> new ArrayList<>()).add(other);
            }
        }

        TargetState holderFor(TargetState target) {
            List<TargetState> near = mHolders.getOrDefault(target.failureDomain(), mAllHolders);
            return near.get(Math.floorMod(target.id().hashCode(), near.size()));
        }
    }
}
