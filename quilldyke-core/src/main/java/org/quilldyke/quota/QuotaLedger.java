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

/**
 * The quotas at the leader, which grants units of them to control processes.
 *
 * <p>Each control process has an account, which is valid for {@link #LEASE_MILLIS} after its last
 * request. All state is lost with the leadership: a new leader starts without available units, so
 * that it can't grant any twice, and receives them at the rate of the quotas. What the former
 * leader granted expires within the lease.
 *
 * <p>A leader may use the ledger only while it holds the leader lease.
 */
public final class QuotaLedger {
    /** Granted units are valid for this long after the request for them was sent. */
    public static final long LEASE_MILLIS = 800;

    /** Bits of an account's number that distinguish the accounts of one leader. */
    private static final int ACCOUNT_BITS = 24;

    private final QuotaTolerance mTolerance;
    private final Map<String, QuotaBucket> mBuckets = new HashMap<>();
    private final Map<String, Account> mAccounts = new HashMap<>();
    private Map<String, Quota> mQuotas = Map.of();
    private long mTerm;
    private long mAccountCount;

    private QuotaLedger(QuotaTolerance tolerance) {
        mTolerance = tolerance;
    }

    /** Returns a ledger without quotas. */
    public static QuotaLedger create(QuotaTolerance tolerance) {
        return new QuotaLedger(tolerance);
    }

    /**
     * Starts without available units and without accounts.
     *
     * @param term the leader's term, higher than that of all former leaders
     */
    public void onElected(long term, long now) {
        mTerm = term;
        mAccountCount = 0;
        mAccounts.clear();
        mBuckets.clear();
        createBuckets(now);
    }

    /** Applies the quotas of the current configuration, by organisation. */
    public void onQuotas(Map<String, Quota> quotas, long now) {
        mQuotas = Map.copyOf(quotas);
        if (!mQuotas.keySet().containsAll(mBuckets.keySet())) {
            // A quota that is removed and set again must not continue with the same totals.
            mAccounts.values().forEach(this::close);
            mAccounts.clear();
            mBuckets.keySet().retainAll(mQuotas.keySet());
        }
        mBuckets.forEach(
                (organisation, bucket) -> {
                    Quota quota = mQuotas.get(organisation);
                    bucket.onQuota(quota, mTolerance.capacity(quota), now);
                });
        createBuckets(now);
    }

    /**
     * Grants what is available of a control process's request.
     *
     * @param holder identifies the control process
     */
    public QuotaGrant onPull(String holder, QuotaPull pull, long now) {
        Account account = account(holder, pull, now);
        List<QuotaGrant.Item> granted = new ArrayList<>();
        for (QuotaPull.Item item : pull.items()) {
            QuotaBucket bucket = mBuckets.get(item.organisation());
            if (bucket != null) {
                granted.add(grant(account, bucket, item, pull.account() == account.mNumber, now));
            }
        }
        return new QuotaGrant(pull.number(), account.mNumber, granted);
    }

    private static QuotaGrant.Item grant(
            Account account,
            QuotaBucket bucket,
            QuotaPull.Item item,
            boolean sameAccount,
            long now) {
        Totals totals = account.mTotals.computeIfAbsent(item.organisation(), o -> new Totals());
        if (sameAccount) {
            long maxSpent = totals.mGranted - totals.mReturned;
            long spent = Math.min(maxSpent, Math.max(totals.mSpent, item.spent()));
            bucket.onSpent(spent - totals.mSpent);
            totals.mSpent = spent;
            long returned =
                    Math.min(
                            totals.mGranted - totals.mSpent,
                            Math.max(totals.mReturned, item.returned()));
            bucket.onReturned(Math.max(0, returned - totals.mReturned));
            totals.mReturned = Math.max(totals.mReturned, returned);
        }
        long granted = bucket.grant(item, now);
        totals.mGranted += granted;
        long missing = Math.max(0, item.minNeeded() - granted);
        return new QuotaGrant.Item(
                item.organisation(),
                totals.mGranted,
                bucket.isScarce(),
                bucket.millisUntilAvailable(missing));
    }

    /** Returns the holder's account, a new one if its request belongs to another or it expired. */
    private Account account(String holder, QuotaPull pull, long now) {
        Account account = mAccounts.get(holder);
        boolean valid =
                account != null
                        && pull.account() == account.mNumber
                        && now - account.mUsedAt < LEASE_MILLIS;
        if (!valid) {
            if (account != null) {
                close(account);
            }
            mAccountCount++;
            account = new Account((mTerm << ACCOUNT_BITS) + mAccountCount);
            mAccounts.put(holder, account);
        }
        account.mUsedAt = now;
        return account;
    }

    private void close(Account account) {
        account.mTotals.forEach(
                (organisation, totals) ->
                        mBuckets.get(organisation)
                                .closeAccount(
                                        totals.mGranted - totals.mSpent - totals.mReturned,
                                        account.mUsedAt + LEASE_MILLIS));
    }

    private void createBuckets(long now) {
        mQuotas.forEach(
                (organisation, quota) ->
                        mBuckets.computeIfAbsent(
                                organisation,
                                o ->
                                        QuotaBucket.createEmpty(
                                                quota, mTolerance.capacity(quota), now)));
    }

    private static final class Account {
        private final long mNumber;
        private final Map<String, Totals> mTotals = new HashMap<>();
        private long mUsedAt;

        Account(long number) {
            mNumber = number;
        }
    }

    private static final class Totals {
        private long mGranted;
        private long mSpent;
        private long mReturned;
    }
}
