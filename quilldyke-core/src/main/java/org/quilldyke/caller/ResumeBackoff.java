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

import java.util.OptionalLong;

/**
 * When a started stream that has lost its target may try to resume at another one.
 *
 * <p>Each attempt uses the retry budget that all requests share, so the delay between failed
 * attempts grows exponentially up to a maximum. Attempts end when the caller stops waiting.
 */
final class ResumeBackoff {
    /** Shortest time between two checks; the delay between attempts is a multiple of it. */
    private static final long POLL_MILLIS = 20;

    /** Number of attempts without a delay between them. */
    private static final int IMMEDIATE_ATTEMPTS = 2;

    private static final int MAX_DOUBLINGS = 5;

    private boolean mInterrupted;
    private long mInterruptedAt;
    private int mAttempts;
    private long mNextAttemptAt;

    /** Records that the stream has lost its target, or the one at which it was to resume. */
    void onInterrupted(long now) {
        if (!mInterrupted) {
            mInterrupted = true;
            mInterruptedAt = now;
            mAttempts = 0;
            mNextAttemptAt = now;
        }
    }

    /** Records that events arrive again. */
    void onEvent() {
        mInterrupted = false;
    }

    /** Records that the stream is sent to another target. */
    void onAttempt(long now) {
        mAttempts++;
        if (mAttempts >= IMMEDIATE_ATTEMPTS) {
            mNextAttemptAt = now + (POLL_MILLIS << Math.min(mAttempts, MAX_DOUBLINGS));
        }
    }

    /** Returns whether the stream may be sent to another target now. */
    boolean mayAttempt(long now) {
        return now >= mNextAttemptAt;
    }

    /**
     * Returns when to check again whether the stream can resume; empty if its caller no longer
     * waits by then.
     *
     * @param callerTimeoutMillis how long the caller waits for an event
     * @param deadline the deadline of the request
     */
    OptionalLong nextCheckAt(long callerTimeoutMillis, long deadline, long now) {
        long until = Math.min(mInterruptedAt + callerTimeoutMillis, deadline);
        return now + POLL_MILLIS >= until
                ? OptionalLong.empty()
                : OptionalLong.of(Math.min(Math.max(now + POLL_MILLIS, mNextAttemptAt), until));
    }
}
