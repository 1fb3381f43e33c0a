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
package org.quilldyke.gateway.engine;

import io.netty.handler.codec.http.FullHttpRequest;

/** One sending of a request to a target. */
public final class Attempt implements OpenAttempt {
    private final FullHttpRequest mRequest;
    private final String mRequestId;
    private final boolean mChecksIncarnation;
    private AttemptListener mListener;
    private TargetConnection mConnection;
    private int mChecks;
    private boolean mCancelled;
    private boolean mRestIgnored;

    Attempt(FullHttpRequest request, String requestId, AttemptListener listener) {
        this(request, requestId, false, listener);
    }

    Attempt(
            FullHttpRequest request,
            String requestId,
            boolean checksIncarnation,
            AttemptListener listener) {
        mRequest = request;
        mRequestId = requestId;
        mChecksIncarnation = checksIncarnation;
        mListener = listener;
    }

    @Override
    public void cancel() {
        mCancelled = true;
        mListener = NoOpAttemptListener.INSTANCE;
        if (mConnection != null) {
            mConnection.cancel(this);
        } else {
            mRequest.release();
        }
    }

    @Override
    public void ignoreRest() {
        mListener = NoOpAttemptListener.INSTANCE;
        mRestIgnored = true;
        if (mConnection != null) {
            mConnection.onRestIgnored(this);
        }
    }

    @Override
    public void setReading(boolean reading) {
        if (mConnection != null) {
            mConnection.setReading(this, reading);
        }
    }

    FullHttpRequest request() {
        return mRequest;
    }

    /** Returns the request's id, empty if none; an answer with another id is skipped. */
    String requestId() {
        return mRequestId;
    }

    /** Returns whether it may be sent only to the incarnation of the target that is known. */
    boolean checksIncarnation() {
        return mChecksIncarnation;
    }

    /** Records that a check of the incarnation starts; returns how many have started. */
    int onCheck() {
        mChecks++;
        return mChecks;
    }

    AttemptListener listener() {
        return mListener;
    }

    boolean isCancelled() {
        return mCancelled;
    }

    boolean isRestIgnored() {
        return mRestIgnored;
    }

    void onConnection(TargetConnection connection) {
        mConnection = connection;
    }
}
