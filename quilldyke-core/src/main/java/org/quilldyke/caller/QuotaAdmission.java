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

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.quilldyke.ResultCode;
import org.quilldyke.quota.QuotaVerdict;

/** How a request waits for the decision on its organisation's quota, and how it is refused. */
public final class QuotaAdmission {
    /** Longest wait for a decision: an election of a leader takes less. */
    static final long MAX_WAIT_MILLIS = 700;

    /** Fraction of its remaining time that a request may wait. */
    static final double MAX_WAIT_FRACTION = 0.25;

    /** After a longer wait, the target that was chosen before is out of date. */
    static final long MAX_CHOICE_AGE_MILLIS = 100;

    /** Retry delay of a request whose quota can't be checked. */
    private static final long UNAVAILABLE_RETRY_MILLIS = 400;

    private QuotaAdmission() {}

    /** Returns when a request that needs a decision from now on is refused without one. */
    public static long giveUpAt(ForwardRequest request, long now) {
        long millisLeft = Math.max(0, request.deadline() - now);
        return now + Math.min(MAX_WAIT_MILLIS, Math.round(millisLeft * MAX_WAIT_FRACTION));
    }

    /** Returns whether a target must be chosen again after a wait. */
    public static boolean isChoiceOutdated(long waitMillis) {
        return waitMillis > MAX_CHOICE_AGE_MILLIS;
    }

    /**
     * Returns the refusal of a request, empty if it was admitted. The retry delay is the time until
     * the quota suffices, and a random time of up to the latency objective, so that callers don't
     * return all at once.
     */
    public static Optional<Step.Refuse> refusal(
            ForwardRequest request, QuotaVerdict verdict, RandomGenerator random) {
        if (verdict.kind() == QuotaVerdict.Kind.ADMITTED) {
            return Optional.empty();
        }
        boolean overLimit = verdict.kind() == QuotaVerdict.Kind.OVER_LIMIT;
        long earliest =
                overLimit ? Math.max(1, verdict.retryAfterMillis()) : UNAVAILABLE_RETRY_MILLIS;
        long spread = Math.max(1, request.route().latencyObjectiveMillis());
        return Optional.of(
                new Step.Refuse(
                        overLimit ? ResultCode.ORGANISATION_LIMIT : ResultCode.QUOTA_UNAVAILABLE,
                        earliest + random.nextLong(spread),
                        detail(request, verdict)));
    }

    private static String detail(ForwardRequest request, QuotaVerdict verdict) {
        return request.quotaUnits()
                + " units of "
                + request.organisation().map(o -> o.name()).orElse("")
                + ", available in "
                + verdict.retryAfterMillis()
                + " ms";
    }
}
