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

/**
 * The exclusive right to run a request that must not run twice, and its answer once there is one.
 *
 * @param fingerprint a hash of the request, to detect a different request under the same key
 * @param requestId the only request that may run under the key
 * @param state what is known of the run
 * @param status HTTP status of the stored answer, 0 if there is none
 * @param answer the stored answer's body, empty if there is none
 * @param contentType the stored answer's content type
 * @param expiresAt when the claim is removed, in milliseconds since the epoch
 * @param runningUntil until when an unfinished run counts as in progress, in milliseconds since the
 *     epoch; after that its outcome is treated as unknown unless its answer arrives late
 */
public record Claim(
        String fingerprint,
        String requestId,
        State state,
        int status,
        String answer,
        String contentType,
        long expiresAt,
        long runningUntil) {

    /** What is known of the run. */
    public enum State {
        /** Claimed; the run may be in progress. */
        CLAIMED,
        /** Ran; the answer is stored. */
        ANSWERED,
        /** May have run; no answer is known. */
        UNKNOWN
    }

    /** Returns this claim with an answer. */
    public Claim answered(int httpStatus, String body, String type) {
        return new Claim(
                fingerprint,
                requestId,
                State.ANSWERED,
                httpStatus,
                body,
                type,
                expiresAt,
                runningUntil);
    }

    /** Returns this claim with an unknown outcome of its run. */
    public Claim unknown() {
        return new Claim(fingerprint, requestId, State.UNKNOWN, 0, "", "", expiresAt, runningUntil);
    }
}
