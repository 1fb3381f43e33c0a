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

/** Looks, and looks again, whether the target of an answer has been silent for too long. */
final class SilenceWatch {
    /** How long after a look that found silence the next one comes. */
    private static final long STEP_MILLIS = 200;

    private final Entry mEntry;
    private final LongConsumer mOnSilent;
    private ScheduledFuture<?> mTimer;

    /**
     * Makes a watch that watches nothing yet.
     *
     * @param entry whose thread and clock are used
     * @param onSilent told at each look that finds silence, with the milliseconds allowed
     */
    SilenceWatch(Entry entry, LongConsumer onSilent) {
        mEntry = entry;
        mOnSilent = onSilent;
    }

    /** Watches an answer instead of what was watched before; never silent for that long: not. */
    void start(TargetAnswer answer, long millis) {
        stop();
        if (millis != Long.MAX_VALUE) {
            lookAfter(answer, answer.heardAt() + millis - mEntry.now(), millis);
        }
    }

    void stop() {
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }

    private void lookAfter(TargetAnswer answer, long wait, long millis) {
        mTimer =
                mEntry.loop()
                        .schedule(
                                () -> look(answer, millis),
                                Math.max(1, wait),
                                TimeUnit.MILLISECONDS);
    }

    private void look(TargetAnswer answer, long millis) {
        long silent = mEntry.now() - answer.heardAt();
        if (silent < millis) {
            lookAfter(answer, millis - silent, millis);
            return;
        }
        lookAfter(answer, STEP_MILLIS, millis);
        mOnSilent.accept(millis);
    }
}
