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

import org.quilldyke.Outcome;

/** How far one attempt to run a request has come: the one place where its outcome is decided. */
public enum AttemptState {
    /** Nothing was sent. */
    QUEUED(Outcome.NOT_RUN),
    /** A connection is being made or bytes are being sent; the target may have got them. */
    SENDING(Outcome.UNKNOWN),
    /** The target refused the request and says that it did not run. */
    REFUSED(Outcome.NOT_RUN),
    /** The target has accepted the request. */
    ACCEPTED(Outcome.RAN),
    /** The target could not be connected to, so that no byte has reached it. */
    UNREACHABLE(Outcome.NOT_RUN);

    private final Outcome mOutcome;

    AttemptState(Outcome outcome) {
        mOutcome = outcome;
    }

    /** Returns what became of the request if the attempt ends in this state. */
    public Outcome outcome() {
        return mOutcome;
    }
}
