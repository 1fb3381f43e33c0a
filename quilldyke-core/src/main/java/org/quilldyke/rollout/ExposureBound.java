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

/** How many requests may go to a version that could be bad. */
final class ExposureBound {
    /** The fraction of entries that get no other one, as a part of the permitted share. */
    private static final double BASE_PART = 0.5;

    private static final double MAX_FRACTION = 0.5;

    /** The part of the slack to plan with; the rest absorbs random deviations. */
    private static final double PLANNED_SLACK = 0.6;

    /** The part of the slack that may be used up if traffic grows suddenly. */
    private static final double GROWTH_SLACK = 0.8;

    /** The growth of traffic to expect until the leader's next fraction is in effect. */
    private static final double GROWTH_FACTOR = 8;

    private static final double GROWN_PER_SECOND = 40;

    /**
     * The time until entries act on a change of traffic: they report each 250 ms, the leader
     * decides and sends within 350 ms, and an entry uses a fraction for up to 1,000 ms.
     */
    private static final double REACTION_SECONDS = 1.6;

    /**
     * The time before the end that a shift needs: 400 ms of shifting, 300 ms until the duration
     * ends, and the rest for the commit and for a rate that is higher than expected.
     */
    private static final double SHIFT_SECONDS = 0.9;

    /** The time before the end in which a shift need not allow for traffic that grows. */
    private static final double LATE_SECONDS = 1.1;

    /** Random arrivals deviate from their mean by the root of it. */
    private static final double RESERVE_DEVIATIONS = 2;

    private final RolloutTolerance mTolerance;

    private ExposureBound(RolloutTolerance tolerance) {
        mTolerance = tolerance;
    }

    static ExposureBound create(RolloutTolerance tolerance) {
        return new ExposureBound(tolerance);
    }

    /**
     * Requests of a service since the order, and the rate expected until the duration ends.
     *
     * @param requests how many requests were sent to the service
     * @param canaries how many of these were sent to the new version
     * @param meanPerSecond the rate since the order
     * @param recentPerSecond the rate of the last seconds
     * @param remainingSeconds the time until the duration ends
     */
    record Traffic(
            long requests,
            long canaries,
            double meanPerSecond,
            double recentPerSecond,
            double remainingSeconds) {
        double highPerSecond() {
            return Math.max(meanPerSecond, recentPerSecond);
        }

        double lowPerSecond() {
            return Math.min(meanPerSecond, recentPerSecond);
        }
    }

    /** Returns the fraction that entries use without the leader. */
    double baseFraction() {
        return BASE_PART * mTolerance.maxShare();
    }

    /**
     * Returns whether all requests may go to the new version until the duration ends. Long before
     * the end, this holds only if they also may if traffic grows.
     */
    boolean permitsShift(Traffic traffic) {
        double remaining = traffic.remainingSeconds();
        double rest = traffic.recentPerSecond() * remaining;
        boolean expected = traffic.canaries() + rest <= budget(traffic.requests() + rest);
        return expected
                && (remaining <= LATE_SECONDS
                        || grownPerSecond(traffic) * remaining * (1 - mTolerance.maxShare())
                                <= growthRoom(traffic));
    }

    /** Returns whether all requests may still go to the new version, with the whole slack. */
    boolean permitsRest(Traffic traffic) {
        double rest = traffic.highPerSecond() * traffic.remainingSeconds();
        return traffic.canaries() + rest
                <= mTolerance.maxShare() * (traffic.requests() + rest) + mTolerance.slack();
    }

    /**
     * Returns the share of requests to send to the new version, such that a later shift stays
     * possible.
     *
     * @param moreEvidence whether the verdict needs more answers
     */
    double fraction(Traffic traffic, boolean moreEvidence) {
        double seconds = Math.max(0, traffic.remainingSeconds() - SHIFT_SECONDS);
        double shifted =
                traffic.highPerSecond() * Math.min(SHIFT_SECONDS, traffic.remainingSeconds());
        double reserve = shifted + RESERVE_DEVIATIONS * Math.sqrt(shifted);
        double total = traffic.requests() + traffic.lowPerSecond() * traffic.remainingSeconds();
        double planned =
                (budget(total) - reserve - traffic.canaries())
                        / Math.max(1, traffic.highPerSecond() * seconds);
        double sudden =
                mTolerance.maxShare()
                        + growthRoom(traffic) / (grownPerSecond(traffic) * REACTION_SECONDS);
        double highest = moreEvidence ? MAX_FRACTION : baseFraction();
        return Math.max(0, Math.min(highest, Math.min(planned, sudden)));
    }

    private static double grownPerSecond(Traffic traffic) {
        return Math.max(GROWTH_FACTOR * traffic.highPerSecond(), GROWN_PER_SECOND);
    }

    /** Returns how many more requests the new version may get, by the requests seen until now. */
    private double growthRoom(Traffic traffic) {
        return mTolerance.maxShare() * traffic.requests()
                + GROWTH_SLACK * mTolerance.slack()
                - traffic.canaries();
    }

    private double budget(double totalRequests) {
        return mTolerance.maxShare() * totalRequests + PLANNED_SLACK * mTolerance.slack();
    }
}
