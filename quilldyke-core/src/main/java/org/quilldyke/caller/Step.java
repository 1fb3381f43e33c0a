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

/** What to do next for a request. */
public sealed interface Step {
    /**
     * Send the request to a target.
     *
     * @param choice the target, and why
     * @param millisLeft for how long the target may work on it
     * @param resumeAfterEvent the event after which the stream goes on, -1 to begin at the start
     */
    record Send(Choice choice, long millisLeft, long resumeAfterEvent) implements Step {}

    /** Wait for a target; ask again at the given time. */
    record Wait(long until) implements Step {}

    /** Wait for the successor, which was asked while the run before it still went on. */
    record AwaitSuccessor() implements Step {}

    /** Pass the target's answer on to the caller. */
    record Relay() implements Step {}

    /**
     * Tell the caller that the request was not run and never will be.
     *
     * @param code why
     * @param retryAfterMillis when the caller may try again, 0 if nothing is known
     * @param detail what was known of targets, for the log
     */
    record Refuse(ResultCode code, long retryAfterMillis, String detail) implements Step {}

    /** Tell the caller that no answer will come, though the request may have run. */
    record Fail(ResultCode code) implements Step {}

    /**
     * Cut the caller's connection, so that the part of an answer that it has is no whole one.
     *
     * @param code what can't be done any more
     * @param cause why the answer's last run was left
     */
    record Abort(ResultCode code, CutCause cause) implements Step {}
}
