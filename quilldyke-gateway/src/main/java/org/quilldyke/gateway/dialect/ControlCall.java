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
package org.quilldyke.gateway.dialect;

import org.quilldyke.engine.TargetReport;
import org.quilldyke.manifest.Manifest;

/** A call of an operator or a target to a control instance. */
public sealed interface ControlCall {
    /**
     * Publishes a manifest.
     *
     * @param manifest the manifest
     * @param document the same as the operator wrote it
     */
    record Publish(Manifest manifest, byte[] document) implements ControlCall {}

    /** Asks for the newest manifest. */
    record Read() implements ControlCall {}

    /** Names new weights of a model. */
    record NameWeights(String model, long version) implements ControlCall {}

    /**
     * Orders that a service's traffic move to another software version.
     *
     * @param service the name of the service
     * @param version the software version that its targets report
     * @param durationMillis the time within which the rollout is to be completed or reverted
     */
    record StartRollout(String service, String version, long durationMillis)
            implements ControlCall {}

    /** Asks for the latest rollout of a service. */
    record ReadRollout(String service) implements ControlCall {}

    /**
     * Reports that a target lives.
     *
     * @param report what it says of itself
     * @param tellsWeights whether it says which weights it holds, be it none
     */
    record Report(TargetReport report, boolean tellsWeights) implements ControlCall {}

    /** Reports that a target is gone; without a birth, the one that is known under the id. */
    record Leave(String target) implements ControlCall {}
}
