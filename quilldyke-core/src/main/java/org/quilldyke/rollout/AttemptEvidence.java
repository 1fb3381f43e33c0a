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
package org.quilldyke.rollout;

/** What is observed of one attempt of a request, see {@link RequestEvidence#onSending}. */
public final class AttemptEvidence {
    /** A stream without data for this long has failed if it is then continued elsewhere. */
    private static final long STALLED_MILLIS = 900;

    /** Answers to invalid requests are quick, so they are left out of the mean duration. */
    private static final int FIRST_ERROR_STATUS = 400;

    private static final int FIRST_FAILURE_STATUS = 500;

    private final RequestEvidence mRequest;
    private final String mTarget;
    private final boolean mCanary;
    private final long mExpectedMillis;
    private final long mSentAt;

    /** Whether the response was counted; a failure may still follow. */
    private boolean mCounted;

    private boolean mBad;

    AttemptEvidence(
            RequestEvidence request,
            String target,
            boolean canary,
            long expectedMillis,
            long sentAt) {
        mRequest = request;
        mTarget = target;
        mCanary = canary;
        mExpectedMillis = expectedMillis;
        mSentAt = sentAt;
    }

    String target() {
        return mTarget;
    }

    /** Returns whether the target has the new version. */
    public boolean isCanary() {
        return mCanary;
    }

    /** Returns after how many milliseconds a response that has not begun is a failure. */
    public long failureMillis() {
        return mRequest.failureMillis(mSentAt);
    }

    /** Records that the target has refused the request without running it. */
    public void onNotRun() {
        mRequest.onNotRun(this);
    }

    /** Records the first event of a stream. */
    public void onFirstEvent(long now) {
        if (!mCounted) {
            onBegun(true, now);
        }
    }

    /** Records a complete response with a status that isn't a stream. */
    public void onResponse(int status, boolean genuine, long now) {
        if (status >= FIRST_FAILURE_STATUS || !genuine) {
            onFailed(now);
        } else if (!mCounted) {
            onBegun(status < FIRST_ERROR_STATUS, now);
        }
    }

    /** Records that the response broke off or is corrupt. */
    public void onFailed(long now) {
        if (!mBad) {
            count(ResponseQuality.FAILED, now);
        }
    }

    /** Records that {@link #failureMillis} have passed. */
    public void onTimeout(long now) {
        if (!mCounted && mRequest.hasFailed(now - mSentAt)) {
            count(ResponseQuality.FAILED, now);
        }
    }

    /**
     * Records that the response is no longer awaited: the request has ended or continues at another
     * target. A response that is overdue by then has failed; otherwise nothing is known of it.
     *
     * @param lastDataAt when the target sent data last
     */
    public void onAbandoned(long lastDataAt, long now) {
        boolean isOverdue =
                mCounted
                        ? now - lastDataAt >= STALLED_MILLIS
                        : mRequest.isSlow(now - mSentAt, mExpectedMillis);
        if (isOverdue) {
            onFailed(now);
        }
    }

    private void onBegun(boolean hasRun, long now) {
        long millis = now - mSentAt;
        boolean isSlow = mRequest.isSlow(millis, mExpectedMillis);
        if (hasRun) {
            mRequest.addToMean(this, millis);
        }
        count(isSlow ? ResponseQuality.SLOW : ResponseQuality.GOOD, now);
    }

    private void count(ResponseQuality quality, long now) {
        mRequest.count(this, quality, !mCounted, now);
        mCounted = true;
        mBad = quality != ResponseQuality.GOOD;
    }
}
