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

/** Where an instance is among the regions of its fleet. */
public record Location(String failureDomain, Topology topology, Affinity affinity) {
    /** Returns a location in a fleet with the default choice of preferred targets. */
    public static Location of(String failureDomain, Topology topology) {
        return new Location(failureDomain, topology, Affinity.DEFAULT);
    }

    /** Returns a location in a fleet of one region. */
    public static Location inOneRegion(String failureDomain) {
        return of(failureDomain, Topology.ONE_REGION);
    }

    /** Returns how far a target in another failure domain is from here. */
    Distance distanceTo(String otherDomain) {
        return topology.distance(failureDomain, otherDomain);
    }

    /** Returns whether a failure domain is in the region of this location. */
    boolean isInRegion(String otherDomain) {
        return distanceTo(otherDomain) != Distance.OTHER_REGION;
    }

    boolean hasRegions() {
        return topology.hasRegions();
    }
}
