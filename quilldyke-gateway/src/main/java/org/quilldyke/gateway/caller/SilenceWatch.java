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
final class SilenceWatch {
    /** How long after a look that found silence the next one comes. */
    private static final long STEP_MILLIS = 200;

    private final Entry mEntry;
    private final LongConsumer mOnSilent;
    private ScheduledFuture<?> mTimer;
    private TargetAnswer mAnswer;
    private long mMillis;

    /** The word that the target has started again, null if it isn't told or has proved wrong. */
    private RestartReport mWord;

    /**
     * Makes a watch that watches nothing yet.
     *
     * @param entry whose thread and clock are used
     * @param onSilent told at each look that finds silence, with its milliseconds
     */
    SilenceWatch(Entry entry, LongConsumer onSilent) {
        mEntry = entry;
        mOnSilent = onSilent;
    }

    /** Watches an answer instead of what was watched before; never silent for that long: not. */
    void start(TargetAnswer answer, long millis) {
        stop();
        mAnswer = answer;
        mMillis = millis;
        mWord = null;
        lookWhenSilent();
    }

    /** Notes that the answer's target is said to have started again: silence tells more now. */
    void onTargetEnded() {
        stop();
        mWord = new RestartReport(mEntry.now());
        lookWhenSilent();
    }

    void stop() {
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }

    private void look() {
        long now = mEntry.now();
        if (now < silentAt()) {
            lookWhenSilent();
            return;
        }
        lookAfter(STEP_MILLIS);
        mOnSilent.accept(now - mAnswer.heardAt());
    }

    private void lookWhenSilent() {
        if (mMillis != Long.MAX_VALUE) {
            lookAfter(Math.max(1, silentAt() - mEntry.now()));
        }
    }

    /** Returns when the target has been silent for too long if it isn't heard before. */
    private long silentAt() {
        long heardAt = mAnswer.heardAt();
        if (mWord != null && mWord.isRefuted(heardAt)) {
            mWord = null;
        }
        long silentAt = heardAt + mMillis;
        return mWord == null ? silentAt : Math.min(silentAt, mWord.acceptedAt(heardAt));
    }

    private void lookAfter(long millis) {
        mTimer = mEntry.loop().schedule(this::look, millis, TimeUnit.MILLISECONDS);
    }
}
