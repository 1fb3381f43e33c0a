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

/**
 * Decaying average of how much later than expected first events arrive: those of one target, or
 * those of answers whose prompts were partly fetched from the KV store.
 *
 * <p>The expectation is based on the requests that instances have sent. The average accounts for
 * what the expectation doesn't cover: a slow engine, a full batch, load reports that arrived late.
 */
final class DelayTracker {
    private static final double NEW_SAMPLE_WEIGHT = 0.3;
    private static final double HALF_LIFE_MILLIS = 1500;

    private double mExcessMillis;
    private long mUpdatedAt;

    /** Adds the measured and the expected time to a first event. */
    void onMeasured(double measuredMillis, double expectedMillis, long now) {
        double excess = Math.max(0, measuredMillis - expectedMillis);
        mExcessMillis = (1 - NEW_SAMPLE_WEIGHT) * excessMillis(now) + NEW_SAMPLE_WEIGHT * excess;
        mUpdatedAt = now;
    }

    /** Returns the average, decayed to {@code now}. */
    double excessMillis(long now) {
        return mExcessMillis * Math.pow(0.5, Math.max(0, now - mUpdatedAt) / HALF_LIFE_MILLIS);
    }
}
