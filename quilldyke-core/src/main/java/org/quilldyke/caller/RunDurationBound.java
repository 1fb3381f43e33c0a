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

/** The slowest of the last runs of one kind, with a margin for those that are slower still. */
final class RunDurationBound {
    /** Some minutes of one instance's streams; a slow engine is forgotten with them. */
    private static final int MAX_SAMPLES = 256;

    /** Before so many whole runs were seen, nothing is taken as learnt. */
    private static final int MIN_COMPLETED_RUNS = 40;

    /**
     * Lengths are spread over a factor of four above their median (log-normal, sigma 0.7, cut off
     * at four times the median): the longest of forty is below two thirds of that for one in
     * twenty. Paces are spread by less: the slowest of a hundred is twice the median.
     */
    private static final double MARGIN = 1.5;

    private final double[] mDurations = new double[MAX_SAMPLES];
    private int mSamples;
    private int mCompletedRuns;

    /** Takes how long a run lasted, in milliseconds of whatever its kind is measured by. */
    void onCompleted(double millis) {
        mCompletedRuns++;
        addSample(millis);
    }

    /**
     * Takes how long a run lasted until it broke off: one that is shorter than others tells nothing
     * of how long runs last.
     */
    void onInterrupted(double millis) {
        if (millis > longest()) {
            addSample(millis);
        }
    }

    /** Returns how long a run lasts at most; nothing as long as too few were seen. */
    OptionalDouble upperBound() {
        return mCompletedRuns < MIN_COMPLETED_RUNS
                ? OptionalDouble.empty()
                : OptionalDouble.of(longest() * MARGIN);
    }

    private void addSample(double millis) {
        mDurations[mSamples % MAX_SAMPLES] = millis;
        mSamples++;
    }

    private double longest() {
        double longest = 0;
        for (int i = 0; i < Math.min(mSamples, MAX_SAMPLES); i++) {
            longest = Math.max(longest, mDurations[i]);
        }
        return longest;
    }
}
