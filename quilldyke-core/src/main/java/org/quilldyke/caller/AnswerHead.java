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

/**
 * What the start of a target's answer says.
 *
 * @param status the HTTP status
 * @param refused whether the target says that it didn't run the request and never will
 * @param wrongTarget whether the target says that it isn't the one, or hasn't the weights, that the
 *     request expects
 * @param signed whether it bears the mark of a target's own answer
 * @param stream whether a stream of events follows
 */
public record AnswerHead(
        int status, boolean refused, boolean wrongTarget, boolean signed, boolean stream) {
    /** Returns whether the request has surely not run. */
    public boolean isNotRun() {
        return refused || wrongTarget;
    }

    /** Returns whether the answer is a success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Returns whether the answer is a target's own, to be passed on as it is. */
    public boolean isGenuine() {
        return signed || !isSuccess();
    }
}
