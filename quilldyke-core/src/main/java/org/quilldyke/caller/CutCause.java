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

/** Why the last run of an answer was left, told if the answer is cut. */
public enum CutCause {
    /** This instance has to end before the answer does. */
    SHUTDOWN("shutdown"),
    /** This instance left a target that worked, for another one. */
    MOVE("move"),
    /** This instance took the target's silence for its end. */
    SILENCE("silence"),
    /** The control group told that the target has ended. */
    CONTROL("control"),
    /** The target broke its answer off, spoiled or failed it. */
    TARGET("target"),
    /** The request's own time is over. */
    TIME("time");

    private final String mLabel;

    CutCause(String label) {
        mLabel = label;
    }

    /** Returns the word that logs and metrics use. */
    public String label() {
        return mLabel;
    }
}
