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

/** A change of the state that all instances share, as an entry of the replicated log. */
public sealed interface FleetCommand {
    /**
     * Publishes a manifest.
     *
     * @param version its version; only a higher one than the present replaces it
     * @param document the manifest as its operator wrote it, compressed
     */
    record PublishManifest(long version, byte[] document) implements FleetCommand {}

    /** Names the version of a model's weights that all engines shall hold. */
    record NameWeights(String model, long version) implements FleetCommand {}

    /** Takes a fencing number, higher than all before, for orders to engines. */
    record TakeFence(String holder) implements FleetCommand {}
}
