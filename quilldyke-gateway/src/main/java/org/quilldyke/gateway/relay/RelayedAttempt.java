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
package org.quilldyke.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.quilldyke.ResultCode;
import org.quilldyke.gateway.engine.AttemptListener;
import org.quilldyke.gateway.engine.OpenAttempt;
import org.quilldyke.gateway.http.HttpFraming;

/** A request that is sent through one relay, or through another one if that can't send it on. */
final class RelayedAttempt implements OpenAttempt, AttemptListener {
    /** Number of relays that are tried. */
    private static final int MAX_RELAYS = 3;

    /** A relay from which nothing arrives for this long isn't used for further requests. */
    private static final long SILENCE_MILLIS = 900;

    private final RelayClient mClient;
    private final FullHttpRequest mRequest;
    private final String mRequestId;
    private final AttemptListener mListener;
    private final Set<String> mTried = new HashSet<>();

    /** The relay in use; null before the first and after the end. */
    private String mRelay;

    private OpenAttempt mAttempt;
    private long mSentAt;
    private boolean mSendingReported;
    private boolean mDataReceived;
    private boolean mPermitDenied;
    private boolean mEndsWithConnection;
    private boolean mEnded;

    RelayedAttempt(
            RelayClient client,
            FullHttpRequest request,
            String requestId,
            AttemptListener listener) {
        mClient = client;
        mRequest = request;
        mRequestId = requestId;
        mListener = listener;
    }

    void start() {
        Optional<String> relay =
                mTried.size() < MAX_RELAYS
                        ? mClient.choice().choose(mTried, mClient.now())
                        : Optional.empty();
        if (relay.isEmpty()) {
            // Deferred: the listener must not be called before send() has returned the attempt.
            String reason = mPermitDenied ? "no permit left at " : "no relay other than ";
            mClient.loop().execute(() -> endUnsent(reason + mTried));
            return;
        }
        mRelay = relay.get();
        mTried.add(mRelay);
        mClient.choice().onOpened(mRelay);
        mAttempt =
                mClient.pool().send(mRelay, mRelay, mRequest.retainedDuplicate(), mRequestId, this);
    }

    @Override
    public void cancel() {
        boolean silent =
                mRelay != null
                        && mSendingReported
                        && !mDataReceived
                        && mClient.now() - mSentAt >= SILENCE_MILLIS;
        if (silent) {
            mClient.choice().onFailed(mRelay, mClient.now());
        }
        OpenAttempt attempt = mAttempt;
        end();
        if (attempt != null) {
            attempt.cancel();
        }
    }

    @Override
    public void ignoreRest() {
        mAttempt.ignoreRest();
        end();
    }

    @Override
    public void setReading(boolean reading) {
        if (mAttempt != null) {
            mAttempt.setReading(reading);
        }
    }

    @Override
    public void onUnsent(String reason) {
        tryNextRelay();
    }

    @Override
    public void onSending() {
        mSentAt = mClient.now();
        if (!mSendingReported) {
            mSendingReported = true;
            mListener.onSending();
        }
    }

    @Override
    public void onHead(HttpResponse head) {
        String unsent = head.headers().get(RelayHeaders.UNSENT);
        if (unsent == null) {
            mDataReceived = true;
            // Relays of earlier versions add no framing.
            mEndsWithConnection = !HttpFraming.isFramed(head, mRequest.method());
            mListener.onHead(withoutRelayHeaders(head));
            return;
        }
        mAttempt.ignoreRest();
        if (unsent.equals(RelayHeaders.UNSENT_RELAY)) {
            tryNextRelay();
        } else if (unsent.equals(RelayHeaders.UNSENT_PERMIT)) {
            mPermitDenied = true;
            closeRelay();
            start();
        } else {
            endUnsent("the relay " + mRelay + " can't reach the target");
        }
    }

    @Override
    public void onBody(ByteBuf bytes) {
        mListener.onBody(bytes);
    }

    @Override
    public void onComplete() {
        if (mEndsWithConnection) {
            onFailed(ResultCode.TARGET_LOST, "no framing");
            return;
        }
        end();
        mListener.onComplete();
    }

    @Override
    public void onFailed(ResultCode code, String reason) {
        String relay = mRelay;
        end();
        // Which of the two connections failed isn't known here.
        mListener.onFailed(code, reason + ", through the relay " + relay);
    }

    /** Returns the head as the target sent it; the decoder still needs the original. */
    private static HttpResponse withoutRelayHeaders(HttpResponse head) {
        HttpHeaders headers = head.headers().copy();
        headers.remove(RelayHeaders.REQUEST_ID);
        if (headers.contains(RelayHeaders.UNFRAMED)) {
            headers.remove(RelayHeaders.UNFRAMED).remove(HttpHeaderNames.TRANSFER_ENCODING);
        }
        return new DefaultHttpResponse(head.protocolVersion(), head.status(), headers);
    }

    private void tryNextRelay() {
        mClient.choice().onFailed(mRelay, mClient.now());
        closeRelay();
        if (!mEnded) {
            start();
        }
    }

    private void endUnsent(String reason) {
        if (!mEnded) {
            end();
            mListener.onUnsent(reason);
        }
    }

    private void end() {
        if (!mEnded) {
            mEnded = true;
            closeRelay();
            mRequest.release();
        }
    }

    private void closeRelay() {
        if (mRelay != null) {
            mClient.choice().onClosed(mRelay);
        }
        mRelay = null;
        mAttempt = null;
    }
}
