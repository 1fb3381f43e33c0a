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

import java.util.HashSet;
import java.util.Map;

/**
 * Which failure domains belong to which region. With fewer than two regions, all domains belong to
 * one.
 */
public final class Topology {
    /** All failure domains are in one region. */
    public static final Topology ONE_REGION = of(Map.of());

    private final Map<String, String> mRegions;
    private final boolean mHasRegions;

    private Topology(Map<String, String> regions) {
        mRegions = Map.copyOf(regions);
        mHasRegions = new HashSet<>(regions.values()).size() > 1;
    }

    /**
     * Returns a topology.
     *
     * @param regions the region of each failure domain; a domain that isn't listed is a region of
     *     its own if there are two or more
     */
    public static Topology of(Map<String, String> regions) {
        return new Topology(regions);
    }

    /** Returns whether there are two regions or more. */
    public boolean hasRegions() {
        return mHasRegions;
    }

    /** Returns the region of a failure domain; the domain itself if none is configured. */
    public String region(String failureDomain) {
        return mRegions.getOrDefault(failureDomain, failureDomain);
    }

    /** Returns how far apart two failure domains are. */
    public Distance distance(String one, String other) {
        if (one.equals(other)) {
            return Distance.SAME_DOMAIN;
        }
        return !mHasRegions || region(one).equals(region(other))
                ? Distance.SAME_REGION
                : Distance.OTHER_REGION;
    }
}
