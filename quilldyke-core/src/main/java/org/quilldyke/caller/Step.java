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

import org.quilldyke.ResultCode;
import org.quilldyke.routing.Choice;

/** The next step for a request. */
public sealed interface Step {
    /**
     * Send the request to a target.
     *
     * @param choice the target, and why it was chosen
     * @param millisLeft how long the target may work on it
     * @param resumeAfterEvent the number of the event after which the stream continues, -1 to start
     *     at the beginning
     */
    record Send(Choice choice, long millisLeft, long resumeAfterEvent) implements Step {}

    /** Wait until the given time, then call {@link Forwarding#onWaitElapsed}. */
    record Wait(long until) implements Step {}

    /** Wait for the successor, which was asked while the previous run was still in progress. */
    record AwaitSuccessor() implements Step {}

    /** Relay the target's answer to the caller. */
    record Relay() implements Step {}

    /**
     * Report to the caller that the request was not run and will not be.
     *
     * @param code why
     * @param retryAfterMillis when the caller may retry, 0 if unknown
     * @param detail the reason in detail, for the log
     */
    record Refuse(ResultCode code, long retryAfterMillis, String detail) implements Step {}

    /** Report to the caller that no answer will follow although the request may have run. */
    record Fail(ResultCode code) implements Step {}

    /**
     * Abort the caller's connection, so that a partial answer is not mistaken for a complete one.
     *
     * @param code the failure
     * @param cause why the last run of the answer ended
     */
    record Abort(ResultCode code, CutCause cause) implements Step {}
}
