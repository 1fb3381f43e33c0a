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
 * For how long an instance may take keys for good without hearing the control group.
 *
 * <p>A key that operators take away must be refused everywhere within a bound, also where no news
 * arrives. So an instance asks the group again and again; the group answers only after its leader
 * has confirmed with a majority that it leads. The lease runs from when the question was sent: all
 * that was accepted before then is known here.
 */
public final class KeyLease {
    private final long mDurationMillis;
    private long mConfirmedAt = Long.MIN_VALUE;

    private KeyLease(long durationMillis) {
        mDurationMillis = durationMillis;
    }

    /**
     * Returns a lease that isn't granted yet.
     *
     * @param durationMillis how long it lasts; shorter than the bound for withdrawn keys, by more
     *     than a request takes to reach its target
     */
    public static KeyLease ofMillis(long durationMillis) {
        return new KeyLease(durationMillis);
    }

    /** Notes an answer to the question that was sent at the given time. */
    public void onConfirmed(long sentAt) {
        mConfirmedAt = Math.max(mConfirmedAt, sentAt);
    }

    /** Returns whether the lease was granted at any time. */
    public boolean wasGranted() {
        return mConfirmedAt != Long.MIN_VALUE;
    }

    /** Returns whether keys may be taken for good at {@code now}. */
    public boolean isValid(long now) {
        return mConfirmedAt != Long.MIN_VALUE && now - mConfirmedAt < mDurationMillis;
    }

    /**
     * Returns the time since the last confirmed question was sent, {@link Long#MAX_VALUE} if none.
     */
    public long ageMillis(long now) {
        return mConfirmedAt == Long.MIN_VALUE ? Long.MAX_VALUE : now - mConfirmedAt;
    }
}
