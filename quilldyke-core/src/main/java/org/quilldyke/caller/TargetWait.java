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
package org.quilldyke.caller;

import java.util.OptionalLong;
import org.quilldyke.routing.TargetSelector;

/** Decides whether a request for which no target is available waits for one. */
final class TargetWait {
    /** A request waits for at most its latency objective divided by this. */
    private static final int OBJECTIVE_DIVISOR = 5;

    private static final long POLL_MILLIS = 20;

    private TargetWait() {}

    /**
     * Returns when to choose a target again; empty if the request isn't to wait, since its time is
     * over or all targets rest for longer.
     */
    static OptionalLong nextCheckAt(ForwardRequest request, TargetSelector targets, long now) {
        long maxWait = request.route().latencyObjectiveMillis() / OBJECTIVE_DIVISOR;
        long waitUntil = Math.min(request.arrivedAt() + maxWait, request.deadline());
        long restMillis = targets.restMillis(request.service(), now);
        return now + Math.max(POLL_MILLIS, restMillis) < waitUntil
                ? OptionalLong.of(now + POLL_MILLIS)
                : OptionalLong.empty();
    }
}
