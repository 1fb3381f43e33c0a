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
package org.quilldyke.instance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides to which control processes an entry keeps streams.
 *
 * <p>A control process that has lost its leader still speaks, but confirms nothing; one that was
 * lost with its machine doesn't even refuse a connection. So only confirmations count. While none
 * comes, more processes are asked at once, up to two more than may be lost, those that were tried
 * least recently first: no address is tried again before all others were.
 */
public final class ControlLinkPlanner {
    /** One more than needed, so that the loss of one goes unnoticed. */
    static final int LINKS = 2;

    /** A control process that confirms nothing for this long is left for another. */
    static final long UNCONFIRMED_MILLIS = 1500;

    /** Without any confirmation for this long, more control processes are asked at once. */
    static final long SEARCH_MILLIS = 1000;

    /** So long after the one before, another one is asked. */
    static final long SEARCH_STEP_MILLIS = 250;

    /** A control process that confirmed nothing is tried after others for this long. */
    static final long RETRY_MILLIS = 5000;

    /** An address that control processes have left out for this long is out of their reach. */
    static final long ABSENT_MILLIS = 2000;

    /** An address that is neither a seed nor told by a control process is dropped after this. */
    static final long FORGET_MILLIS = 120_000;

    private static final long NEVER = Long.MIN_VALUE;

    private final String mFailureDomain;
    private final int mMaxLinks;
    private final int mFirst;
    private final Map<String, Known> mKnown = new LinkedHashMap<>();
    private final Map<String, Link> mLinks = new LinkedHashMap<>();
    private long mConfirmedAt;
    private long mToldAt;

    private ControlLinkPlanner(String failureDomain, int toleratedLosses, int first, long now) {
        mFailureDomain = failureDomain;
        mMaxLinks = LINKS + toleratedLosses;
        mFirst = first;
        mConfirmedAt = now;
        mToldAt = now;
    }

    /**
     * Returns a planner that knows no control process yet.
     *
     * @param failureDomain where the entry stands; a control process there is preferred, since what
     *     crosses to another domain costs
     * @param toleratedLosses how many control processes may be lost at once
     * @param first where among equal addresses to begin, so that entries spread over them
     * @param now the present time in monotonic milliseconds, as in all other calls
     */
    public static ControlLinkPlanner create(
            String failureDomain, int toleratedLosses, int first, long now) {
        return new ControlLinkPlanner(failureDomain, toleratedLosses, first, now);
    }

    /** Takes the addresses that the settings name; those named before are ordinary ones now. */
    public void onSeeds(Collection<String> addresses, long now) {
        mKnown.values().forEach(known -> known.mSeed = false);
        for (String address : addresses) {
            known(address, now).mSeed = true;
        }
    }

    /** Takes the addresses that a control process has in reach. */
    public void onTold(Collection<String> addresses, long now) {
        mToldAt = now;
        addresses.forEach(address -> known(address, now).mToldAt = now);
    }

    /** Notes in which failure domain a control process stands. */
    public void onDomain(String address, String failureDomain, long now) {
        known(address, now).mDomain = failureDomain;
    }

    /**
     * Notes that a control process has confirmed what it told.
     *
     * @param askedAt when it was asked
     */
    public void onConfirmed(String address, long askedAt) {
        mConfirmedAt = Math.max(mConfirmedAt, askedAt);
        Link link = mLinks.get(address);
        if (link != null) {
            link.mConfirmedAt = Math.max(link.mConfirmedAt, askedAt);
        }
    }

    /** Returns whether a control process is known to stand in the entry's failure domain. */
    public boolean isNear(String address) {
        Known known = mKnown.get(address);
        return known != null && mFailureDomain.equals(known.mDomain);
    }

    /** Returns the time since a question was sent that any control process has confirmed. */
    public long unconfirmedMillis(long now) {
        return now - mConfirmedAt;
    }

    /** Returns how many addresses are known. */
    public int known() {
        return mKnown.size();
    }

    /** Returns which streams to close and to open now; both count as done. */
    public Plan plan(long now) {
        forgetOld(now);
        List<String> close = closeUnconfirmed(now);
        close.addAll(closeSurplus(now));
        List<String> open = new ArrayList<>();
        int wanted = wanted(now);
        while (mLinks.size() < wanted) {
            Optional<String> next = next(now);
            if (next.isEmpty()) {
                break;
            }
            mLinks.put(next.get(), new Link(now));
            mKnown.get(next.get()).mTriedAt = now;
            open.add(next.get());
        }
        return new Plan(close, open);
    }

    private Known known(String address, long now) {
        return mKnown.computeIfAbsent(address, key -> new Known(now));
    }

    private void forgetOld(long now) {
        mKnown.entrySet()
                .removeIf(
                        entry ->
                                !entry.getValue().mSeed
                                        && !mLinks.containsKey(entry.getKey())
                                        && now - entry.getValue().mToldAt > FORGET_MILLIS);
    }

    private List<String> closeUnconfirmed(long now) {
        List<String> closed = new ArrayList<>();
        mLinks.forEach(
                (address, link) -> {
                    if (now - Math.max(link.mOpenedAt, link.mConfirmedAt) > UNCONFIRMED_MILLIS) {
                        closed.add(address);
                        mKnown.get(address).mFailedAt = now;
                    }
                });
        closed.forEach(mLinks::remove);
        return closed;
    }

    /** Of more than enough streams that are confirmed, the near and the old ones stay. */
    private List<String> closeSurplus(long now) {
        List<String> surplus =
                mLinks.entrySet().stream()
                        .filter(entry -> entry.getValue().isConfirmed(now))
                        .map(Map.Entry::getKey)
                        .sorted(Comparator.comparing(address -> !isNear(address)))
                        .skip(LINKS)
                        .toList();
        surplus.forEach(mLinks::remove);
        return surplus;
    }

    private int wanted(long now) {
        long searching = unconfirmedMillis(now) - SEARCH_MILLIS;
        if (searching >= 0) {
            return (int) Math.min(mMaxLinks, LINKS + 1 + searching / SEARCH_STEP_MILLIS);
        }
        long confirmed = mLinks.values().stream().filter(link -> link.isConfirmed(now)).count();
        boolean settled = confirmed == LINKS && mLinks.size() == LINKS;
        boolean near = mLinks.keySet().stream().anyMatch(this::isNear);
        return settled && !near && mKnown.keySet().stream().anyMatch(key -> mayBeNear(key, now))
                ? LINKS + 1
                : Math.max(LINKS, mLinks.size());
    }

    /** Returns whether a free address is in the own failure domain, or may be. */
    private boolean mayBeNear(String address, long now) {
        Known known = mKnown.get(address);
        return !mLinks.containsKey(address)
                && !known.hasFailed(now)
                && !isAbsent(known)
                && (known.mDomain == null || known.mDomain.equals(mFailureDomain));
    }

    private boolean isAbsent(Known known) {
        return mToldAt - known.mToldAt > ABSENT_MILLIS;
    }

    private Optional<String> next(long now) {
        List<String> all = new ArrayList<>(mKnown.keySet());
        List<String> free = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            String address = all.get(Math.floorMod((long) mFirst + i, all.size()));
            if (!mLinks.containsKey(address)) {
                free.add(address);
            }
        }
        boolean near = mLinks.keySet().stream().anyMatch(this::isNear);
        Comparator<String> order =
                Comparator.<String, Boolean>comparing(key -> mKnown.get(key).hasFailed(now))
                        .thenComparing(key -> isAbsent(mKnown.get(key)))
                        .thenComparing(key -> !near && !mayBeNear(key, now))
                        .thenComparing(key -> mKnown.get(key).mTriedAt);
        return free.stream().min(order);
    }

    /**
     * What to change.
     *
     * @param close addresses whose streams are to be closed
     * @param open addresses to which streams are to be opened
     */
    public record Plan(List<String> close, List<String> open) {}

    /** What is known of an address. */
    private static final class Known {
        private String mDomain;
        private boolean mSeed;
        private long mToldAt;
        private long mTriedAt = NEVER;
        private long mFailedAt = NEVER;

        Known(long toldAt) {
            mToldAt = toldAt;
        }

        boolean hasFailed(long now) {
            return mFailedAt != NEVER && now - mFailedAt < RETRY_MILLIS;
        }
    }

    /** A stream. */
    private static final class Link {
        private final long mOpenedAt;
        private long mConfirmedAt = NEVER;

        Link(long openedAt) {
            mOpenedAt = openedAt;
        }

        boolean isConfirmed(long now) {
            return mConfirmedAt != NEVER && now - mConfirmedAt <= SEARCH_MILLIS;
        }
    }
}
