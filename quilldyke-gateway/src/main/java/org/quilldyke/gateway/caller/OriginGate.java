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
package org.quilldyke.gateway.caller;

import java.util.List;
import java.util.function.Consumer;
import org.quilldyke.caller.OriginVerdict;
import org.quilldyke.caller.StreamOrigin;

/** Knows the origins of streams that other instances have begun. */
public interface OriginGate {
    /**
     * Determines which software version began a stream; the verdict is delivered on the traffic
     * thread, at once or later.
     *
     * @param attempt the caller's id of the attempt that brought the first event
     * @param organisation the organisation that resumes it, empty without one
     * @param service the service that runs it
     */
    void find(
            String attempt, String organisation, String service, Consumer<OriginVerdict> onVerdict);

    /** Publishes the origins of streams that this instance has begun. */
    void publish(List<StreamOrigin> origins);
}
