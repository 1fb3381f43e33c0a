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
package org.quilldyke.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The units of quotas that a control process holds, and the requests of entries that are decided
 * with them.
 *
 * <p>While an organisation is well below its quota, the leader grants units in advance, and
 * requests are decided here. Otherwise each request that lacks units waits for the leader's
 * response. Units expire {@link QuotaLedger#LEASE_MILLIS} after the last request that the leader
 * has answered was sent, so that a process that is cut off spends nothing that a new leader doesn't
 * account for.
 */
public final class QuotaPool {
    /** The interval of requests to the leader that keep the granted units valid. */
    static final long REFRESH_MILLIS = 200;

    /** The interval of requests to the leader that replace spent units. */
    static final long REFILL_MILLIS = 50;

    /** A request to the leader without response is given up after this time. */
    static final long RESPONSE_TIMEOUT_MILLIS = 150;

    /** For this long at most, requests are refused without asking the leader again. */
    private static final long MAX_REFUSAL_MILLIS = 50;

    /** All pools together may hold this fraction of a quota's capacity in advance. */
    private static final double ADVANCE_FRACTION = 0.5;

    private static final long NO_ACCOUNT = 0;

    private final QuotaTolerance mTolerance;
    private final Map<String, Units> mUnits = new HashMap<>();
    private boolean mQuotasCurrent;
    private int mProcesses = 1;
    private long mAccount = NO_ACCOUNT;
    private long mLastNumber;
    private long mAnsweredNumber;

    /** When the units of the account, and those of the previous one, expire. */
    private long mValidUntil = Long.MIN_VALUE;

    private long mPreviousValidUntil = Long.MIN_VALUE;
    private boolean mAwaitsResponse;
    private long mSentAt = Long.MIN_VALUE / 2;

    private QuotaPool(QuotaTolerance tolerance) {
        mTolerance = tolerance;
    }

    /** Returns a pool that holds no units. */
    public static QuotaPool create(QuotaTolerance tolerance) {
        return new QuotaPool(tolerance);
    }

    /** Applies the quotas of the current configuration, by organisation. */
    public void onQuotas(Map<String, Quota> quotas) {
        List<QuotaRequest> unlimited = new ArrayList<>();
        mUnits.forEach(
                (organisation, units) -> {
                    if (!quotas.containsKey(organisation)) {
                        unlimited.addAll(units.mAsked);
                        unlimited.addAll(units.mWaiting);
                    }
                });
        mUnits.keySet().retainAll(quotas.keySet());
        quotas.forEach(
                (organisation, quota) ->
                        mUnits.computeIfAbsent(organisation, o -> new Units()).mCapacity =
                                mTolerance.capacity(quota));
        unlimited.forEach(request -> request.onVerdict().accept(QuotaVerdict.admitted()));
    }

    /**
     * Sets whether the known quotas are current. A process that has just started, or that has not
     * applied all that its leader has committed, may not know an organisation's quota.
     */
    public void onQuotasCurrent(boolean current) {
        mQuotasCurrent = current;
    }

    /** Sets the number of control processes that share the quotas. */
    public void onProcessCount(int processes) {
        mProcesses = Math.max(1, processes);
    }

    /** Decides on a request, at once if possible, otherwise after the leader has responded. */
    public void onRequest(QuotaRequest request, long now) {
        Units units = mUnits.get(request.organisation());
        if (units == null) {
            request.onVerdict()
                    .accept(mQuotasCurrent ? QuotaVerdict.admitted() : QuotaVerdict.unavailable());
        } else if (units.hasWaiting()) {
            // The units that are held are for the requests that wait already.
            units.mWaiting.add(request);
        } else if (spend(units, request.cost(), now)) {
            request.onVerdict().accept(QuotaVerdict.admitted());
        } else if (now < units.mRefusedUntil && request.cost() >= units.mRefusedCost) {
            request.onVerdict().accept(QuotaVerdict.overLimit(units.mRetryAt - now));
        } else {
            units.mWaiting.add(request);
        }
    }

    /**
     * Returns the request to send to the leader, if one is due.
     *
     * @param leaderKnown whether there is a leader to send it to; if not, waiting requests can't be
     *     decided
     */
    public Optional<QuotaPull> nextPull(boolean leaderKnown, long now) {
        if (mUnits.isEmpty()) {
            return Optional.empty();
        }
        if (mAwaitsResponse && now - mSentAt >= RESPONSE_TIMEOUT_MILLIS) {
            mAwaitsResponse = false;
            refuseWaiting();
        }
        if (!leaderKnown) {
            refuseWaiting();
            return Optional.empty();
        }
        if (mAwaitsResponse || !isPullDue(now)) {
            return Optional.empty();
        }
        mAwaitsResponse = true;
        mSentAt = now;
        mLastNumber++;
        List<QuotaPull.Item> items = new ArrayList<>();
        mUnits.forEach((organisation, units) -> items.add(pullItem(organisation, units, now)));
        return Optional.of(new QuotaPull(mLastNumber, mAccount, items));
    }

    /** Handles the leader's response. */
    public void onGrant(QuotaGrant grant, long now) {
        if (grant.number() <= mAnsweredNumber || grant.number() > mLastNumber) {
            return;
        }
        mAnsweredNumber = grant.number();
        boolean latest = grant.number() == mLastNumber;
        if (grant.account() != mAccount) {
            switchAccount(grant.account(), now);
        }
        if (latest) {
            mAwaitsResponse = false;
            mValidUntil = mSentAt + QuotaLedger.LEASE_MILLIS;
        }
        for (QuotaGrant.Item item : grant.items()) {
            Units units = mUnits.get(item.organisation());
            if (units != null) {
                units.mGranted = Math.max(units.mGranted, item.granted());
                units.mScarce = item.scarce();
                serveWaiting(units, item, latest, now);
            }
        }
    }

    /** Returns the units of an organisation that may be spent. */
    public long available(String organisation, long now) {
        Units units = mUnits.get(organisation);
        return units == null ? 0 : available(units, now);
    }

    private boolean isPullDue(long now) {
        long elapsed = now - mSentAt;
        return elapsed >= REFRESH_MILLIS
                || mUnits.values().stream().anyMatch(units -> !units.mWaiting.isEmpty())
                || elapsed >= REFILL_MILLIS
                        && mUnits.values().stream().anyMatch(units -> lacksAdvance(units, now));
    }

    private boolean lacksAdvance(Units units, long now) {
        return !units.mScarce && available(units, now) < advance(units) / 2;
    }

    private long advance(Units units) {
        return (long) (units.mCapacity * ADVANCE_FRACTION / mProcesses);
    }

    private QuotaPull.Item pullItem(String organisation, Units units, long now) {
        returnExcess(units, now);
        long available = available(units, now);
        units.mAsked.addAll(units.mWaiting);
        units.mWaiting.clear();
        units.mAsked.sort(QuotaRequest.SERVING_ORDER);
        long remaining = available;
        long needed = 0;
        long minNeeded = 0;
        for (QuotaRequest request : units.mAsked) {
            if (request.cost() <= remaining) {
                remaining -= request.cost();
            } else {
                minNeeded = minNeeded == 0 ? request.cost() - remaining : minNeeded;
                needed += request.cost();
            }
        }
        return new QuotaPull.Item(
                organisation,
                units.mSpent,
                units.mReturned,
                needed == 0 ? 0 : needed - remaining,
                minNeeded,
                Math.max(0, advance(units) - available));
    }

    /**
     * Gives back units if the quota was lowered, or if they are scarce and more are held than were
     * spent since the last request to the leader.
     */
    private void returnExcess(Units units, long now) {
        long held = units.current(mValidUntil, now);
        long kept = units.mScarce ? units.mSpent - units.mSpentBefore : 2 * advance(units);
        units.mReturned += Math.max(0, held - kept);
        units.mSpentBefore = units.mSpent;
    }

    /**
     * The units of the previous account can't be reported to the leader, which doesn't know them,
     * but may be spent until they expire.
     */
    private void switchAccount(long account, long now) {
        boolean previousValid = now < mPreviousValidUntil;
        for (Units units : mUnits.values()) {
            long previous = previousValid ? units.mPrevious : 0;
            units.mPrevious = previous + units.current(mValidUntil, now);
            units.mGranted = 0;
            units.mSpent = 0;
            units.mReturned = 0;
            units.mSpentBefore = 0;
        }
        mPreviousValidUntil =
                previousValid && now < mValidUntil
                        ? Math.min(mPreviousValidUntil, mValidUntil)
                        : Math.max(mPreviousValidUntil, mValidUntil);
        mValidUntil = Long.MIN_VALUE;
        mAccount = account;
    }

    private void serveWaiting(Units units, QuotaGrant.Item item, boolean latest, long now) {
        serve(units, units.mAsked, now);
        serve(units, units.mWaiting, now);
        if (!latest || units.mAsked.isEmpty()) {
            return;
        }
        List<QuotaRequest> refused = List.copyOf(units.mAsked);
        units.mAsked.clear();
        if (item.retryAfterMillis() == 0) {
            // The units that were held when the leader was asked have expired since.
            units.mWaiting.addAll(refused);
            return;
        }
        long cheapest = refused.stream().mapToLong(QuotaRequest::cost).min().orElse(0);
        units.mRefusedCost = cheapest;
        units.mRefusedUntil = now + Math.min(MAX_REFUSAL_MILLIS, item.retryAfterMillis());
        units.mRetryAt = now + item.retryAfterMillis();
        QuotaVerdict verdict = QuotaVerdict.overLimit(item.retryAfterMillis());
        refused.forEach(request -> request.onVerdict().accept(verdict));
    }

    /** Admits the requests for which the units suffice, and removes them from the list. */
    private void serve(Units units, List<QuotaRequest> requests, long now) {
        if (requests.isEmpty()) {
            return;
        }
        List<QuotaRequest> remaining = new ArrayList<>();
        List<QuotaRequest> admitted = new ArrayList<>();
        requests.sort(QuotaRequest.SERVING_ORDER);
        for (QuotaRequest request : requests) {
            (spend(units, request.cost(), now) ? admitted : remaining).add(request);
        }
        requests.clear();
        requests.addAll(remaining);
        admitted.forEach(request -> request.onVerdict().accept(QuotaVerdict.admitted()));
    }

    private void refuseWaiting() {
        for (Units units : mUnits.values()) {
            List<QuotaRequest> waiting = new ArrayList<>(units.mAsked);
            waiting.addAll(units.mWaiting);
            units.mAsked.clear();
            units.mWaiting.clear();
            waiting.forEach(request -> request.onVerdict().accept(QuotaVerdict.unavailable()));
        }
    }

    private boolean spend(Units units, long cost, long now) {
        if (available(units, now) < cost) {
            return false;
        }
        long previous = now < mPreviousValidUntil ? Math.min(units.mPrevious, cost) : 0;
        units.mPrevious -= previous;
        units.mSpent += cost - previous;
        return true;
    }

    private long available(Units units, long now) {
        long previous = now < mPreviousValidUntil ? units.mPrevious : 0;
        return previous + units.current(mValidUntil, now);
    }

    /** The units of one organisation. */
    private static final class Units {
        /** Requests that lack units, which the leader was asked for. */
        private final List<QuotaRequest> mAsked = new ArrayList<>();

        /** The same, for which the leader is asked with the next request. */
        private final List<QuotaRequest> mWaiting = new ArrayList<>();

        private double mCapacity;

        /** Totals of the account. */
        private long mGranted;

        private long mSpent;
        private long mReturned;

        /** What was spent when the leader was asked last. */
        private long mSpentBefore;

        private boolean mScarce;

        /** The units of the previous account that were not spent. */
        private long mPrevious;

        private long mRefusedUntil = Long.MIN_VALUE;
        private long mRefusedCost;
        private long mRetryAt;

        boolean hasWaiting() {
            return !mAsked.isEmpty() || !mWaiting.isEmpty();
        }

        long current(long validUntil, long now) {
            return now < validUntil ? mGranted - mSpent - mReturned : 0;
        }
    }
}
