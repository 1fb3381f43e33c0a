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

/** Checks repeatedly whether the target of an answer has sent no data for too long. */
final class UnresponsiveTargetDetector {
    /** Interval between checks once the time-out has passed. */
    private static final long RECHECK_MILLIS = 200;

    private final EntryContext mEntry;
    private final LongConsumer mOnUnresponsive;
    private ScheduledFuture<?> mTimer;
    private TargetAnswer mAnswer;
    private long mTimeoutMillis;

    /** The report that the target has restarted; null if there is none or it was refuted. */
    private RestartReport mRestartReport;

    /**
     * Creates a detector that monitors no answer yet.
     *
     * @param entry provides the thread and the clock
     * @param onUnresponsive receives, at each check after the time-out, the milliseconds since the
     *     last data
     */
    UnresponsiveTargetDetector(EntryContext entry, LongConsumer onUnresponsive) {
        mEntry = entry;
        mOnUnresponsive = onUnresponsive;
    }

    /** Monitors an answer instead of the previous one; not at all for {@link Long#MAX_VALUE}. */
    void start(TargetAnswer answer, long timeoutMillis) {
        stop();
        mAnswer = answer;
        mTimeoutMillis = timeoutMillis;
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
        if (now < timeoutAt()) {
            scheduleNextCheck();
            return;
        }
        scheduleCheckAfter(RECHECK_MILLIS);
        mOnUnresponsive.accept(now - mAnswer.lastDataAt());
    }

    private void scheduleNextCheck() {
        if (mTimeoutMillis != Long.MAX_VALUE) {
            scheduleCheckAfter(Math.max(1, timeoutAt() - mEntry.now()));
        }
    }

    /** Returns when the time-out passes if no more data arrives. */
    private long timeoutAt() {
        long lastDataAt = mAnswer.lastDataAt();
        if (mRestartReport != null && mRestartReport.isRefuted(lastDataAt)) {
            mRestartReport = null;
        }
        long regularTimeoutAt = lastDataAt + mTimeoutMillis;
        return mRestartReport == null
                ? regularTimeoutAt
                : Math.min(regularTimeoutAt, mRestartReport.acceptedAt(lastDataAt));
    }

    private void scheduleCheckAfter(long millis) {
        mTimer = mEntry.loop().schedule(this::check, millis, TimeUnit.MILLISECONDS);
    }
}
