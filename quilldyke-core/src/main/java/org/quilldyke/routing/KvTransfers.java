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

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.quilldyke.manifest.Service;

/**
 * Rates transfers of KV cache by the bytes per token of a service, the bandwidth of the links and
 * the distance. In a fleet of one region, the constants of {@link CostModel} apply.
 */
final class KvTransfers {
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MILLI_AND_MEGABIT = 1000;

    /** The constants of {@link CostModel} are those between the failure domains of a region. */
    private static final Distance DISTANCE_OF_CONSTANTS = Distance.SAME_REGION;

    private final Map<String, Service.EngineSpec> mEngines = new HashMap<>();
    private double mStoreMegabitsPerSecond;

    /** Applies the services of the manifest. */
    void onServices(List<Service> services) {
        mEngines.clear();
        mStoreMegabitsPerSecond = 0;
        for (Service service : services) {
            service.engineSpec().ifPresent(spec -> mEngines.put(service.name(), spec));
            service.kvStore()
                    .ifPresent(store -> mStoreMegabitsPerSecond = store.linkMegabitsPerSecond());
        }
    }

    /** Returns how long an engine of a service fetches a token from another one. */
    double engineMillisPerToken(String service, Distance distance) {
        Service.EngineSpec spec = mEngines.get(service);
        double megabits = spec == null ? 0 : spec.linkMegabitsPerSecond();
        return millisPerToken(spec, megabits, distance, CostModel.ENGINE_FETCH_MILLIS_PER_TOKEN);
    }

    /** Returns how long an engine of a service fetches a token from the store. */
    double storeMillisPerToken(String service, Distance distance) {
        Service.EngineSpec spec = mEngines.get(service);
        double megabits =
                spec == null ? 0 : Math.min(spec.linkMegabitsPerSecond(), mStoreMegabitsPerSecond);
        return millisPerToken(spec, megabits, distance, CostModel.STORE_FETCH_MILLIS_PER_TOKEN);
    }

    private static double millisPerToken(
            Service.EngineSpec spec, double megabits, Distance distance, double otherwise) {
        if (megabits <= 0 || spec.kvBytesPerToken() <= 0) {
            return otherwise
                    * distance.transferSlowdown()
                    / DISTANCE_OF_CONSTANTS.transferSlowdown();
        }
        double millis =
                spec.kvBytesPerToken() * BITS_PER_BYTE / (megabits * BITS_PER_MILLI_AND_MEGABIT);
        return millis * distance.transferSlowdown();
    }
}
