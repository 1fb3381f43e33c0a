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
package org.quilldyke.daemon.caller;

import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.control.Claim;
import org.quilldyke.control.Command;
import org.quilldyke.control.CommandResult;
import org.quilldyke.daemon.log.Event;

/**
 * Holds the durable claim of one request that must not run twice.
 *
 * <p>The claim is committed by the control group before a byte is sent to a target. At the end the
 * answer is stored with it; if nothing ran it is given back; if that isn't known it says so.
 */
public final class ClaimGuard {
    private static final long RETRY_AFTER_MILLIS = 1000;

    private final TrafficContext mContext;
    private final String mOrganisation;
    private final String mKey;
    private final String mRequestId;
    private boolean mHeld;
    private boolean mAsked;
    private boolean mGivenUp;

    private ClaimGuard(TrafficContext context, String organisation, String key, String requestId) {
        mContext = context;
        mOrganisation = organisation;
        mKey = key;
        mRequestId = requestId;
    }

    /** Returns a guard that holds nothing yet. */
    public static ClaimGuard of(
            TrafficContext context, String organisation, String key, String requestId) {
        return new ClaimGuard(context, organisation, key, requestId);
    }

    /**
     * Claims the run.
     *
     * @param fingerprint a hash of the request
     * @return null if this request may run now, or the earlier run's claim with its stored answer;
     *     fails with a {@link QuilldykeException} in any other case
     */
    public Promise<Claim> claim(String fingerprint) {
        Command command =
                new Command.ClaimRun(
                        mOrganisation,
                        mKey,
                        fingerprint,
                        mRequestId,
                        mContext.site().timings().claimRun(),
                        mContext.site().timings().claimKeep(),
                        mContext.wallClock().getAsLong());
        mAsked = true;
        return Promise.ofFuture(mContext.control().propose(command))
                .then(this::onClaimed, this::onUnavailable);
    }

    /** Stores the answer; completes when it is stored or can't be. */
    public Promise<Void> answered(int status, byte[] body, String contentType) {
        // One char a byte, so that any body survives.
        String text = new String(body, StandardCharsets.ISO_8859_1);
        return close(status, text, contentType);
    }

    /** Notes that the run's fate isn't known, or that its answer can't be stored. */
    public Promise<Void> unknown() {
        return close(0, "", "");
    }

    /** Gives the claim back, since nothing ran; also one that is just being recorded. */
    public void release() {
        if (mHeld || mAsked) {
            mGivenUp = mAsked;
            mHeld = false;
            sendRelease();
        }
    }

    /** Returns the bytes of a stored answer. */
    public static byte[] bodyOf(Claim claim) {
        return claim.answer().getBytes(StandardCharsets.ISO_8859_1);
    }

    private Promise<Claim> onClaimed(CommandResult result) {
        mAsked = false;
        if (mGivenUp) {
            sendRelease();
            return Promise.ofException(OpenRequest.refusal());
        }
        if (!result.isOk()) {
            long retry = result.code() == ResultCode.RUN_IN_PROGRESS ? RETRY_AFTER_MILLIS : 0;
            return Promise.ofException(
                    QuilldykeException.notRunRetryAfter(result.code(), mKey, retry));
        }
        if (result.claim().state() == Claim.State.ANSWERED) {
            mContext.log()
                    .write(
                            Event.STORED_ANSWER,
                            "request",
                            mRequestId,
                            "first",
                            result.claim().requestId(),
                            "key",
                            mKey);
            return Promise.of(result.claim());
        }
        mHeld = true;
        return Promise.of(null);
    }

    private Promise<Claim> onUnavailable(Exception e) {
        mAsked = false;
        // The claim may have been recorded; giving it back lets the caller try again.
        sendRelease();
        return Promise.ofException(
                QuilldykeException.notRunRetryAfter(
                        ResultCode.CLAIM_UNAVAILABLE, mKey, RETRY_AFTER_MILLIS));
    }

    private Promise<Void> close(int status, String body, String contentType) {
        if (!mHeld) {
            return Promise.complete();
        }
        mHeld = false;
        Command command =
                new Command.CloseClaim(
                        mOrganisation,
                        mKey,
                        mRequestId,
                        status,
                        body,
                        contentType,
                        mContext.wallClock().getAsLong());
        return Promise.ofFuture(mContext.control().propose(command))
                .then(r -> Promise.complete(), e -> Promise.complete());
    }

    private void sendRelease() {
        mContext.control()
                .propose(
                        new Command.ReleaseClaim(
                                mOrganisation, mKey, mRequestId, mContext.wallClock().getAsLong()));
    }
}
