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

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.quilldyke.caller.Prompt;
import org.quilldyke.engine.TargetReport;

/** One target as an instance sees it: its reports, what is open there, and how it has behaved. */
public final class TargetState {
    /** A load that takes longer than this has been forgotten by whoever told of it. */
    public static final long MAX_LOADING_MILLIS = 6000;

    /** Most runs that are short end within this time of the announcement of a load. */
    private static final long SHORT_RUNS_MILLIS = 300;

    /**
     * As long as more requests than this run together, an engine brings them forward nearly as fast
     * as one alone: a step of 4 ms grows by 0.1 ms for each. The last few keep it from loading for
     * seconds and use little of it.
     */
    private static final int LAST_RUNS = 16;

    /** After this long, whatever still runs keeps the engine for too long. */
    private static final long LONGEST_DRAIN_MILLIS = 1500;

    private static final long FIRST_SUSPICION_MILLIS = 250;
    private static final int MAX_DOUBLINGS = 4;
    private static final long OVERLOADED_MILLIS = 60;

    /** A target that owes answers and sends nothing for this long is avoided. */
    private static final long MUTE_MILLIS = 900;

    int mOthersRequests;
    long mOthersTokens;
    int mFreeConnections;
    Told mTold = Told.NOBODY;
    private final Map<String, Long> mWeights = new HashMap<>();
    private final CacheView mCache = new CacheView();
    private final long mIdHash;
    private final DelayTracker mDelay = new DelayTracker();
    private final PaceTracker mPace = new PaceTracker();
    private TargetReport mReport;
    private int mRequests;
    private long mTokens;
    private int mTroubles;
    private long mSuspectUntil = Long.MIN_VALUE;
    private long mHeardAt = Long.MIN_VALUE;
    private long mWaitingSince;
    private long mLoadingUntil = Long.MIN_VALUE;
    private long mLoadingSince;
    private boolean mAnswersWatch = true;
    private NamedLimit mNamedLimit;
    private NamedLimit mToldLimit;
    private LimitShare mLimitShare;

    TargetState(TargetReport report) {
        mReport = report;
        mIdHash = Rendezvous.hash(report.id());
        mWeights.putAll(report.weights());
        mNamedLimit = NamedLimit.unheard(report.id());
        mToldLimit = mNamedLimit;
    }

    /** Returns the target's id. */
    public String id() {
        return mReport.id();
    }

    /** Returns where the target takes requests. */
    public String address() {
        return mReport.address();
    }

    /** Returns the service that the target belongs to. */
    public String service() {
        return mReport.service();
    }

    /** Returns how many requests this instance has open there. */
    public int ownRequests() {
        return mRequests;
    }

    /** Returns how many prompt tokens this instance has sent there that aren't read yet. */
    public long ownTokens() {
        return mTokens;
    }

    void onReport(TargetReport report) {
        mReport = report;
        report.weights().forEach(this::onWeightsSeen);
    }

    void onWeightsSeen(String model, long version) {
        Long known = mWeights.get(model);
        if (known == null || version > known) {
            mWeights.put(model, version);
            mCache.clear();
            mLoadingUntil = Long.MIN_VALUE;
        }
    }

    /** Notes that the target is about to load weights, or has done so; who said so may be gone. */
    void onLoading(boolean loading, long now) {
        mLoadingSince = isLoading(now) ? mLoadingSince : now;
        mLoadingUntil = loading ? now + MAX_LOADING_MILLIS : Long.MIN_VALUE;
    }

    /** Returns whether the target takes nothing since it is to load weights. */
    boolean isLoading(long now) {
        return now < mLoadingUntil;
    }

    /** Returns whether the target is kept from loading weights by a few long runs. */
    boolean isHeldUp(long now) {
        long waited = now - mLoadingSince;
        boolean few = openRequests() <= LAST_RUNS && waited >= SHORT_RUNS_MILLIS;
        return isLoading(now) && (few || waited >= LONGEST_DRAIN_MILLIS);
    }

    boolean serves(String service, long now) {
        return mReport.service().equals(service)
                && !isLeaving()
                && !isLoading(now)
                && (!mNamedLimit.isInForce(now) || mLimitShare != null && mLimitShare.hasTurn(now));
    }

    /**
     * Takes what the target says of its limit, if that is the newest word.
     *
     * @param rank which instance this is
     * @param phase see {@link LimitShare#of}
     * @return whether others should hear of it
     */
    boolean onLimit(NamedLimit limit, InstanceRank rank, double phase, long now) {
        if (limit.at() < mNamedLimit.at()) {
            return false;
        }
        mNamedLimit = limit;
        onRank(rank, phase, now);
        boolean news = limit.isNewsAfter(mToldLimit);
        if (news) {
            mToldLimit = limit;
        }
        return news;
    }

    /** Takes which instance this is: it may use a target that names a limit, or may not. */
    void onRank(InstanceRank rank, double phase, long now) {
        if (!mNamedLimit.isSet() || !rank.isSharer(mIdHash)) {
            mLimitShare = null;
        } else if (mLimitShare == null) {
            mLimitShare = LimitShare.of(mNamedLimit.perSecond(), rank.sharers(), phase, now);
        } else {
            mLimitShare.onChange(mNamedLimit.perSecond(), rank.sharers(), now);
        }
    }

    boolean isLeaving() {
        return mReport.leaving();
    }

    String failureDomain() {
        return mReport.failureDomain();
    }

    boolean isIn(String failureDomain) {
        return mReport.failureDomain().equals(failureDomain);
    }

    /** Returns whether a request needs no new connection there. */
    boolean isConnected() {
        return mFreeConnections > 0;
    }

    /** Returns the target's rank for a key, see {@link Rendezvous}. */
    long rank(long key) {
        return Rendezvous.rank(key, mIdHash);
    }

    /** Returns whether the target has failed lately, or says nothing though it should. */
    boolean isSuspect(long now) {
        boolean heard = wasHeard(MUTE_MILLIS, now);
        boolean mute = mRequests > 0 && now - mWaitingSince > MUTE_MILLIS;
        return now < mSuspectUntil || !heard && (mute || !mAnswersWatch);
    }

    /** Notes whether the target answers the process that watches its cache. */
    void onWatched(boolean answers) {
        mAnswersWatch = answers;
    }

    long weights(String model) {
        return mWeights.getOrDefault(model, 0L);
    }

    int slots() {
        return Math.max(1, mReport.slots());
    }

    int openRequests() {
        return mRequests + mOthersRequests;
    }

    long backlogTokens() {
        return mTokens + mOthersTokens;
    }

    CacheView cache() {
        return mCache;
    }

    /** Returns how much longer than expected first events take here, while there is a line. */
    double excessMillis(long now) {
        return openRequests() == 0 ? 0 : mDelay.excessMillis(now);
    }

    /** Returns whether the target has sent something in the last {@code millis}. */
    boolean wasHeard(long millis, long now) {
        return mHeardAt != Long.MIN_VALUE && now - mHeardAt < millis;
    }

    void onHeard(long now) {
        mHeardAt = now;
        mWaitingSince = now;
    }

    void onFirstEvent(long seenMillis, long expectedMillis, long now) {
        mDelay.onSeen(seenMillis, expectedMillis, now);
    }

    void onEvent(long sinceLastMillis, long now) {
        mPace.onEvent(sinceLastMillis, now);
    }

    /** Returns how long an event takes, by the streams that this instance has or had here. */
    OptionalDouble paceMillis(long now) {
        return mPace.millis(now);
    }

    double paceMillis(double expected, long now) {
        return mPace.millis(expected, now);
    }

    void onChosen(Choice choice, Prompt prompt, long now) {
        mWaitingSince = mRequests == 0 ? now : mWaitingSince;
        mRequests++;
        mTokens += choice.missingTokens();
        if (mLimitShare != null) {
            mLimitShare.use(now);
        }
        if (prompt != null) {
            mCache.expect(choice.cacheSalt(), prompt, now);
        }
    }

    void onPromptRead(Choice choice) {
        mTokens = Math.max(0, mTokens - choice.missingTokens());
    }

    void onFinished() {
        mRequests = Math.max(0, mRequests - 1);
    }

    void onTrouble(long now) {
        mTroubles = Math.min(MAX_DOUBLINGS, mTroubles + 1);
        mSuspectUntil = now + (FIRST_SUSPICION_MILLIS << mTroubles - 1);
    }

    void onOverloaded(long now) {
        mSuspectUntil = Math.max(mSuspectUntil, now + OVERLOADED_MILLIS);
    }

    void onSuccess() {
        mTroubles = 0;
    }
}
