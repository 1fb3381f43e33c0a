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
import org.quilldyke.routing.Distance;
import org.quilldyke.routing.Topology;

/**
 * Chooses the control processes to which an entry, a process that accepts callers' requests, keeps
 * streams (links).
 *
 * <p>A link works only if the control process confirms that its state is current: one without a
 * leader still answers but confirms nothing, and one whose machine has failed does not even refuse
 * connections. While no process confirms, the planner opens more links at a time, up to two more
 * than the tolerated losses. It tries the least recently tried address first, so that no address is
 * retried before all others were tried.
 */
public final class ControlLinkPlanner {
    /** One more than needed, so that the loss of one has no effect. */
    static final int NORMAL_LINKS = 2;

    /** A stream without a confirmation for this long is replaced. */
    static final long LINK_TIMEOUT_MILLIS = 1500;

    /** Without any confirmation for this long, streams to more processes are opened. */
    static final long CONFIRMATION_MAX_AGE_MILLIS = 1000;

    /** The interval at which streams to further processes are opened during a search. */
    static final long SEARCH_STEP_MILLIS = 250;

    /** An address whose stream was not confirmed is tried after others for this long. */
    static final long FAILURE_BACKOFF_MILLIS = 5000;

    /**
     * An address that was last listed this long before the latest list is treated as unreachable
     * for the control processes.
     */
    static final long UNLISTED_MILLIS = 2000;

    /** How long an address is kept that is neither a seed nor listed by a control process. */
    static final long ADDRESS_RETENTION_MILLIS = 120_000;

    private static final long NEVER = Long.MIN_VALUE;

    private final String mFailureDomain;
    private final Topology mTopology;
    private final int mMaxLinks;
    private final int mStartOffset;
    private final Map<String, AddressState> mAddresses = new LinkedHashMap<>();
    private final Map<String, Link> mLinks = new LinkedHashMap<>();
    private long mConfirmedAt;
    private long mLastListAt;

    private ControlLinkPlanner(
            String failureDomain,
            Topology topology,
            int toleratedLosses,
            int startOffset,
            long now) {
        mFailureDomain = failureDomain;
        mTopology = topology;
        mMaxLinks = NORMAL_LINKS + toleratedLosses;
        mStartOffset = startOffset;
        mConfirmedAt = now;
        mLastListAt = now;
    }

    /**
     * Returns a planner that knows no control process yet.
     *
     * @param failureDomain the entry's failure domain; a control process there is preferred, since
     *     traffic between domains has a cost
     * @param topology the regions of failure domains; without one in the own failure domain, a
     *     control process in the own region is preferred
     * @param toleratedLosses the number of control processes that may be unavailable at once
     * @param startOffset the offset of the first choice among equal addresses, so that entries
     *     spread over them
     * @param now the current time in monotonic milliseconds, as in all other calls
     */
    public static ControlLinkPlanner create(
            String failureDomain,
            Topology topology,
            int toleratedLosses,
            int startOffset,
            long now) {
        return new ControlLinkPlanner(failureDomain, topology, toleratedLosses, startOffset, now);
    }

    /** Sets the seed addresses from the settings; former seeds are treated as other addresses. */
    public void onSeeds(Collection<String> addresses, long now) {
        mAddresses.values().forEach(state -> state.mIsSeed = false);
        for (String address : addresses) {
            addressState(address, now).mIsSeed = true;
        }
    }

    /** Records the addresses that a control process reports as reachable. */
    public void onReachableAddresses(Collection<String> addresses, long now) {
        mLastListAt = now;
        addresses.forEach(address -> addressState(address, now).mListedAt = now);
    }

    /** Records the failure domain of a control process. */
    public void onFailureDomain(String address, String failureDomain, long now) {
        addressState(address, now).mDomain = failureDomain;
    }

    /**
     * Records that a control process has confirmed that its state is current.
     *
     * @param askedAt when the request for this confirmation was sent
     */
    public void onConfirmed(String address, long askedAt) {
        mConfirmedAt = Math.max(mConfirmedAt, askedAt);
        Link link = mLinks.get(address);
        if (link != null) {
            link.mConfirmedAt = Math.max(link.mConfirmedAt, askedAt);
        }
    }

    /** Returns whether a control process is known to be nearer than another one. */
    public boolean isNearer(String address, String other) {
        return distance(address).compareTo(distance(other)) < 0;
    }

    /** Returns how far a control process is; the farthest possible if its domain is unknown. */
    private Distance distance(String address) {
        AddressState state = mAddresses.get(address);
        if (state == null || state.mDomain == null) {
            return mTopology.hasRegions() ? Distance.OTHER_REGION : Distance.SAME_REGION;
        }
        return mTopology.distance(mFailureDomain, state.mDomain);
    }

    /** Returns how far a control process is; the nearest possible if its domain is unknown. */
    private Distance leastDistance(String address) {
        AddressState state = mAddresses.get(address);
        return state.mDomain == null ? Distance.SAME_DOMAIN : distance(address);
    }

    /**
     * The same, without distinction between failure domains of the own region once there is a link
     * in the own domain: further links needn't be there as well.
     */
    private Distance leastDistance(String address, boolean hasOwnDomainLink, long now) {
        AddressState state = mAddresses.get(address);
        if (state.hasFailed(now) || isUnlisted(state)) {
            return Distance.OTHER_REGION;
        }
        Distance least = leastDistance(address);
        return hasOwnDomainLink && least == Distance.SAME_DOMAIN ? Distance.SAME_REGION : least;
    }

    private Distance distanceOfNearestLink() {
        return mLinks.keySet().stream()
                .map(this::distance)
                .min(Comparator.naturalOrder())
                .orElse(Distance.OTHER_REGION);
    }

    /** Returns the time since the latest confirmed request for confirmation was sent. */
    public long unconfirmedMillis(long now) {
        return now - mConfirmedAt;
    }

    /** Returns the number of known addresses. */
    public int addressCount() {
        return mAddresses.size();
    }

    /** Returns the streams to close and to open; the planner treats both as done. */
    public Plan plan(long now) {
        expireAddresses(now);
        List<String> close = closeUnconfirmed(now);
        close.addAll(closeSurplus(now));
        List<String> open = new ArrayList<>();
        int wanted = wantedLinks(now);
        while (mLinks.size() < wanted) {
            Optional<String> next = nextAddress(now);
            if (next.isEmpty()) {
                break;
            }
            mLinks.put(next.get(), new Link(now));
            mAddresses.get(next.get()).mTriedAt = now;
            open.add(next.get());
        }
        return new Plan(close, open);
    }

    private AddressState addressState(String address, long now) {
        return mAddresses.computeIfAbsent(address, key -> new AddressState(now));
    }

    private void expireAddresses(long now) {
        mAddresses
                .entrySet()
                .removeIf(
                        entry ->
                                !entry.getValue().mIsSeed
                                        && !mLinks.containsKey(entry.getKey())
                                        && now - entry.getValue().mListedAt
                                                > ADDRESS_RETENTION_MILLIS);
    }

    private List<String> closeUnconfirmed(long now) {
        List<String> closed = new ArrayList<>();
        mLinks.forEach(
                (address, link) -> {
                    if (now - Math.max(link.mOpenedAt, link.mConfirmedAt) > LINK_TIMEOUT_MILLIS) {
                        closed.add(address);
                        mAddresses.get(address).mFailedAt = now;
                    }
                });
        closed.forEach(mLinks::remove);
        return closed;
    }

    /** Of surplus confirmed streams, keeps the nearest, then the oldest. */
    private List<String> closeSurplus(long now) {
        List<String> surplus =
                mLinks.entrySet().stream()
                        .filter(entry -> entry.getValue().isConfirmed(now))
                        .map(Map.Entry::getKey)
                        .sorted(Comparator.comparing(this::distance))
                        .skip(NORMAL_LINKS)
                        .toList();
        surplus.forEach(mLinks::remove);
        return surplus;
    }

    /**
     * Returns the number of links to keep. If the normal links are confirmed, one more is opened to
     * a process that may be nearer than all of them; confirmed links beyond the normal number are
     * closed later.
     */
    private int wantedLinks(long now) {
        long searchMillis = unconfirmedMillis(now) - CONFIRMATION_MAX_AGE_MILLIS;
        if (searchMillis >= 0) {
            return (int) Math.min(mMaxLinks, NORMAL_LINKS + 1 + searchMillis / SEARCH_STEP_MILLIS);
        }
        long confirmed = mLinks.values().stream().filter(link -> link.isConfirmed(now)).count();
        boolean onlyNormalLinksConfirmed =
                confirmed == NORMAL_LINKS && mLinks.size() == NORMAL_LINKS;
        Distance nearest = distanceOfNearestLink();
        return onlyNormalLinksConfirmed
                        && mAddresses.keySet().stream()
                                .anyMatch(address -> mayBeNearer(address, nearest, now))
                ? NORMAL_LINKS + 1
                : Math.max(NORMAL_LINKS, mLinks.size());
    }

    /** Returns whether an address without a stream is, or may be, nearer than others. */
    private boolean mayBeNearer(String address, Distance nearest, long now) {
        AddressState state = mAddresses.get(address);
        return !mLinks.containsKey(address)
                && !state.hasFailed(now)
                && !isUnlisted(state)
                && leastDistance(address).compareTo(nearest) < 0;
    }

    private boolean isUnlisted(AddressState state) {
        return mLastListAt - state.mListedAt > UNLISTED_MILLIS;
    }

    private Optional<String> nextAddress(long now) {
        List<String> all = new ArrayList<>(mAddresses.keySet());
        List<String> unlinked = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            String address = all.get(Math.floorMod((long) mStartOffset + i, all.size()));
            if (!mLinks.containsKey(address)) {
                unlinked.add(address);
            }
        }
        boolean hasOwnDomainLink = distanceOfNearestLink() == Distance.SAME_DOMAIN;
        Comparator<String> preference =
                Comparator.<String, Boolean>comparing(
                                address -> mAddresses.get(address).hasFailed(now))
                        .thenComparing(address -> isUnlisted(mAddresses.get(address)))
                        .thenComparing(address -> leastDistance(address, hasOwnDomainLink, now))
                        .thenComparing(address -> mAddresses.get(address).mTriedAt);
        return unlinked.stream().min(preference);
    }

    /**
     * The streams to change.
     *
     * @param close addresses whose streams are to be closed
     * @param open addresses to which streams are to be opened
     */
    public record Plan(List<String> close, List<String> open) {}

    /** The state of an address. */
    private static final class AddressState {
        private String mDomain;
        private boolean mIsSeed;
        private long mListedAt;
        private long mTriedAt = NEVER;
        private long mFailedAt = NEVER;

        AddressState(long listedAt) {
            mListedAt = listedAt;
        }

        boolean hasFailed(long now) {
            return mFailedAt != NEVER && now - mFailedAt < FAILURE_BACKOFF_MILLIS;
        }
    }

    /** The state of a stream. */
    private static final class Link {
        private final long mOpenedAt;
        private long mConfirmedAt = NEVER;

        Link(long openedAt) {
            mOpenedAt = openedAt;
        }

        boolean isConfirmed(long now) {
            return mConfirmedAt != NEVER && now - mConfirmedAt <= CONFIRMATION_MAX_AGE_MILLIS;
        }
    }
}
