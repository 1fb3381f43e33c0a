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
package org.quilldyke.gateway.caller;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.quilldyke.caller.RestartReport;

/** Looks, and looks again, whether the target of an answer has been silent for too long. */
final class SilenceDetector {
    /** How long after a look that found silence the next one comes. */
    private static final long RECHECK_MILLIS = 200;

    private final EntryContext mEntry;
    private final LongConsumer mOnSilent;
    private ScheduledFuture<?> mTimer;
    private TargetAnswer mAnswer;
    private long mMaxSilenceMillis;

    /** The word that the target has started again, null if it isn't told or has proved wrong. */
    private RestartReport mRestartReport;

    /**
     * Makes a watch that watches nothing yet.
     *
     * @param entry whose thread and clock are used
     * @param onSilent told at each look that finds silence, with its milliseconds
     */
    SilenceDetector(EntryContext entry, LongConsumer onSilent) {
        mEntry = entry;
        mOnSilent = onSilent;
    }

    /** Watches an answer instead of what was watched before; never silent for that long: not. */
    void start(TargetAnswer answer, long maxSilenceMillis) {
        stop();
        mAnswer = answer;
        mMaxSilenceMillis = maxSilenceMillis;
        mRestartReport = null;
        scheduleNextCheck();
    }

    /** Notes that the answer's target is said to have started again: silence tells more now. */
    void onRestartReported() {
        stop();
        mRestartReport = new RestartReport(mEntry.now());
        scheduleNextCheck();
    }

    void stop() {
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }

    private void check() {
        long now = mEntry.now();
        if (now < silenceTimeoutAt()) {
            scheduleNextCheck();
            return;
        }
        scheduleCheckAfter(RECHECK_MILLIS);
        mOnSilent.accept(now - mAnswer.lastHeardAt());
    }

    private void scheduleNextCheck() {
        if (mMaxSilenceMillis != Long.MAX_VALUE) {
            scheduleCheckAfter(Math.max(1, silenceTimeoutAt() - mEntry.now()));
        }
    }

    /** Returns when the target has been silent for too long if it isn't heard before. */
    private long silenceTimeoutAt() {
        long lastHeardAt = mAnswer.lastHeardAt();
        if (mRestartReport != null && mRestartReport.isRefuted(lastHeardAt)) {
            mRestartReport = null;
        }
        long timeoutAt = lastHeardAt + mMaxSilenceMillis;
        return mRestartReport == null
                ? timeoutAt
                : Math.min(timeoutAt, mRestartReport.acceptedAt(lastHeardAt));
    }

    private void scheduleCheckAfter(long millis) {
        mTimer = mEntry.loop().schedule(this::check, millis, TimeUnit.MILLISECONDS);
    }
}
