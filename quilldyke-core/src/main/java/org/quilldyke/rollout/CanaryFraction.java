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

/**
 * The share of a service's requests that are canaries at one entry, and which ones they are.
 *
 * <p>A hash of the request's id and the rollout's index decides, so that all entries together keep
 * to the expected total without counters, whichever of them fail or restart.
 */
final class CanaryFraction {
    /** An older value of the leader is not used: the leader may have failed since. */
    static final long MAX_AGE_MILLIS = 1000;

    /** More is never needed to evaluate a version. */
    static final double MAX = 0.5;

    /** Half of the tolerated share is left for the time in which the verdict takes effect. */
    private static final double BASE = 0.5;

    /** The highest 53 bits of a hash are the precision of a double. */
    private static final int UNUSED_HASH_BITS = 11;

    private static final double PER_HASH = 1.0 / (1L << 53);

    private double mValue;
    private long mReceivedAt = Long.MIN_VALUE;

    /** Applies a value that the leader has sent. */
    void onReceived(double value, long now) {
        if (!Double.isNaN(value)) {
            mValue = Math.max(0, Math.min(MAX, value));
            mReceivedAt = now;
        }
    }

    /** Returns the fraction that is in force. */
    double value(RolloutTolerance tolerance, long now) {
        boolean isRecent = mReceivedAt != Long.MIN_VALUE && now - mReceivedAt < MAX_AGE_MILLIS;
        return isRecent ? mValue : Math.min(MAX, BASE * tolerance.maxShare());
    }

    /** Returns whether a hash is below a fraction. */
    static boolean isBelow(long hash, double fraction) {
        return (hash >>> UNUSED_HASH_BITS) * PER_HASH < fraction;
    }
}
