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

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;

/** Validation of manifests. */
public final class ManifestRules {
    private ManifestRules() {}

    /**
     * Checks a manifest.
     *
     * @throws QuilldykeException {@link ResultCode#MANIFEST_INVALID} with the first violation
     */
    public static void check(Manifest manifest) throws QuilldykeException {
        Optional<String> violation = findViolation(manifest);
        if (violation.isPresent()) {
            throw QuilldykeException.notRun(ResultCode.MANIFEST_INVALID, violation.get());
        }
    }

    /** Returns a description of the first violation in a manifest. */
    public static Optional<String> findViolation(Manifest manifest) {
        Set<String> services = new HashSet<>();
        for (Service service : manifest.services()) {
            if (!services.add(service.name())) {
                return Optional.of("service " + service.name() + " is declared twice");
            }
        }
        Set<String> hostsAndPrefixes = new HashSet<>();
        for (Route route : manifest.routes()) {
            Optional<String> violation = findViolation(route, services);
            if (violation.isPresent()) {
                return violation;
            }
            if (!hostsAndPrefixes.add(route.host() + " " + route.pathPrefix())) {
                return Optional.of(
                        "route " + route.name() + " has the same host and path prefix as another");
            }
        }
        return findViolation(manifest.organisations());
    }

    private static Optional<String> findViolation(Route route, Set<String> services) {
        String label = "route " + route.name();
        for (Route.Share share : route.shares()) {
            if (!services.contains(share.service())) {
                return Optional.of(label + " names the unknown service " + share.service());
            }
            if (share.weight() < 0) {
                return Optional.of(label + " has a negative weight");
            }
        }
        if (route.totalWeight() <= 0) {
            return Optional.of(label + " has no positive weight");
        }
        if (route.timeoutMillis() <= 0) {
            return Optional.of(label + " has no positive timeout");
        }
        String prefix = route.pathPrefix();
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            return Optional.of(
                    label + " has a path prefix that does not start and end with a slash");
        }
        return Optional.empty();
    }

    private static Optional<String> findViolation(List<Organisation> organisations) {
        Map<String, String> ownersByKey = new HashMap<>();
        Set<String> names = new HashSet<>();
        for (Organisation organisation : organisations) {
            if (!names.add(organisation.name())) {
                return Optional.of("organisation " + organisation.name() + " is declared twice");
            }
            for (String key : organisation.keys()) {
                if (ownersByKey.putIfAbsent(key, organisation.name()) != null) {
                    return Optional.of(
                            "organisation " + organisation.name() + " shares a key with another");
                }
            }
        }
        return Optional.empty();
    }
}
