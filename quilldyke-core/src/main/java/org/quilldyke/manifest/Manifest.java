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
import java.util.List;
import java.util.Map;
import org.quilldyke.quota.Quota;

/**
 * One version of the operators' declarations.
 *
 * @param version a number that grows with each change
 * @param routes the routes
 * @param services the services
 * @param organisations the organisations that may send requests; if empty, no key is required
 * @param limits the limits on callers' requests
 */
public record Manifest(
        long version,
        List<Route> routes,
        List<Service> services,
        List<Organisation> organisations,
        Limits limits) {
    /** Copies the lists. */
    public Manifest {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        organisations = List.copyOf(organisations);
    }

    /** Returns the quotas of the organisations that have one, by their names. */
    public Map<String, Quota> quotas() {
        Map<String, Quota> quotas = new HashMap<>();
        for (Organisation organisation : organisations) {
            organisation.quota().ifPresent(quota -> quotas.put(organisation.name(), quota));
        }
        return quotas;
    }
}
