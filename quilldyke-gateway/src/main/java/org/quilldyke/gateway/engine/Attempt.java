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

/** A request on its way to a target. */
public final class Attempt {
    private final FullHttpRequest mRequest;
    private final String mRequestId;
    private AttemptListener mListener;
    private TargetConnection mConnection;
    private boolean mCancelled;

    Attempt(FullHttpRequest request, String requestId, AttemptListener listener) {
        mRequest = request;
        mRequestId = requestId;
        mListener = listener;
    }

    /**
     * Gives up: nothing is heard of it any more, and the target learns it by a closed connection.
     */
    public void cancel() {
        mCancelled = true;
        mListener = NoOpAttemptListener.INSTANCE;
        if (mConnection != null) {
            mConnection.cancel(this);
        } else {
            mRequest.release();
        }
    }

    /** Wants no more of the answer, which is short or at its end; the connection stays of use. */
    public void ignoreRest() {
        mListener = NoOpAttemptListener.INSTANCE;
    }

    /** Pauses or resumes the reading of the answer. */
    public void setReading(boolean reading) {
        if (mConnection != null) {
            mConnection.setReading(this, reading);
        }
    }

    FullHttpRequest request() {
        return mRequest;
    }

    /** Returns the id that the answer must bear, empty if none. */
    String requestId() {
        return mRequestId;
    }

    AttemptListener listener() {
        return mListener;
    }

    boolean isCancelled() {
        return mCancelled;
    }

    void onConnection(TargetConnection connection) {
        mConnection = connection;
    }
}
