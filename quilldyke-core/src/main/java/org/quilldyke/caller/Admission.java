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
import org.quilldyke.routing.Choice;

/**
 * Whether a prompt is sent on although there is a line, and when its caller may come back if not.
 *
 * <p>While there is a line, prompts that would come late are refused at once, the less urgent ones
 * earlier, so that urgent ones come in time and those that run aren't held up by reading.
 */
public final class Admission {
    /** The most urgent prompts may wait for their whole objective. */
    private static final double URGENT_OBJECTIVE_FRACTION = 1.0;

    /** All others leave a part of the line free, so that urgent ones come in time. */
    private static final double NORMAL_OBJECTIVE_FRACTION = 0.65;

    /**
     * The reading of a prompt's own part counts up to this part of its objective: else the largest
     * would never be taken.
     */
    private static final double OWN_PREFILL_OBJECTIVE_FRACTION = 0.2;

    /** Callers come back within this part of the time that they have left, or not at all. */
    private static final double MAX_RETRY_DELAY_FRACTION = 1.0 / 3;

    /**
     * The longest time to come back after, in objectives: a line of today's bursts is gone then.
     */
    private static final double MAX_RETRY_DELAY_OBJECTIVES = 2.0;

    private Admission() {}

    /**
     * Returns whether a request is sent on whose first event is expected after so many
     * milliseconds, less what is pardoned of its own reading.
     */
    public static boolean admits(ForwardRequest request, long admissionMillis) {
        if (request.prompt().isEmpty()) {
            return true;
        }
        long objective = request.route().latencyObjectiveMillis();
        return admissionMillis
                <= objective
                        * (request.priority() == 0
                                ? URGENT_OBJECTIVE_FRACTION
                                : NORMAL_OBJECTIVE_FRACTION);
    }

    /** Returns what a refusal rests on, for the log. */
    static String refusalDetail(ForwardRequest request, Choice best) {
        return "best "
                + best.target()
                + " in "
                + best.expectedMillis()
                + " ms, counted as "
                + best.admissionMillis()
                + ", objective "
                + request.route().latencyObjectiveMillis();
    }

    /** Returns how much of the reading of a prompt's own part doesn't count. */
    public static double discountedPrefillMillis(ForwardRequest request, double ownPrefillMillis) {
        double maxCountedMillis =
                OWN_PREFILL_OBJECTIVE_FRACTION * request.route().latencyObjectiveMillis();
        return Math.max(0, ownPrefillMillis - maxCountedMillis);
    }

    /**
     * Returns after how many milliseconds a caller that is refused may come back: spread, so that
     * not all come at once, and as soon as its own time demands.
     */
    public static long retryAfterMillis(ForwardRequest request, RandomGenerator random, long now) {
        long objective = Math.max(1, request.route().latencyObjectiveMillis());
        long maxDelay = Math.round((request.deadline() - now) * MAX_RETRY_DELAY_FRACTION);
        long latest = Math.min(maxDelay, Math.round(objective * MAX_RETRY_DELAY_OBJECTIVES));
        long earliest = Math.min(objective, latest);
        return Math.max(1, earliest + random.nextLong(Math.max(1, latest - earliest + 1)));
    }
}
