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

/** An immutable index of a manifest's routes, services and keys. */
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

    /** Returns the table of a valid manifest. */
    public static RouteTable of(Manifest manifest) {
        return new RouteTable(manifest);
    }

    /** Returns the manifest. */
    public Manifest manifest() {
        return mManifest;
    }

    /**
     * Returns the route of a request: the one of its host with the longest matching path prefix.
     *
     * @param host the host in the request, with or without a port
     * @param path the path without a query
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

    /** Returns the organisation to which a key belongs. */
    public Optional<Organisation> organisationOfKey(String key) {
        return Optional.ofNullable(mOrganisationsByKey.get(key));
    }

    /** Returns whether requests need a key, except on routes that allow anonymous requests. */
    public boolean requiresKeys() {
        return !mManifest.organisations().isEmpty();
    }

    /**
     * Returns the name under which organisations that are not isolated share cached prompts. It
     * changes with the set of isolated organisations: an organisation whose isolation changes must
     * not leave prompts in a cache that it shared, or find those of others there.
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
