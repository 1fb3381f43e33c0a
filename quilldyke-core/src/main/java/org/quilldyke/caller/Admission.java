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
 * Load shedding: decides whether a prompt is admitted while requests are queued, and when the
 * caller of a refused one may retry.
 *
 * <p>Prompts whose first event would be late are refused immediately. Less urgent prompts are
 * refused at a lower expected delay, so that urgent ones are served in time and running requests
 * are not slowed down by prefill.
 */
public final class Admission {
    /** Prompts of the highest priority are admitted up to their whole objective. */
    private static final double URGENT_OBJECTIVE_FRACTION = 1.0;

    /** All other prompts leave a part of the objective as headroom for urgent ones. */
    private static final double NORMAL_OBJECTIVE_FRACTION = 0.65;

    /**
     * The prefill of a prompt's unshared part counts only up to this fraction of the objective;
     * otherwise the largest prompts would never be admitted.
     */
    private static final double OWN_PREFILL_OBJECTIVE_FRACTION = 0.2;

    /** A caller may retry within this fraction of its remaining time, or not at all. */
    private static final double MAX_RETRY_DELAY_FRACTION = 1.0 / 3;

    /**
     * The longest retry delay, as a multiple of the latency objective: the queue caused by a
     * typical burst has drained by then.
     */
    private static final double MAX_RETRY_DELAY_OBJECTIVES = 2.0;

    private Admission() {}

    /**
     * Returns whether a request is admitted.
     *
     * @param admissionMillis the expected time to the first event, less the discounted part of the
     *     prefill, see {@link #discountedPrefillMillis}
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

    /** Returns the reason for a refusal, for the log. */
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

    /** Returns how much of the prefill of a prompt's unshared part is ignored for admission. */
    public static double discountedPrefillMillis(ForwardRequest request, double ownPrefillMillis) {
        double maxCountedMillis =
                OWN_PREFILL_OBJECTIVE_FRACTION * request.route().latencyObjectiveMillis();
        return Math.max(0, ownPrefillMillis - maxCountedMillis);
    }

    /**
     * Returns how much of the round trip to another region is ignored for admission. The headroom
     * that less urgent prompts leave is one at the engine, which the round trip doesn't use: it
     * counts only where the answer would exceed the whole objective.
     */
    public static double discountedRoundTripMillis(ForwardRequest request, double roundTripMillis) {
        double headroom =
                request.priority() == 0
                        ? 0
                        : (1 - NORMAL_OBJECTIVE_FRACTION)
                                * request.route().latencyObjectiveMillis();
        return Math.min(roundTripMillis, headroom);
    }

    /**
     * Returns the delay after which a refused caller may retry: random, so that not all callers
     * retry at the same time, and short enough for the remaining time of the request.
     */
    public static long retryAfterMillis(ForwardRequest request, RandomGenerator random, long now) {
        long objective = Math.max(1, request.route().latencyObjectiveMillis());
        long maxDelay = Math.round((request.deadline() - now) * MAX_RETRY_DELAY_FRACTION);
        long latest = Math.min(maxDelay, Math.round(objective * MAX_RETRY_DELAY_OBJECTIVES));
        long earliest = Math.min(objective, latest);
        return Math.max(1, earliest + random.nextLong(Math.max(1, latest - earliest + 1)));
    }
}
