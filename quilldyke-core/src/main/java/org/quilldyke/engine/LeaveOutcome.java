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
package org.quilldyke.engine;

import java.util.Optional;

/**
 * The outcome of a target's leave notice.
 *
 * @param target the target to which it was applied: an incarnation's key, or the plain id
 * @param result the effect of the notice
 * @param suspension the suspension that it causes if its sender's incarnation is uncertain
 * @param needsPropagation whether it has to be sent to other processes
 */
public record LeaveOutcome(
        String target, Result result, Optional<Suspension> suspension, boolean needsPropagation) {
    /** Returns whether the target has left permanently. */
    public boolean hasDeparted() {
        return result != Result.SUSPENDED;
    }

    /** The effect of a leave notice. */
    public enum Result {
        /** The target was known, and is removed permanently. */
        ENDED,
        /** The sender's incarnation is uncertain: the target gets no new requests for a while. */
        SUSPENDED,
        /** The target was not known; its late reports are ignored. */
        UNKNOWN,
        /**
         * No incarnation of the id is known. If one becomes known soon, it gets no new requests for
         * a while.
         */
        UNPLACED,
        /** The target was already known to have left. */
        KNOWN
    }
}
