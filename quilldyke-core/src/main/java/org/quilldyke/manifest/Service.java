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
 * @param engines what its targets are like, if they are engines
 * @param store the store of kept cache that the service is, if it is one
 */
public record Service(
        String name,
        String healthPath,
        int maxConnections,
        Optional<EngineShape> engines,
        Optional<KvStore> store) {
    /**
     * What the engines of a service are like.
     *
     * @param slots how many requests an engine runs at once
     * @param kvTokens how many tokens an engine's memory holds
     * @param bytesPerToken the size of a token's cache
     * @param linkMegabits the speed of an engine's link, in megabits a second
     * @param eventReaders how many calls for cache events an engine holds open at once
     * @param models the models that the engines run
     */
    public record EngineShape(
            int slots,
            long kvTokens,
            long bytesPerToken,
            double linkMegabits,
            int eventReaders,
            List<String> models) {
        /** Copies the models. */
        public EngineShape {
            models = List.copyOf(models);
        }
    }

    /**
     * A store of kept cache.
     *
     * @param address where engines reach it
     * @param failureDomain where it stands
     * @param kvTokens how many tokens it holds
     * @param linkMegabits the speed of its link, in megabits a second
     */
    public record KvStore(
            String address, String failureDomain, long kvTokens, double linkMegabits) {}
}
