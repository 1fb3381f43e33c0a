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

import java.util.random.RandomGenerator;

/**
 * Whether a prompt is sent on although there is a line, and when its caller may come back if not.
 *
 * <p>While there is a line, prompts that would come late are refused at once, the less urgent ones
 * earlier, so that urgent ones come in time and those that run aren't held up by reading.
 */
public final class Admission {
    /** The most urgent prompts may wait for their whole objective. */
    private static final double URGENT_PART = 1.0;

    /** All others leave a part of the line free, so that urgent ones come in time. */
    private static final double OTHERS_PART = 0.38;

    /** Callers come back within this part of the time that they have left, or not at all. */
    private static final double RETRY_TIME_PART = 1.0 / 3;

    /**
     * The longest time to come back after, in objectives: a line of today's bursts is gone then.
     */
    private static final double MAX_RETRY_OBJECTIVES = 2.0;

    private Admission() {}

    /**
     * Returns whether a request is sent on whose prompt waits that long for those before it and for
     * shared parts. The reading of its own part doesn't count: else large prompts would never be
     * taken. That of shared parts does: under load they are better read where they are kept.
     */
    public static boolean admits(ForwardRequest request, long waitMillis) {
        if (request.prompt().isEmpty()) {
            return true;
        }
        long objective = request.route().objectiveMillis();
        return waitMillis <= objective * (request.priority() == 0 ? URGENT_PART : OTHERS_PART);
    }

    /**
     * Returns after how many milliseconds a caller that is refused may come back: spread, so that
     * not all come at once, and as soon as its own time demands.
     */
    public static long retryAfterMillis(ForwardRequest request, RandomGenerator random, long now) {
        long objective = Math.max(1, request.route().objectiveMillis());
        long most = Math.round((request.answerBy() - now) * RETRY_TIME_PART);
        long latest = Math.min(most, Math.round(objective * MAX_RETRY_OBJECTIVES));
        long earliest = Math.min(objective, latest);
        return Math.max(1, earliest + random.nextLong(Math.max(1, latest - earliest + 1)));
    }
}
