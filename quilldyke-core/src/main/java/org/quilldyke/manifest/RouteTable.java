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
package org.quilldyke.manifest;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/** A manifest made ready to look up routes, services and keys. Immutable. */
public final class RouteTable {
    private final Manifest mManifest;
    private final Map<String, List<Route>> mRoutesByHost = new HashMap<>();
    private final Map<String, Service> mServices = new HashMap<>();
    private final Map<String, Organisation> mOrganisationsByKey = new HashMap<>();
    private final String mSharedCacheScope;

    private RouteTable(Manifest manifest) {
        mManifest = manifest;
        mSharedCacheScope = sharedCacheScopeOf(manifest);
        for (Route route : manifest.routes()) {
            mRoutesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
        mRoutesByHost.values().forEach(routes -> routes.sort(longestFirst));
        manifest.services().forEach(service -> mServices.put(service.name(), service));
        for (Organisation organisation : manifest.organisations()) {
            organisation.keys().forEach(key -> mOrganisationsByKey.put(key, organisation));
        }
    }

    /** Returns the table of a manifest that was checked. */
    public static RouteTable of(Manifest manifest) {
        return new RouteTable(manifest);
    }

    /** Returns the manifest. */
    public Manifest manifest() {
        return mManifest;
    }

    /**
     * Returns the route of a request: among those of its host, the one with the longest prefix.
     *
     * @param host as the request names it, with or without a port
     * @param path without a query
     */
    public Optional<Route> route(String host, String path) {
        for (Route route : mRoutesByHost.getOrDefault(hostName(host), List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns a service by its name. */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns who holds a key. */
    public Optional<Organisation> organisationOfKey(String key) {
        return Optional.ofNullable(mOrganisationsByKey.get(key));
    }

    /** Returns whether requests need a key, but for those of open routes. */
    public boolean requiresKeys() {
        return !mManifest.organisations().isEmpty();
    }

    /**
     * Returns the name under which organisations that aren't isolated share cached prompts. It is
     * another one whenever an organisation is isolated or no longer so: what it left in the common
     * cache, or would find there, belongs to others.
     */
    public String sharedCacheScope() {
        return mSharedCacheScope;
    }

    private static String sharedCacheScopeOf(Manifest manifest) {
        TreeSet<String> isolated = new TreeSet<>();
        manifest.organisations().stream()
                .filter(Organisation::isolated)
                .forEach(organisation -> isolated.add(organisation.name()));
        return isolated.isEmpty()
                ? ""
                : Long.toHexString(
                        Hashing.wyhashFinal4().hashCharsToLong(String.join(" ", isolated)));
    }

    private static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon > 0 ? host.substring(0, colon) : host;
        return name.toLowerCase(Locale.ROOT);
    }
}
