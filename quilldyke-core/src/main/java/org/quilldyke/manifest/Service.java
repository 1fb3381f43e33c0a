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

import java.util.List;
import java.util.Optional;

/**
 * A group of targets that answer the same requests.
 *
 * @param name names the service
 * @param healthPath where a target tells whether it is healthy
 * @param maxConnections how many connections a target takes from all instances together; 0 if
 *     nothing is said
 * @param engineSpec what its targets are like, if they are engines
 * @param kvStore the store of kept cache that the service is, if it is one
 */
public record Service(
        String name,
        String healthPath,
        int maxConnections,
        Optional<EngineSpec> engineSpec,
        Optional<KvStore> kvStore) {
    /**
     * What the engines of a service are like.
     *
     * @param slots how many requests an engine runs at once
     * @param kvCapacityTokens how many tokens an engine's memory holds
     * @param kvBytesPerToken the size of a token's cache
     * @param linkMegabitsPerSecond the speed of an engine's link, in megabits a second
     * @param maxEventCalls how many calls for cache events an engine holds open at once
     * @param models the models that the engines run
     */
    public record EngineSpec(
            int slots,
            long kvCapacityTokens,
            long kvBytesPerToken,
            double linkMegabitsPerSecond,
            int maxEventCalls,
            List<String> models) {
        /** Copies the models. */
        public EngineSpec {
            models = List.copyOf(models);
        }
    }

    /**
     * A store of kept cache.
     *
     * @param address where engines reach it
     * @param failureDomain where it stands
     * @param kvCapacityTokens how many tokens it holds
     * @param linkMegabitsPerSecond the speed of its link, in megabits a second
     */
    public record KvStore(
            String address,
            String failureDomain,
            long kvCapacityTokens,
            double linkMegabitsPerSecond) {}
}
