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

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Chooses which of the offered relays a request is sent through. */
public final class RelayChoice {
    /** A relay that failed isn't used again for this long. */
    static final long FAILED_MILLIS = 1000;

    /** A less preferred relay is used while the preferred one has this many more requests open. */
    static final int PREFERENCE_REQUESTS = 4;

    /** An offer that isn't renewed expires after this time, as its sender may have failed. */
    static final long OFFER_MILLIS = 4000;

    private static final int UNOFFERED = Integer.MAX_VALUE;

    private final Map<String, Relay> mRelays = new LinkedHashMap<>();
    private final Map<String, Offer> mOffers = new LinkedHashMap<>();

    private RelayChoice() {}

    /** Returns a choice without relays. */
    public static RelayChoice create() {
        return new RelayChoice();
    }

    /**
     * Applies an offer, which replaces the previous one of the same control process; offers of
     * several control processes add up, since each of them knows some of the entries.
     *
     * @param control the control process
     * @param addresses the addresses of relays, the preferred ones first
     */
    public void onOffer(String control, List<String> addresses, long now) {
        mOffers.put(control, new Offer(addresses, now + OFFER_MILLIS));
        mOffers.values().removeIf(offer -> now >= offer.expiresAt());
        mRelays.values().forEach(relay -> relay.mPlace = UNOFFERED);
        for (Offer offer : mOffers.values()) {
            for (int i = 0; i < offer.addresses().size(); i++) {
                Relay relay = mRelays.computeIfAbsent(offer.addresses().get(i), a -> new Relay());
                relay.mPlace = Math.min(relay.mPlace, i);
            }
        }
        mRelays.values().removeIf(relay -> relay.mOpen == 0 && relay.mPlace == UNOFFERED);
    }

    /** Returns whether a relay can be used. */
    public boolean isAvailable(long now) {
        return mRelays.values().stream().anyMatch(relay -> relay.isUsable(now));
    }

    /** Returns the relay for a request, empty if there is none beside the excluded ones. */
    public Optional<String> choose(Set<String> excluded, long now) {
        return mRelays.entrySet().stream()
                .filter(e -> e.getValue().isUsable(now) && !excluded.contains(e.getKey()))
                .min(Comparator.comparingInt(e -> e.getValue().cost()))
                .map(Map.Entry::getKey);
    }

    /** Records that a request is sent through a relay. */
    public void onOpened(String address) {
        mRelays.computeIfAbsent(address, a -> new Relay()).mOpen++;
    }

    /** Records that a request is no longer open at a relay. */
    public void onClosed(String address) {
        Relay relay = mRelays.get(address);
        if (relay != null) {
            relay.mOpen--;
        }
    }

    /** Records that a relay was out of reach, silent, or without a path of its own. */
    public void onFailed(String address, long now) {
        Relay relay = mRelays.get(address);
        if (relay != null) {
            relay.mFailedUntil = now + FAILED_MILLIS;
        }
    }

    private record Offer(List<String> addresses, long expiresAt) {}

    private static final class Relay {
        private int mPlace = UNOFFERED;
        private int mOpen;
        private long mFailedUntil = Long.MIN_VALUE;

        boolean isUsable(long now) {
            return mPlace != UNOFFERED && now >= mFailedUntil;
        }

        int cost() {
            return mOpen + PREFERENCE_REQUESTS * mPlace;
        }
    }
}
