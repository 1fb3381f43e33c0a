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
 * The head of a target's answer.
 *
 * @param status the HTTP status
 * @param refused whether the target states that it did not and will not run the request
 * @param wrongTarget whether the target states that it is not the expected one, or does not have
 *     the expected weights
 * @param signed whether the answer has the signature of a target
 * @param stream whether a stream of events follows
 */
public record AnswerHead(
        int status, boolean refused, boolean wrongTarget, boolean signed, boolean stream) {
    private static final int FIRST_FAILURE_STATUS = 500;
    private static final int INTERNAL_ERROR = 500;
    private static final int GATEWAY_TIMEOUT = 504;

    /** Returns whether the request was certainly not run. */
    public boolean isNotRun() {
        return wrongTarget || refused && !hasStatusOfRun();
    }

    /** Returns whether the status is a success (2xx). */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /**
     * Returns whether the answer may be relayed as the target's own; failures need no signature. A
     * refusal with the status of a run contradicts itself.
     */
    public boolean isGenuine() {
        boolean contradictsItself = refused && hasStatusOfRun();
        return (signed || !isSuccess()) && !contradictsItself;
    }

    /**
     * Returns whether the status says that the request was not run, while the target does not state
     * it: an application may answer so after its work.
     */
    public boolean isUnconfirmedRefusal() {
        return StatusPromise.of(status) == StatusPromise.NOT_RUN && !isNotRun();
    }

    /** Returns whether the target has failed the request, which may have run. */
    public boolean isFailure() {
        return status >= FIRST_FAILURE_STATUS || isUnconfirmedRefusal();
    }

    /** Returns whether targets answer with the status only if they have run the request. */
    private boolean hasStatusOfRun() {
        return isSuccess() || status == INTERNAL_ERROR || status == GATEWAY_TIMEOUT;
    }
}
