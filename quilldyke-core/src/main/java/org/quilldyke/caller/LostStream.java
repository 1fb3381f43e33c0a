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
final class LostStream {
    private static final long STEP_MILLIS = 20;

    /** Only these may follow each other at once. */
    private static final int TRIES_AT_ONCE = 2;

    private static final int MAX_DOUBLINGS = 5;

    private boolean mLost;
    private long mLostAt;
    private int mTries;
    private long mNextTryAt;

    /** Notes that its target is lost, or the one that was to go on. */
    void onLost(long now) {
        if (!mLost) {
            mLost = true;
            mLostAt = now;
            mTries = 0;
            mNextTryAt = now;
        }
    }

    /** Notes that its events come again. */
    void onEvent() {
        mLost = false;
    }

    /** Notes that it is sent to another target. */
    void onTry(long now) {
        mTries++;
        if (mTries >= TRIES_AT_ONCE) {
            mNextTryAt = now + (STEP_MILLIS << Math.min(mTries, MAX_DOUBLINGS));
        }
    }

    /** Returns whether it may be sent to another target now. */
    boolean mayTry(long now) {
        return now >= mNextTryAt;
    }

    /**
     * Returns when to look next whether it can go on, empty if its caller has waited long enough.
     *
     * @param patienceMillis for how long its caller waits for an event
     * @param answerBy when its own time is over
     */
    OptionalLong nextLook(long patienceMillis, long answerBy, long now) {
        long until = Math.min(mLostAt + patienceMillis, answerBy);
        return now + STEP_MILLIS >= until
                ? OptionalLong.empty()
                : OptionalLong.of(Math.min(Math.max(now + STEP_MILLIS, mNextTryAt), until));
    }
}
