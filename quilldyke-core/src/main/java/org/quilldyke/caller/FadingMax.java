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

/** The largest value of late: without another as large it fades towards the last one seen. */
final class FadingMax {
    private final double mHalfLifeMillis;
    private double mMax;
    private double mLast;
    private long mAt;

    private FadingMax(double halfLifeMillis) {
        mHalfLifeMillis = halfLifeMillis;
    }

    /** Returns a maximum of nothing, which is zero. */
    static FadingMax ofHalfLife(double millis) {
        return new FadingMax(millis);
    }

    /** Takes a value. */
    void onSeen(double value, long now) {
        mMax = Math.max(value, value(now));
        mLast = value;
        mAt = now;
    }

    /** Returns the maximum as of now. */
    double value(long now) {
        double left = Math.pow(0.5, Math.max(0, now - mAt) / mHalfLifeMillis);
        return mLast + (mMax - mLast) * left;
    }
}
