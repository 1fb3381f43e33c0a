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
import java.util.List;
import org.quilldyke.routing.Distance;
import org.quilldyke.routing.Rendezvous;
import org.quilldyke.routing.Topology;

/**
 * Which entries a control process offers as relays to one that is partitioned from targets.
 *
 * <p>Half of them are in the failure domain of that entry, where a relayed byte is cheap, and half
 * are elsewhere, since a whole domain may be partitioned. Within each half the order is that of
 * {@link Rendezvous} hashing, so that partitioned entries use different relays.
 */
public final class RelayOffer {
    /** The number of relays that are offered at most at each distance. */
    static final int MAX_EACH = 3;

    private RelayOffer() {}

    /**
     * Returns the addresses of the relays for an entry, the preferred ones first: those in its
     * failure domain, then those in its region, then others.
     */
    public static List<String> of(Entry entry, Collection<Entry> all, Topology topology) {
        List<String> addresses = new ArrayList<>();
        for (Distance distance : Distance.values()) {
            addresses.addAll(ranked(entry, all, topology, distance));
        }
        return addresses;
    }

    private static List<String> ranked(
            Entry entry, Collection<Entry> all, Topology topology, Distance distance) {
        long key = entry.name().hashCode();
        return all.stream()
                .filter(other -> !other.name().equals(entry.name()))
                .filter(other -> !other.isPartitioned() && !other.relayAddress().isEmpty())
                .filter(
                        other ->
                                topology.distance(entry.failureDomain(), other.failureDomain())
                                        == distance)
                .sorted(
                        Comparator.comparing(
                                (Entry other) -> Rendezvous.rank(key, other.name()),
                                Long::compareUnsigned))
                .map(Entry::relayAddress)
                .distinct()
                .limit(MAX_EACH)
                .toList();
    }

    /**
     * An entry process.
     *
     * @param name its unique name
     * @param failureDomain its failure domain
     * @param relayAddress where it accepts requests of other entries, empty if it doesn't
     * @param isPartitioned whether it reaches no target of some service itself
     */
    public record Entry(
            String name, String failureDomain, String relayAddress, boolean isPartitioned) {
        /** Returns this entry with another state of its paths. */
        public Entry withPartitioned(boolean partitioned) {
            return new Entry(name, failureDomain, relayAddress, partitioned);
        }
    }
}
