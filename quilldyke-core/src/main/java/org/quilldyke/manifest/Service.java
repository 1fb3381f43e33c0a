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
 * A group of targets that serve the same requests.
 *
 * @param name the service's unique name
 * @param healthPath the path of a target's health check
 * @param maxConnections the maximum number of connections to a target from all instances together;
 *     0 if not set
 * @param engineSpec the properties of its targets, if they are engines
 * @param kvStore the KV cache store, if the service is one
 */
public record Service(
        String name,
        String healthPath,
        int maxConnections,
        Optional<EngineSpec> engineSpec,
        Optional<KvStore> kvStore) {
    /**
     * The properties of a service's engines.
     *
     * @param slots the number of requests that an engine runs concurrently
     * @param kvCapacityTokens the capacity of an engine's KV cache, in tokens
     * @param kvBytesPerToken the size of one token in the KV cache, in bytes
     * @param linkMegabitsPerSecond the bandwidth of an engine's network link
     * @param maxEventCalls the number of concurrent calls for cache events that an engine allows
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
     * A store of KV cache blocks outside of the engines.
     *
     * @param address the address at which engines reach it
     * @param failureDomain its failure domain
     * @param kvCapacityTokens its capacity, in tokens
     * @param linkMegabitsPerSecond the bandwidth of its network link
     */
    public record KvStore(
            String address,
            String failureDomain,
            long kvCapacityTokens,
            double linkMegabitsPerSecond) {}
}
