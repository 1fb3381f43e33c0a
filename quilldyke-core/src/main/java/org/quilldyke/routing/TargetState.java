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
import org.quilldyke.rollout.VersionRouting;

/** One target as an instance sees it: its reports, its open requests and its recent failures. */
public final class TargetState {
    /** The announcement of a load expires after this time, as its sender may have failed. */
    public static final long MAX_LOADING_MILLIS = 6000;

    /** Most short runs complete within this time after the announcement of a load. */
    private static final long MIN_DRAIN_MILLIS = 300;

    /**
     * Runs are moved before {@link #MAX_DRAIN_MILLIS} if no more than this number remain: they use
     * little of the engine, but may delay the load for seconds. An engine runs many requests nearly
     * as fast as one, since each lengthens a step of 4 ms by only 0.1 ms.
     */
    private static final int MAX_RUNS_FOR_EARLY_MOVE = 16;

    /** After this time, the remaining runs delay the load too long, however many they are. */
    private static final long MAX_DRAIN_MILLIS = 1500;

    private static final long INITIAL_BACKOFF_MILLIS = 250;
    private static final int MAX_COUNTED_FAILURES = 4;
    private static final long OVERLOAD_BACKOFF_MILLIS = 60;

    /** A target states that it is brittle in all its answers; it expires after this time. */
    private static final long BRITTLE_MILLIS = 5000;

    /** A target with open requests that sends nothing for this long is avoided. */
    private static final long UNRESPONSIVE_MILLIS = 900;

    /** A target that has failed repeatedly and sends nothing for this long has probably ended. */
    private static final long ENDED_MILLIS = 2000;

    int mOtherInstancesRequests;
    long mOtherInstancesTokens;
    int mFreeConnections;
    ReportOrigin mReportOrigin = ReportOrigin.UNKNOWN;
    private final Map<String, Long> mWeights = new HashMap<>();
    private final CacheView mCache = new CacheView();
    private final long mIdHash;
    private final EngineSpeed mSpeed;
    private final DelayTracker mDelay = new DelayTracker();
    private final EventIntervalTracker mEventIntervals = new EventIntervalTracker();
    private TargetReport mReport;
    private int mOwnRequests;
    private long mOwnTokens;
    private int mConsecutiveFailures;
    private long mUnhealthyUntil = Long.MIN_VALUE;
    private long mBrittleUntil = Long.MIN_VALUE;
    private int mMaxRefusals;
    private InstanceRank mRoomShareRank = InstanceRank.UNKNOWN;

    /** Null until the target was brittle. */
    private RoomShare mRoomShare;

    private boolean mStatedLeaving;

    /** Whether its software version was reverted or replaced. */
    private boolean mRetired;

    private boolean mMayBeginStreams = true;

    private long mRestingUntil = Long.MIN_VALUE / 2;
    private long mDataReceivedAt = Long.MIN_VALUE;
    private long mAwaitingDataSince;
    private long mLoadingUntil = Long.MIN_VALUE;
    private long mLoadingSince;
    private boolean mReachableFromControl = true;
    private AdvertisedLimit mAdvertisedLimit;
    private AdvertisedLimit mPublishedLimit;
    private RateLimitShare mLimitShare;

    /** Whether this instance has sent no request since the target last advertised a limit. */
    private boolean mUnusedSinceLimit;

    TargetState(TargetReport report) {
        this(report, EngineSpeed.standard());
    }

    TargetState(TargetReport report, EngineSpeed speed) {
        mSpeed = speed;
        mReport = report;
        mIdHash = Rendezvous.hash(report.key());
        mWeights.putAll(report.weights());
        mAdvertisedLimit = AdvertisedLimit.unknown(report.key());
        mPublishedLimit = mAdvertisedLimit;
    }

    /** Returns the target's id. */
    public String id() {
        return mReport.key();
    }

    /** Returns where the target accepts requests. */
    public String address() {
        return mReport.address();
    }

    /** Returns the service that the target belongs to. */
    public String service() {
        return mReport.service();
    }

    /** Returns how many requests this instance has open there. */
    public int ownRequests() {
        return mOwnRequests;
    }

    /** Returns how many prompt tokens sent by this instance wait for their prefill there. */
    public long ownTokens() {
        return mOwnTokens;
    }

    void onReport(TargetReport report) {
        mReport = report;
        report.weights().forEach(this::onWeightsReported);
    }

    void onWeightsReported(String model, long version) {
        Long known = mWeights.get(model);
        if (known == null || version > known) {
            mWeights.put(model, version);
            mCache.clear();
            mLoadingUntil = Long.MIN_VALUE;
        }
    }

    /**
     * Records that the target is about to load weights, or that it has finished. The announcement
     * expires, since its sender may have failed.
     */
    void onLoading(boolean loading, long now) {
        mLoadingSince = isLoading(now) ? mLoadingSince : now;
        mLoadingUntil = loading ? now + MAX_LOADING_MILLIS : Long.MIN_VALUE;
    }

    /** Returns whether the target accepts no requests because it is to load weights. */
    boolean isLoading(long now) {
        return now < mLoadingUntil;
    }

    /**
     * Returns whether few remaining runs, or runs that take too long, delay the load of weights.
     */
    boolean shouldMoveStreams(long now) {
        long drainMillis = now - mLoadingSince;
        boolean fewRemain =
                openRequests() <= MAX_RUNS_FOR_EARLY_MOVE && drainMillis >= MIN_DRAIN_MILLIS;
        return isLoading(now) && (fewRemain || drainMillis >= MAX_DRAIN_MILLIS);
    }

    boolean acceptsRequestsFor(String service, long now) {
        return isAvailableFor(service, now) && hasPermit(now);
    }

    /** Returns whether the target accepts requests within its limit, if it has one. */
    boolean isAvailableFor(String service, long now) {
        return mReport.service().equals(service)
                && !isLeaving()
                && !isLoading(now)
                && !isResting(now)
                && (!isBrittle(now)
                        || mRoomShare.admits(mOwnRequests, mOtherInstancesRequests, now));
    }

    /** Returns whether a request of this instance is within the target's limit, if it has one. */
    boolean hasPermit(long now) {
        return !mAdvertisedLimit.isInForce(now)
                || mLimitShare != null && mLimitShare.hasPermit(now);
    }

    /** Uses a permit for a request of another instance; returns whether there was one. */
    boolean lendPermit(long now) {
        boolean lends = mLimitShare != null && mLimitShare.hasPermit(now);
        if (lends) {
            mLimitShare.consumePermit(now);
        }
        return lends;
    }

    /**
     * Applies a limit that the target has advertised, unless a later one is known.
     *
     * @param rank this instance's rank
     * @param phase see {@link RateLimitShare#of}
     * @return whether the limit should be published to other instances
     */
    boolean onLimit(AdvertisedLimit limit, InstanceRank rank, double phase, long now) {
        if (limit.receivedAt() < mAdvertisedLimit.receivedAt()) {
            return false;
        }
        mAdvertisedLimit = limit;
        mUnusedSinceLimit |= limit.isSet();
        onInstanceRank(rank, phase, now);
        boolean shouldPublish = limit.shouldPublishAfter(mPublishedLimit);
        if (shouldPublish) {
            mPublishedLimit = limit;
        }
        return shouldPublish;
    }

    /**
     * Applies this instance's rank, which decides whether it may use a target that advertises a
     * limit.
     */
    void onInstanceRank(InstanceRank rank, double phase, long now) {
        if (!mAdvertisedLimit.isSet() || !rank.isSharer(mIdHash)) {
            mLimitShare = null;
        } else if (mLimitShare == null) {
            mLimitShare =
                    RateLimitShare.of(mAdvertisedLimit.perSecond(), rank.sharers(), phase, now);
        } else {
            mLimitShare.onLimitChange(mAdvertisedLimit.perSecond(), rank.sharers(), now);
        }
    }

    /**
     * Returns whether the target must get no more requests, by its own or by an operator's will.
     */
    boolean isLeaving() {
        return mReport.leaving() || mStatedLeaving || mRetired;
    }

    /** Applies which software versions may serve requests. */
    void onVersions(VersionRouting versions) {
        mRetired = versions.isRetired(service(), softwareVersion());
        mMayBeginStreams = versions.mayBeginStreams(service(), softwareVersion());
    }

    /** Returns whether a resumable stream may begin at the target. */
    public boolean mayBeginStreams() {
        return mMayBeginStreams;
    }

    /** Returns the software version that the target has reported. */
    public String softwareVersion() {
        return mReport.softwareVersion();
    }

    /**
     * Returns whether the target seems to have ended: the last requests to it have failed, and it
     * has sent nothing for a while.
     */
    boolean seemsEnded(long now) {
        return mConsecutiveFailures >= MAX_COUNTED_FAILURES && !receivedWithin(ENDED_MILLIS, now);
    }

    String failureDomain() {
        return mReport.failureDomain();
    }

    boolean isInFailureDomain(String failureDomain) {
        return mReport.failureDomain().equals(failureDomain);
    }

    /** Returns whether a request needs no new connection there. */
    boolean isConnected() {
        return mFreeConnections > 0;
    }

    /**
     * Returns whether the target's limit has ended and no request was sent since. Connections that
     * the limit left unused have expired, so the target would get fewer requests than before the
     * limit if a new one counted against it.
     */
    boolean isUnusedSinceLimit(long now) {
        return mUnusedSinceLimit && !mAdvertisedLimit.isInForce(now);
    }

    /** Returns the target's rank for a key, see {@link Rendezvous}. */
    long rank(long key) {
        return Rendezvous.rank(key, mIdHash);
    }

    /**
     * Returns whether the target has failed or was overloaded lately. It is also unhealthy if this
     * instance has received nothing from it for a while and either has requests open there or knows
     * that it doesn't answer the control process that reads its cache events.
     */
    boolean isUnhealthy(long now) {
        boolean receivedRecently = receivedWithin(UNRESPONSIVE_MILLIS, now);
        boolean unresponsive = mOwnRequests > 0 && now - mAwaitingDataSince > UNRESPONSIVE_MILLIS;
        return hasFailedLately(now)
                || !receivedRecently && (unresponsive || !mReachableFromControl);
    }

    /**
     * Records that the target has stated in an answer that it shuts down, which holds until its
     * end: its next start is another incarnation.
     *
     * @return whether that is new
     */
    boolean onLeavingStated() {
        boolean isNew = !mReport.leaving() && !mStatedLeaving;
        mStatedLeaving = true;
        return isNew;
    }

    /**
     * Records that the target fails if it has to refuse more than some requests in a second.
     *
     * @return whether that is new
     */
    boolean onBrittle(int maxRefusals, InstanceRank rank, long now) {
        boolean isNew = !isBrittle(now);
        boolean changed = isNew || maxRefusals != mMaxRefusals || !rank.equals(mRoomShareRank);
        mBrittleUntil = now + BRITTLE_MILLIS;
        mMaxRefusals = maxRefusals;
        mRoomShareRank = rank;
        if (changed) {
            int part = rank.part(slots(), mIdHash);
            mRoomShare = RoomShare.of(slots(), part, rank.instances(), maxRefusals, now);
        }
        return isNew;
    }

    boolean isBrittle(long now) {
        return now < mBrittleUntil;
    }

    /** Records until when the target wants no requests of this instance. */
    void onRest(long until) {
        mRestingUntil = Math.max(mRestingUntil, until);
    }

    boolean isResting(long now) {
        return now < mRestingUntil;
    }

    long restingUntil() {
        return mRestingUntil;
    }

    /** Returns whether the target has failed or was overloaded lately. */
    boolean hasFailedLately(long now) {
        return now < mUnhealthyUntil;
    }

    void onPathLost() {
        mUnhealthyUntil = Long.MIN_VALUE;
        mConsecutiveFailures = 0;
    }

    /** Records whether the target answers the control process that reads its cache events. */
    void onReachableFromControl(boolean reachable) {
        mReachableFromControl = reachable;
    }

    long weights(String model) {
        return mWeights.getOrDefault(model, 0L);
    }

    int slots() {
        return Math.max(1, mReport.slots());
    }

    int openRequests() {
        return mOwnRequests + mOtherInstancesRequests;
    }

    long backlogTokens() {
        return mOwnTokens + mOtherInstancesTokens;
    }

    CacheView cache() {
        return mCache;
    }

    /** Returns how much later than expected first events arrive, 0 while no request is open. */
    double excessMillis(long now) {
        return openRequests() == 0 ? 0 : mDelay.excessMillis(now);
    }

    /** Returns whether the target has sent data in the last {@code millis}. */
    boolean receivedWithin(long millis, long now) {
        return mDataReceivedAt != Long.MIN_VALUE && now - mDataReceivedAt < millis;
    }

    void onDataReceived(long now) {
        mDataReceivedAt = now;
        mAwaitingDataSince = now;
    }

    /** Records a first event; what the new rate explains of its delay isn't counted as one. */
    void onFirstEvent(Choice choice, long measuredMillis, long now) {
        double explainedMillis = mSpeed.onFirstEvent(choice, measuredMillis, now);
        mDelay.onMeasured(measuredMillis, choice.expectedMillis() + explainedMillis, now);
    }

    /** Returns the time for the prefill of all prompts that were sent there. */
    double backlogMillis(long now) {
        return mSpeed.backlogMillis(mOwnTokens, mOtherInstancesTokens, now);
    }

    /** Returns the model of the target's times, by what was measured. */
    CostModel costModel(long now) {
        return mSpeed.costModel(now);
    }

    void onEvent(long sinceLastMillis, long now) {
        mEventIntervals.onEvent(sinceLastMillis, now);
    }

    /** Returns the interval of events, measured on this instance's streams. */
    OptionalDouble eventIntervalMillis(long now) {
        return mEventIntervals.intervalMillis(now);
    }

    double eventIntervalMillis(double expectedMillis, long now) {
        return mEventIntervals.intervalMillis(expectedMillis, now);
    }

    void onDispatch(Choice choice, Prompt prompt, long now) {
        boolean isAlone = backlogTokens() == 0 && openRequests() < slots() && !isLoading(now);
        mSpeed.onDispatch(choice, isAlone, excessMillis(now), now);
        mAwaitingDataSince = mOwnRequests == 0 ? now : mAwaitingDataSince;
        mOwnRequests++;
        mOwnTokens += choice.missingTokens();
        if (mLimitShare != null && !choice.borrowsPermit()) {
            mLimitShare.consumePermit(now);
        }
        mUnusedSinceLimit &= mAdvertisedLimit.isInForce(now);
        if (prompt != null) {
            mCache.addExpected(choice.cacheSalt(), prompt, now);
        }
    }

    void onPrefillEnd(Choice choice) {
        mOwnTokens = Math.max(0, mOwnTokens - choice.missingTokens());
    }

    void onFinished(Choice choice) {
        mSpeed.onFinished(choice);
        mOwnRequests = Math.max(0, mOwnRequests - 1);
    }

    void onFailure(long now) {
        mConsecutiveFailures = Math.min(MAX_COUNTED_FAILURES, mConsecutiveFailures + 1);
        mUnhealthyUntil = now + (INITIAL_BACKOFF_MILLIS << mConsecutiveFailures - 1);
    }

    /** Records a refusal; {@code random} from 0 to 1 spreads the return of instances. */
    void onOverloaded(double random, long now) {
        if (isBrittle(now)) {
            mRoomShare.onRefused(mOwnRequests, random, now);
        }
        mUnhealthyUntil = Math.max(mUnhealthyUntil, now + OVERLOAD_BACKOFF_MILLIS);
    }

    void onSuccess() {
        mConsecutiveFailures = 0;
    }
}
