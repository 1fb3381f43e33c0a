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
 * What became of a target's word that it is gone.
 *
 * @param target for whom it was taken: an incarnation's key, or the plain id
 * @param result what was made of it
 * @param suspension who takes nothing new because of it, where that isn't sure
 * @param needsPropagation whether others have to hear of it
 */
public record LeaveOutcome(
        String target, Result result, Optional<Suspension> suspension, boolean needsPropagation) {
    /** Returns whether the target itself is gone for good. */
    public boolean hasDeparted() {
        return result != Result.SUSPENDED;
    }

    /** What a leave does. */
    public enum Result {
        /** The target was known, and takes nothing for good. */
        ENDED,
        /** It isn't sure whose word it is: the target takes nothing new for a while. */
        SUSPENDED,
        /** No such target was known. */
        UNKNOWN,
        /** No target of the id was ever known: whoever has it takes nothing new for a while. */
        UNPLACED,
        /** The target was known to be gone. */
        KNOWN
    }
}
