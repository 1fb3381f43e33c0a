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

/** What is observed of one request to a service with a running rollout. */
public final class RequestEvidence {
    /** A response that hasn't begun after this many latency objectives has failed. */
    private static final int MAX_OBJECTIVES = 4;

    /** A first event of a prompt is slow beyond this multiple of the expected time. */
    private static final double SLOW_FACTOR = 2.5;

    /** Short expected times are exceeded by this much without any fault. */
    private static final double SLOW_EXTRA_MILLIS = 100;

    /** A plain response is slow beyond this multiple of the old version's mean. */
    private static final double SLOW_MEANS = 4;

    private static final double MIN_SLOW_MILLIS = 50;

    private final EvidenceCollector.Totals mTotals;
    private final String mRoute;
    private final long mLatencyObjectiveMillis;
    private final boolean mHasPrompt;
    private final long mDeadline;
    private boolean mSent;
    private boolean mSentToNew;

    /** The attempts that count for each version; null while there is none. */
    private AttemptEvidence mAtNew;

    private AttemptEvidence mAtOld;
    private boolean mClosed;

    RequestEvidence(
            EvidenceCollector.Totals totals,
            String route,
            long latencyObjectiveMillis,
            boolean hasPrompt,
            long deadline) {
        mTotals = totals;
        mRoute = route;
        mLatencyObjectiveMillis = latencyObjectiveMillis;
        mHasPrompt = hasPrompt;
        mDeadline = deadline;
    }

    /**
     * Records that the request is being sent to a target. Of the attempts at targets of one
     * version, only the first one that may have run counts.
     *
     * @param expectedMillis the expected time to the first event, for a request with a prompt
     */
    public AttemptEvidence onSending(String target, String version, long expectedMillis, long now) {
        boolean canary = mTotals.isNewVersion(version);
        if (!mSent) {
            mSent = true;
            mTotals.onRequest();
        }
        if (canary && !mSentToNew) {
            mSentToNew = true;
            mTotals.onCanary();
        }
        AttemptEvidence attempt = new AttemptEvidence(this, target, canary, expectedMillis, now);
        if (canary && mAtNew == null) {
            mAtNew = attempt;
        } else if (!canary && mAtOld == null) {
            mAtOld = attempt;
        }
        return attempt;
    }

    /** Records that the caller has disconnected: no further response is counted. */
    public void onCallerDisconnected() {
        mClosed = true;
    }

    /** Records that an attempt has not run, so that the next one at that version counts. */
    void onNotRun(AttemptEvidence attempt) {
        mAtNew = mAtNew == attempt ? null : mAtNew;
        mAtOld = mAtOld == attempt ? null : mAtOld;
    }

    /** Returns the time after which a response that has not begun has failed. */
    long failureMillis(long sentAt) {
        return Math.min(mDeadline - sentAt, (long) MAX_OBJECTIVES * mLatencyObjectiveMillis);
    }

    /**
     * Returns whether a response that hasn't begun is a failure of the target. An attempt that was
     * sent shortly before the deadline had no time to respond.
     */
    boolean hasFailed(long millis) {
        return millis >= mLatencyObjectiveMillis;
    }

    boolean isSlow(long millis, long expectedMillis) {
        if (mHasPrompt) {
            return millis > SLOW_FACTOR * expectedMillis + SLOW_EXTRA_MILLIS;
        }
        EvidenceCollector.MeanMillis mean = mTotals.oldMean(mRoute);
        return mean.isKnown()
                ? millis > Math.max(MIN_SLOW_MILLIS, SLOW_MEANS * mean.millis())
                : millis > mLatencyObjectiveMillis;
    }

    /** Counts a response if the attempt is the one that counts. */
    void count(AttemptEvidence attempt, ResponseQuality quality, boolean isNew, long now) {
        boolean counts = attempt == mAtNew || attempt == mAtOld;
        if (counts && !mClosed) {
            mTotals.count(mRoute, attempt.target(), attempt.isCanary(), quality, isNew, now);
        }
    }

    /** Adds a response of the old version to the mean of its route. */
    void addToMean(AttemptEvidence attempt, long millis) {
        if (!mHasPrompt && attempt == mAtOld && !mClosed) {
            mTotals.oldMean(mRoute).add(millis);
        }
    }
}
