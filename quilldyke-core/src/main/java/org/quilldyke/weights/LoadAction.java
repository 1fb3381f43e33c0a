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
package org.quilldyke.weights;

/** An action that the {@link LoadPlanner} requests, so that engines load new weights. */
public sealed interface LoadAction {
    /** Returns the engine that it concerns. */
    String target();

    /**
     * Notify all instances that the engine is about to load weights, so that none sends it
     * requests.
     */
    record AnnounceLoading(String target) implements LoadAction {}

    /**
     * Notify all instances that the engine accepts requests again.
     *
     * @param version the version that it has loaded, 0 if the load was abandoned
     */
    record ReturnToService(String target, String model, long version) implements LoadAction {}

    /** Query the engine's status. */
    record QueryStatus(String target) implements LoadAction {}

    /**
     * Order the engine to load weights.
     *
     * @param revision the revision from its status, at which alone the order is valid: {@link
     *     EngineStatus#revision()}
     */
    record Order(String target, String model, long version, long revision) implements LoadAction {}
}
