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
package org.quilldyke.testkit.engine;

import java.util.List;

/**
 * What an engine stand-in is and how fast.
 *
 * @param id the target's id
 * @param cell its cell
 * @param service its service
 * @param address where it listens, {@code IP:port}
 * @param failureDomain where it stands
 * @param instances the entry instances at which it announces itself, {@code IP:port} each
 * @param model the model it runs
 * @param weights the weight version it starts with
 * @param slots requests in the batch
 * @param prefillUnitsPerMilli prompt units computed in a millisecond
 * @param tokenMillis time between tokens of one request
 * @param cacheBlocks blocks the cache holds
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param eventLagMillis how late cache events and load reports are
 * @param eventLossPerMille how many of a thousand cache events are lost
 * @param weightStore where weights are loaded from, {@code IP:port}; empty to load them at once
 */
public record EngineSettings(
        String id,
        String cell,
        String service,
        String address,
        String failureDomain,
        List<String> instances,
        String model,
        String weights,
        int slots,
        int prefillUnitsPerMilli,
        int tokenMillis,
        int cacheBlocks,
        boolean checksFencing,
        int eventLagMillis,
        int eventLossPerMille,
        String weightStore) {}
