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
 * When a stream under way that has lost its target may try to go on elsewhere.
 *
 * <p>Each try takes a second attempt that all requests share. Those that are in vain come at longer
 * and longer distances, as long as the stream's caller waits.
 */
final class ResumeBackoff {
    private static final long POLL_MILLIS = 20;

    /** Only these may follow each other at once. */
    private static final int IMMEDIATE_ATTEMPTS = 2;

    private static final int MAX_DOUBLINGS = 5;

    private boolean mInterrupted;
    private long mInterruptedAt;
    private int mAttempts;
    private long mNextAttemptAt;

    /** Notes that its target is lost, or the one that was to go on. */
    void onInterrupted(long now) {
        if (!mInterrupted) {
            mInterrupted = true;
            mInterruptedAt = now;
            mAttempts = 0;
            mNextAttemptAt = now;
        }
    }

    /** Notes that its events come again. */
    void onEvent() {
        mInterrupted = false;
    }

    /** Notes that it is sent to another target. */
    void onAttempt(long now) {
        mAttempts++;
        if (mAttempts >= IMMEDIATE_ATTEMPTS) {
            mNextAttemptAt = now + (POLL_MILLIS << Math.min(mAttempts, MAX_DOUBLINGS));
        }
    }

    /** Returns whether it may be sent to another target now. */
    boolean mayAttempt(long now) {
        return now >= mNextAttemptAt;
    }

    /**
     * Returns when to look next whether it can go on, empty if its caller has waited long enough.
     *
     * @param callerTimeoutMillis for how long its caller waits for an event
     * @param deadline when its own time is over
     */
    OptionalLong nextCheckAt(long callerTimeoutMillis, long deadline, long now) {
        long until = Math.min(mInterruptedAt + callerTimeoutMillis, deadline);
        return now + POLL_MILLIS >= until
                ? OptionalLong.empty()
                : OptionalLong.of(Math.min(Math.max(now + POLL_MILLIS, mNextAttemptAt), until));
    }
}
