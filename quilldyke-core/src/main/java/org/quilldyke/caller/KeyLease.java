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

/**
 * The time for which an instance may accept API keys without a confirmation by the control group.
 *
 * <p>A revoked key must be refused everywhere within a bound, also by instances that receive no
 * updates. So each instance requests confirmations periodically; the control group answers only
 * after its leader has confirmed its leadership with a majority. The lease starts when the request
 * was sent, since all changes that were committed before then are known here.
 */
public final class KeyLease {
    private final long mDurationMillis;
    private long mConfirmedAt = Long.MIN_VALUE;

    private KeyLease(long durationMillis) {
        mDurationMillis = durationMillis;
    }

    /**
     * Returns a lease that is not granted yet.
     *
     * @param durationMillis how long it lasts; shorter than the bound for revoked keys, by more
     *     than a request takes to reach its target
     */
    public static KeyLease ofMillis(long durationMillis) {
        return new KeyLease(durationMillis);
    }

    /** Records the confirmation that was requested at the given time. */
    public void onConfirmed(long sentAt) {
        mConfirmedAt = Math.max(mConfirmedAt, sentAt);
    }

    /** Returns whether the lease was ever granted. */
    public boolean wasGranted() {
        return mConfirmedAt != Long.MIN_VALUE;
    }

    /** Returns whether keys may be accepted at the given time. */
    public boolean isValid(long now) {
        return mConfirmedAt != Long.MIN_VALUE && now - mConfirmedAt < mDurationMillis;
    }

    /**
     * Returns the time since the last confirmation was requested, {@link Long#MAX_VALUE} if there
     * was none.
     */
    public long ageMillis(long now) {
        return mConfirmedAt == Long.MIN_VALUE ? Long.MAX_VALUE : now - mConfirmedAt;
    }
}
