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

import java.util.OptionalDouble;

/**
 * Upper bound for the duration of runs of one kind: the longest of the last runs, with a margin.
 */
final class RunDurationBound {
    /**
     * Covers a few minutes of one instance's streams; after that, a slow engine no longer counts.
     */
    private static final int MAX_SAMPLES = 256;

    /** With fewer completed runs there is no bound. */
    private static final int MIN_COMPLETED_RUNS = 40;

    /**
     * Run lengths have a log-normal distribution (sigma 0.7), truncated at four times the median;
     * the longest of 40 runs is below two thirds of that maximum in one case in twenty. Event
     * intervals vary less: the longest of 100 is twice the median.
     */
    private static final double MARGIN = 1.5;

    private final double[] mDurations = new double[MAX_SAMPLES];
    private int mSampleCount;
    private int mCompletedRuns;

    /**
     * Records the duration of a completed run.
     *
     * @param millis milliseconds per unit in which runs of this kind are measured: per event, per
     *     token or per run
     */
    void onCompleted(double millis) {
        mCompletedRuns++;
        addSample(millis);
    }

    /**
     * Records the duration of an interrupted run until it ended. It is only a lower bound, so it is
     * ignored unless it exceeds all recorded durations.
     */
    void onInterrupted(double millis) {
        if (millis > longest()) {
            addSample(millis);
        }
    }

    /** Returns the upper bound; empty if too few runs have completed. */
    OptionalDouble upperBound() {
        return mCompletedRuns < MIN_COMPLETED_RUNS
                ? OptionalDouble.empty()
                : OptionalDouble.of(longest() * MARGIN);
    }

    private void addSample(double millis) {
        mDurations[mSampleCount % MAX_SAMPLES] = millis;
        mSampleCount++;
    }

    private double longest() {
        double longest = 0;
        for (int i = 0; i < Math.min(mSampleCount, MAX_SAMPLES); i++) {
            longest = Math.max(longest, mDurations[i]);
        }
        return longest;
    }
}
