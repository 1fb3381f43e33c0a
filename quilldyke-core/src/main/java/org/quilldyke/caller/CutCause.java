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

/** Why the last run of an aborted answer ended, for logs and metrics. */
public enum CutCause {
    /** This instance reached its shutdown deadline before the end of the answer. */
    SHUTDOWN("shutdown"),
    /** This instance moved the stream away from a target that worked. */
    MOVE("move"),
    /** This instance treated an unresponsive target as failed. */
    SILENCE("silence"),
    /** The control group reported that the target has ended. */
    CONTROL("control"),
    /** The target disconnected, sent an invalid answer or failed the request. */
    TARGET("target"),
    /** The deadline of the request has passed. */
    TIME("time");

    private final String mLabel;

    CutCause(String label) {
        mLabel = label;
    }

    /** Returns the label used in logs and metrics. */
    public String label() {
        return mLabel;
    }
}
