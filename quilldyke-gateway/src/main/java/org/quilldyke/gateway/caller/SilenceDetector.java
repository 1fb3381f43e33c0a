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

/** Checks repeatedly whether the target of an answer has been silent for too long. */
final class SilenceDetector {
    /** Interval between checks once the target is silent. */
    private static final long RECHECK_MILLIS = 200;

    private final EntryContext mEntry;
    private final LongConsumer mOnSilent;
    private ScheduledFuture<?> mTimer;
    private TargetAnswer mAnswer;
    private long mMaxSilenceMillis;

    /** The report that the target has restarted; null if there is none or it was refuted. */
    private RestartReport mRestartReport;

    /**
     * Creates a detector that monitors no answer yet.
     *
     * @param entry provides the thread and the clock
     * @param onSilent receives the milliseconds of silence at each check that exceeds the limit
     */
    SilenceDetector(EntryContext entry, LongConsumer onSilent) {
        mEntry = entry;
        mOnSilent = onSilent;
    }

    /** Monitors an answer instead of the previous one; not at all for {@link Long#MAX_VALUE}. */
    void start(TargetAnswer answer, long maxSilenceMillis) {
        stop();
        mAnswer = answer;
        mMaxSilenceMillis = maxSilenceMillis;
        mRestartReport = null;
        scheduleNextCheck();
    }

    /** Shortens the time-out, since the target is reported to have restarted. */
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

    /** Returns when the target will have been silent for too long if nothing arrives before. */
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
