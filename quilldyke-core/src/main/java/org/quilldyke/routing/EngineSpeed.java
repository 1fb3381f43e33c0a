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
package org.quilldyke.routing;

import java.util.IdentityHashMap;
import java.util.Map;

/**
 * How long one engine takes to prefill a token, learned from the first events of this instance's
 * requests: a factor of the time in the standard model.
 *
 * <p>Only prompts that were the only ones to prefill are samples: others waited, or were fetched,
 * for a time that says little about the engine. Samples are averaged as logarithms, and each moves
 * the average by a bounded amount, because some still waited for prompts of other instances that
 * weren't known here.
 */
final class EngineSpeed {
    static final double MIN_FACTOR = 0.5;
    static final double MAX_FACTOR = 4;

    /** The time to the first event of shorter prompts depends little on the prefill. */
    private static final int MIN_SAMPLE_TOKENS = 500;

    /** An engine that becomes slow by 4 is followed within ten samples. */
    private static final double SAMPLE_WEIGHT = 0.25;

    /** The most by which a sample counts as quicker or slower than the average. */
    private static final double MAX_LOG_DIFFERENCE = Math.log(2);

    /** In this time without a sample, half the difference from the mean of the service is lost. */
    private static final double HALF_LIFE_MILLIS = 10_000;

    /**
     * The share of the backlog that other instances report which counts, at the standard rate.
     * These reports are some hundred milliseconds old. With the measured rate and the whole
     * backlog, most instances choose the same few targets, and fewer prompts are on time than
     * without measuring.
     */
    private static final double REPORTED_BACKLOG_SHARE = 0.5;

    private final CostModel mStandard;

    /** Null if speeds aren't measured. */
    private final ServiceSpeed mService;

    /** The expected time to the first event besides the prefill, of prompts that are samples. */
    private final Map<Choice, Double> mOtherMillis = new IdentityHashMap<>();

    /** How much longer than the mean of the service the engine takes, as a logarithm. */
    private double mLogDifference;

    private long mSampledAt;

    private EngineSpeed(CostModel standard, ServiceSpeed service) {
        mStandard = standard;
        mService = service;
    }

    /** Returns the speed of an engine that isn't measured. */
    static EngineSpeed standard() {
        return new EngineSpeed(CostModel.standard(), null);
    }

    /** Returns the speed of an engine that is measured, from the mean of its service on. */
    static EngineSpeed measured(ServiceSpeed service) {
        return new EngineSpeed(CostModel.withAttention(), service);
    }

    /** Returns the model of the engine's times. */
    CostModel costModel(long now) {
        return mService == null ? mStandard : mStandard.withPrefillFactor(factor(now));
    }

    /**
     * Returns the time for the prefill of prompts that were sent before.
     *
     * @param ownTokens the tokens that this instance has sent
     * @param othersTokens those of other instances, by their last reports
     */
    double backlogMillis(long ownTokens, long othersTokens, long now) {
        return mService == null
                ? mStandard.prefillMillis(0, ownTokens + othersTokens)
                : prefillMillis(ownTokens, now)
                        + REPORTED_BACKLOG_SHARE * mStandard.prefillMillis(0, othersTokens);
    }

    /** Returns the prefill time of tokens without others before them in their prompt. */
    double prefillMillis(long tokens, long now) {
        return costModel(now).prefillMillis(0, tokens);
    }

    /**
     * Records that a request is sent.
     *
     * @param isAlone whether no other request is expected to delay its prefill
     * @param excessMillis the measured delay that its expected time includes
     */
    void onDispatch(Choice choice, boolean isAlone, double excessMillis, long now) {
        boolean isSample =
                mService != null
                        && isAlone
                        && choice.missingTokens() >= MIN_SAMPLE_TOKENS
                        && choice.fetchedTokens() == 0;
        if (isSample) {
            double prefillMillis =
                    costModel(now).prefillMillis(choice.cachedTokens(), choice.missingTokens());
            mOtherMillis.put(choice, choice.expectedMillis() - excessMillis - prefillMillis);
        }
    }

    /** Records that a request has ended, with or without a first event. */
    void onFinished(Choice choice) {
        mOtherMillis.remove(choice);
    }

    /**
     * Records a first event.
     *
     * @return how much of the difference from the expected time the new rate explains
     */
    double onFirstEvent(Choice choice, long sinceDispatchMillis, long now) {
        Double otherMillis = mOtherMillis.remove(choice);
        if (otherMillis == null) {
            return 0;
        }
        int cached = choice.cachedTokens();
        int missing = choice.missingTokens();
        double before = costModel(now).prefillMillis(cached, missing);
        double measuredFactor =
                (sinceDispatchMillis - otherMillis) / mStandard.prefillMillis(cached, missing);
        double sample = Math.log(clampFactor(measuredFactor));
        double difference = sample - Math.log(factor(now));
        mLogDifference =
                logDifference(now)
                        + SAMPLE_WEIGHT
                                * clamp(difference, -MAX_LOG_DIFFERENCE, MAX_LOG_DIFFERENCE);
        mSampledAt = now;
        mService.onSample(sample);
        return costModel(now).prefillMillis(cached, missing) - before;
    }

    /** Returns the prefill time of the engine as a multiple of that of the standard model. */
    double factor(long now) {
        return mService == null
                ? 1
                : clampFactor(Math.exp(mService.logFactor() + logDifference(now)));
    }

    private double logDifference(long now) {
        return mLogDifference * Math.pow(0.5, Math.max(0, now - mSampledAt) / HALF_LIFE_MILLIS);
    }

    private static double clamp(double value, double min, double max) {
        return Math.max(min, Math.min(max, value));
    }

    private static double clampFactor(double factor) {
        return clamp(factor, MIN_FACTOR, MAX_FACTOR);
    }

    /** The mean of the engines of a service, with which new incarnations start. */
    static final class ServiceSpeed {
        /** The standard model counts as this many samples. */
        private static final int STANDARD_SAMPLES = 3;

        private static final double MIN_WEIGHT = 0.03;
        private static final double MAX_DIFFERENCE = 0.4;

        private int mSamples = STANDARD_SAMPLES;
        private double mLogFactor;

        private void onSample(double logFactor) {
            mSamples++;
            double weight = Math.max(MIN_WEIGHT, 1.0 / mSamples);
            double difference = logFactor - mLogFactor;
            mLogFactor += weight * clamp(difference, -MAX_DIFFERENCE, MAX_DIFFERENCE);
        }

        private double logFactor() {
            return mLogFactor;
        }
    }
}
