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

/** The state of one attempt to run a request, which determines its outcome. */
public enum AttemptState {
    /** Nothing has been sent. */
    QUEUED(Outcome.NOT_RUN),
    /**
     * The connection is being established or bytes are being sent; the target may have received
     * them.
     */
    SENDING(Outcome.UNKNOWN),
    /** The target refused the request and states that it was not run. */
    REFUSED(Outcome.NOT_RUN),
    /** The target has accepted the request. */
    ACCEPTED(Outcome.RAN),
    /** The connection to the target failed, so that no byte has reached it. */
    UNREACHABLE(Outcome.NOT_RUN);

    private final Outcome mOutcome;

    AttemptState(Outcome outcome) {
        mOutcome = outcome;
    }

    /** Returns the outcome of the request if the attempt ends in this state. */
    public Outcome outcome() {
        return mOutcome;
    }
}
