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
package org.quilldyke.control;

/** A command to the control state, proposed to the log. Times are milliseconds since the epoch. */
public sealed interface Command {

    /**
     * Returns the time of the proposal by the proposing replica's clock. If a command applied
     * earlier has a later time, the state uses that one instead.
     */
    long at();

    /**
     * Submits an operator's intent and creates its plan.
     *
     * @param number the operator's number for the plan
     * @param intentId identifies the intent; the same for each resend
     * @param operator the operator who submits the intent
     * @param intent the requested change
     * @param engines number of live engines of the service concerned, for the plan's capacity note
     */
    record StateIntent(
            String number, String intentId, String operator, Intent intent, int engines, long at)
            implements Command {}

    /** Confirms a plan. */
    record ConfirmPlan(String number, long at) implements Command {}

    /** Reads a plan as of this entry; changes no state. */
    record ReadPlan(String number, long at) implements Command {}

    /** Records an order before it is sent; its fencing number is this entry's index. */
    record RecordOrder(String number, String target, String weights, long at) implements Command {}

    /** Records that a target has reported the weights of its order as loaded. */
    record CloseOrder(String number, String target, long at) implements Command {}

    /** Completes a plan whose orders are all done. */
    record FinishPlan(String number, long at) implements Command {}

    /** Marks a running plan as failed. */
    record FailPlan(String number, String why, long at) implements Command {}

    /**
     * Claims the right to run a request that must not run twice.
     *
     * @param organisation the organisation that the key belongs to
     * @param key the idempotency key
     * @param fingerprint a hash of the request
     * @param requestId the request that will run
     * @param runMillis how long the run may take before its outcome is treated as unknown
     * @param keepMillis how long the claim and its answer are kept
     */
    record ClaimRun(
            String organisation,
            String key,
            String fingerprint,
            String requestId,
            long runMillis,
            long keepMillis,
            long at)
            implements Command {}

    /** Releases a claim whose request did not run. */
    record ReleaseClaim(String organisation, String key, String requestId, long at)
            implements Command {}

    /** Stores the answer of a claimed run; status 0 means that its outcome is unknown. */
    record CloseClaim(
            String organisation,
            String key,
            String requestId,
            int status,
            String answer,
            String contentType,
            long at)
            implements Command {}
}
