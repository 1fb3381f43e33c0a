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

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * The measured round-trip times to other regions: the median of the last times to connect.
 *
 * <p>Single connects that are late, because a packet was lost or a thread was delayed, don't move a
 * median. Failed connects aren't measurements and must not be recorded.
 */
final class RoundTrips {
    /** Is assumed without measurements: a one-way latency of 30 ms. */
    static final double ASSUMED_MILLIS = 60;

    /** Up to four late connects of nine don't change the median by more than the usual spread. */
    private static final int MAX_SAMPLES = 9;

    /**
     * Measurements expire, because a region that is avoided for its round trip gets no new
     * connections: it would be avoided permanently after a temporary delay.
     */
    private static final long RETENTION_MILLIS = 300_000;

    private final Map<String, Samples> mByRegion = new HashMap<>();

    /** Records the time that a successful connect to a target in a region took. */
    void onConnected(String region, double millis, long now) {
        mByRegion.computeIfAbsent(region, r -> new Samples()).add(millis, now);
    }

    /** Returns the round-trip time to a region in milliseconds. */
    double millis(String region, long now) {
        Samples samples = mByRegion.get(region);
        return samples == null ? ASSUMED_MILLIS : samples.median(now);
    }

    /** The last measurements to one region. */
    private static final class Samples {
        private final double[] mMillis = new double[MAX_SAMPLES];
        private int mCount;
        private int mNext;
        private long mLastAt;

        void add(double millis, long now) {
            expire(now);
            mMillis[mNext] = millis;
            mNext = (mNext + 1) % MAX_SAMPLES;
            mCount = Math.min(MAX_SAMPLES, mCount + 1);
            mLastAt = now;
        }

        /**
         * Returns the lower median. Until there are three measurements the assumed time counts as
         * one, so that a first one that is late is ignored.
         */
        double median(long now) {
            expire(now);
            if (mCount == 0) {
                return ASSUMED_MILLIS;
            }
            double[] sorted = Arrays.copyOf(mMillis, mCount < 3 ? mCount + 1 : mCount);
            if (mCount < 3) {
                sorted[mCount] = ASSUMED_MILLIS;
            }
            Arrays.sort(sorted);
            return sorted[(sorted.length - 1) / 2];
        }

        private void expire(long now) {
            if (now - mLastAt > RETENTION_MILLIS) {
                mCount = 0;
                mNext = 0;
            }
        }
    }
}
