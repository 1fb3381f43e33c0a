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

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Judges rollouts at the leader: the verdict, the share of canary requests and the phase.
 *
 * <p>Recent observations are kept to detect a version that is bad only after some time. A new
 * leader starts without them and decides by the totals. Not thread-safe.
 */
public final class RolloutPlanner {
    private static final double REVERT_LLR = 6.9;
    private static final double GOOD_LLR = -4.6;

    /**
     * From so many bad answers on, a version that isn't good is reverted. The requirement is a
     * verdict before the 50th; some are still on their way. Waiting for a ratio above 0 isn't
     * enough: where the old version fails in 0.15 of its answers too, a version that is bad only at
     * times stays below it for long.
     */
    private static final long MANY_BAD = 40;

    private static final long MIN_GOOD_ANSWERS = 30;

    /**
     * A route by itself must show a good version with odds of 2.7 to 1, or a version that is bad on
     * one of several routes would be completed on the answers of the others.
     */
    private static final double GOOD_ROUTE_LLR = -1;

    /** Until the ratios are this many times the thresholds, the verdict may still change. */
    private static final double CLEAR_FACTOR = 2;

    /** A sign of a bad version in the answers of the last seconds, while all requests go there. */
    private static final double SHIFTING_RECENT_LLR = 4.6;

    /**
     * With answers of the last seconds that are bad with odds of 10 to 1, a version is not good; 30
     * to 1, since there are three windows. A limit of 0 would be exceeded by a single bad answer
     * among the first ten.
     */
    private static final double DOUBT_LLR = 3.4;

    private static final long[] WINDOWS_MILLIS = {2_000, 4_000, 8_000};
    private static final long RATE_WINDOW_MILLIS = 2_000;

    /** While all requests go to the new version, growing traffic must be noticed sooner. */
    private static final long SHORT_WINDOW_MILLIS = 500;

    /** A leader that has just been elected doesn't know whether the traffic has grown. */
    private static final double UNKNOWN_GROWTH = 3;

    private static final long MIN_SHIFTING_MILLIS = 400;
    private static final long COMPLETE_BEFORE_END_MILLIS = 300;
    private static final long REVERT_BEFORE_END_MILLIS = 600;

    /**
     * A new leader may receive the reports of the new version's targets before those of the old
     * ones.
     */
    private static final long ONLY_NEW_TARGETS_MILLIS = 1_000;

    /** More than the services that an operator moves at once. */
    private static final int MAX_ROLLOUTS = 256;

    private final EvidenceTest mTest;
    private final ExposureBound mBound;
    private final Map<Long, EvidenceHistory> mHistories =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, EvidenceHistory> eldest) {
                    return size() > MAX_ROLLOUTS;
                }
            };

    private RolloutPlanner(RolloutTolerance tolerance, EvidenceTest test) {
        mTest = test;
        mBound = ExposureBound.create(tolerance);
    }

    /** Returns a planner without observations. */
    public static RolloutPlanner create(RolloutTolerance tolerance) {
        return create(tolerance, SequentialTest.create());
    }

    static RolloutPlanner create(RolloutTolerance tolerance, EvidenceTest test) {
        return new RolloutPlanner(tolerance, test);
    }

    /** Returns what to do about a rollout; a rollout that has ended stays as it is. */
    public RolloutDecision decide(Rollout rollout, RolloutObservation observation) {
        if (!rollout.phase().isRunning()) {
            mHistories.remove(rollout.index());
            return stay(0, "ended");
        }
        EvidenceHistory history =
                mHistories.computeIfAbsent(rollout.index(), index -> new EvidenceHistory());
        history.add(rollout.phase(), observation);
        boolean onlyNew = history.onlyNewTargetsMillis(observation) >= ONLY_NEW_TARGETS_MILLIS;
        if (onlyNew && !history.hadOldTargets()) {
            return complete(history, "all targets have the version");
        }
        Verdict verdict = verdict(rollout.phase(), history, observation);
        if (verdict.kind() == Kind.BAD) {
            return revert(verdict.reason());
        }
        if (onlyNew && verdict.kind() == Kind.GOOD) {
            // The old targets have crashed: the new version serves all requests already.
            return complete(history, "no old targets; " + verdict.reason());
        }
        return rollout.phase() == RolloutPhase.SHIFTING
                ? whileShifting(rollout, history, observation, verdict)
                : withCanaries(rollout, history, observation, verdict);
    }

    private RolloutDecision withCanaries(
            Rollout rollout,
            EvidenceHistory history,
            RolloutObservation observation,
            Verdict verdict) {
        long remaining = rollout.durationMillis() - observation.ageMillis();
        ExposureBound.Traffic traffic =
                traffic(
                        remaining,
                        history.perSecond(RATE_WINDOW_MILLIS, UNKNOWN_GROWTH, observation),
                        observation);
        boolean good = verdict.kind() == Kind.GOOD && observation.newTargets() > 0;
        boolean inTime =
                remaining >= MIN_SHIFTING_MILLIS + COMPLETE_BEFORE_END_MILLIS || remaining < 0;
        if (good && inTime && mBound.permitsShift(traffic)) {
            return new RolloutDecision(
                    Optional.of(RolloutPhase.SHIFTING), List.of(), 1, verdict.reason());
        }
        if (remaining <= REVERT_BEFORE_END_MILLIS) {
            return revert("no shift; " + verdict.reason());
        }
        return stay(mBound.fraction(traffic, !verdict.clear()), verdict.reason());
    }

    private RolloutDecision whileShifting(
            Rollout rollout,
            EvidenceHistory history,
            RolloutObservation observation,
            Verdict verdict) {
        long remaining = rollout.durationMillis() - observation.ageMillis();
        boolean shifted = history.shiftingMillis(observation) >= MIN_SHIFTING_MILLIS;
        double recent = withoutDeviation(history.perSecond(SHORT_WINDOW_MILLIS, 1, observation));
        if (!mBound.permitsRest(traffic(remaining, recent, observation))) {
            return revert("over bound; " + verdict.reason());
        }
        boolean last = remaining <= COMPLETE_BEFORE_END_MILLIS && (remaining > 0 || shifted);
        if (last && (verdict.kind() != Kind.GOOD || observation.newTargets() == 0)) {
            return revert("not good; " + verdict.reason());
        }
        boolean moved = shifted && observation.openAtOldTargets() == 0;
        return last || (moved && verdict.kind() == Kind.GOOD && observation.newTargets() > 0)
                ? complete(history, verdict.reason())
                : stay(1, verdict.reason());
    }

    /**
     * Returns a rate that was observed in the short window, less one standard deviation of random
     * arrivals. With steady traffic of 122 requests a second, more than 157 were observed, and a
     * good version was reverted.
     */
    private static double withoutDeviation(double perSecond) {
        double seconds = SHORT_WINDOW_MILLIS / 1000.0;
        return perSecond - Math.sqrt(perSecond * seconds) / seconds;
    }

    private static ExposureBound.Traffic traffic(
            long remaining, double recentPerSecond, RolloutObservation observation) {
        return new ExposureBound.Traffic(
                observation.requests(),
                observation.canaries(),
                EvidenceHistory.meanPerSecond(observation),
                recentPerSecond,
                Math.max(0, remaining) / 1000.0);
    }

    private Verdict verdict(
            RolloutPhase phase, EvidenceHistory history, RolloutObservation observation) {
        Map<String, Double> rates = BaseRates.of(observation.rows());
        int targets = observation.newTargets();
        EvidenceTest.Result all = mTest.evaluate(observation.rows(), rates, targets);
        double recent = Double.NEGATIVE_INFINITY;
        for (long millis : WINDOWS_MILLIS) {
            List<VersionEvidence> rows = history.since(millis, observation);
            if (!rows.isEmpty()) {
                recent = Math.max(recent, mTest.evaluate(rows, rates, targets).highest());
            }
        }
        String reason =
                String.format(
                        Locale.ROOT,
                        "answers %d, bad %d, llr %.1f, worst route %.1f, recent %.1f",
                        all.answers(),
                        all.bad(),
                        all.llr(),
                        all.worstRoute(),
                        recent);
        boolean shifting = phase == RolloutPhase.SHIFTING;
        boolean good =
                all.answers() >= MIN_GOOD_ANSWERS
                        && all.llr() <= GOOD_LLR
                        && all.worstRoute() <= GOOD_ROUTE_LLR
                        && recent < DOUBT_LLR;
        boolean bad =
                all.highest() >= REVERT_LLR
                        || recent >= (shifting ? SHIFTING_RECENT_LLR : REVERT_LLR)
                        || (shifting && all.highest() > 0)
                        || (!good && all.bad() >= MANY_BAD);
        if (bad) {
            return new Verdict(Kind.BAD, true, reason);
        }
        boolean clear =
                good
                        && all.llr() <= CLEAR_FACTOR * GOOD_LLR
                        && all.worstRoute() <= CLEAR_FACTOR * GOOD_ROUTE_LLR;
        return new Verdict(good ? Kind.GOOD : Kind.OPEN, clear, reason);
    }

    private static RolloutDecision stay(double fraction, String reason) {
        return new RolloutDecision(Optional.empty(), List.of(), fraction, reason);
    }

    private static RolloutDecision complete(EvidenceHistory history, String reason) {
        return new RolloutDecision(
                Optional.of(RolloutPhase.COMPLETED), history.oldVersions(), 1, reason);
    }

    private static RolloutDecision revert(String reason) {
        return new RolloutDecision(Optional.of(RolloutPhase.REVERTED), List.of(), 0, reason);
    }

    private enum Kind {
        GOOD,
        BAD,
        OPEN
    }

    /** A verdict; it is clear if more answers will hardly change it. */
    private record Verdict(Kind kind, boolean clear, String reason) {}
}
