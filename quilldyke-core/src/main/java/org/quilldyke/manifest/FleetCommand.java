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
import org.quilldyke.engine.ServedVersion;
import org.quilldyke.rollout.RolloutPhase;

/** A command of the replicated log that changes the state shared by all instances. */
public sealed interface FleetCommand {
    /**
     * Publishes a manifest.
     *
     * @param version its version; it is applied only if higher than the current one
     * @param document the manifest as written by the operator, compressed
     */
    record PublishManifest(long version, byte[] document) implements FleetCommand {}

    /** Sets the version of a model's weights that all engines should load. */
    record NameWeights(String model, long version) implements FleetCommand {}

    /**
     * Allocates a fencing number for orders to engines to load weights, higher than all previous
     * ones.
     *
     * @param holder the id of the control process that will send the orders
     */
    record TakeFence(String holder) implements FleetCommand {}

    /**
     * Orders a rollout. It is applied unless the service's latest rollout is the same order, or
     * another one of the service is running.
     *
     * @param service the name of the service
     * @param version the software version that is to serve the service
     * @param durationMillis the time within which it is to be completed or reverted
     */
    record StartRollout(String service, String version, long durationMillis)
            implements FleetCommand {}

    /**
     * Moves a rollout to another phase. It is applied if the rollout is the service's latest one
     * and {@link RolloutPhase#mayBecome} allows it.
     *
     * @param service the name of the service
     * @param index the log index of the rollout's order
     * @param phase the next phase
     * @param retired the versions whose targets get no requests any more
     */
    record SetRolloutPhase(String service, long index, RolloutPhase phase, List<String> retired)
            implements FleetCommand {
        /** Copies the versions. */
        public SetRolloutPhase {
            retired = List.copyOf(retired);
        }
    }

    /**
     * Records which software versions serve, or have served.
     *
     * @param changes the new standing of each version that changes
     * @param completes whether all versions that may have begun a resumable stream were observed
     */
    record RecordVersions(List<ServedVersion> changes, boolean completes) implements FleetCommand {
        /** Copies the changes. */
        public RecordVersions {
            changes = List.copyOf(changes);
        }
    }
}
