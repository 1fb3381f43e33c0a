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

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The share of one instance in retries that are allowed to all instances together.
 *
 * <p>The control group counts the instances, and each of them gets an equal share, which is valid
 * for {@link #LEASE_MILLIS} after it asked for the count. The shares in use in any window add up to
 * the total at most:
 *
 * <ul>
 *   <li>A new instance has no share until one window and one lease after it was first counted, when
 *       the retries of its former process have left the window, and the leases of larger shares
 *       have ended. So has one that was not counted for a lease: a new leader may not know it.
 *   <li>A smaller count applies only after one window and two leases, when the retries of the
 *       instances that are no longer counted have left the window.
 * </ul>
 */
public final class RetryShare {
    /** A share is valid for this long after the question that was answered with the count. */
    public static final long LEASE_MILLIS = 3000;

    private static final long NEVER = Long.MIN_VALUE;

    private final long mWindowMillis;

    /** Counts that may still apply, from the oldest and largest to the newest and smallest. */
    private final Deque<Count> mCounts = new ArrayDeque<>();

    private long mFirstCountedAt = NEVER;

    /** Until then, each leader whose count is known counts this instance. */
    private long mCountedUntil = NEVER;

    private long mValidUntil = NEVER;

    private RetryShare(long windowMillis) {
        mWindowMillis = windowMillis;
    }

    /**
     * Returns the share of an instance that has just started.
     *
     * @param windowMillis the length of the windows in which retries are limited
     */
    public static RetryShare create(long windowMillis) {
        return new RetryShare(windowMillis);
    }

    /**
     * Handles a confirmation of the control group's leader that this instance is counted.
     *
     * @param instances the number of instances, 0 if the leader has not counted all of them yet
     * @param askedAt when this instance asked for the confirmation
     */
    public void onCounted(int instances, long askedAt, long now) {
        if (now >= mCountedUntil) {
            mFirstCountedAt = now;
        }
        mCountedUntil = Math.max(mCountedUntil, askedAt + LEASE_MILLIS);
        if (instances == 0) {
            return;
        }
        mValidUntil = Math.max(mValidUntil, askedAt + LEASE_MILLIS);
        while (!mCounts.isEmpty() && mCounts.getLast().instances() <= instances) {
            mCounts.removeLast();
        }
        mCounts.addLast(new Count(instances, now));
    }

    /** Returns the number of instances that share the retries; 0 if this one has no share now. */
    public int sharers(long now) {
        long minAge = mWindowMillis + LEASE_MILLIS;
        boolean isValid =
                mFirstCountedAt != NEVER && now - mFirstCountedAt >= minAge && now < mValidUntil;
        while (!mCounts.isEmpty() && now - mCounts.getFirst().at() > minAge + LEASE_MILLIS) {
            mCounts.removeFirst();
        }
        return isValid && !mCounts.isEmpty() ? mCounts.getFirst().instances() : 0;
    }

    private record Count(int instances, long at) {}
}
