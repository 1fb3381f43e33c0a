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

import java.util.HashSet;
import java.util.Set;

/**
 * Stops an entry's canary requests to one service after consecutive bad responses. It limits the
 * damage of a bad version while there is no leader that could revert it.
 */
final class CanaryStop {
    /** Long enough for a new leader to be elected and to receive the evidence. */
    static final long STOP_MILLIS = 2000;

    private static final int MAX_BAD = 3;
    private static final int MIN_TARGETS = 2;

    /** A single faulty target doesn't indicate a bad version, so it takes more. */
    private static final int MAX_BAD_OF_ONE_TARGET = 5;

    private final Set<String> mBadTargets = new HashSet<>();
    private int mConsecutiveBad;
    private long mStoppedUntil = Long.MIN_VALUE;

    /**
     * Records a response to a canary request.
     *
     * @return whether canary requests stop because of it
     */
    boolean onResponse(String target, boolean bad, long now) {
        if (!bad) {
            reset();
            return false;
        }
        mConsecutiveBad++;
        mBadTargets.add(target);
        boolean stops =
                mConsecutiveBad >= MAX_BAD_OF_ONE_TARGET
                        || mConsecutiveBad >= MAX_BAD && mBadTargets.size() >= MIN_TARGETS;
        if (stops) {
            mStoppedUntil = now + STOP_MILLIS;
            reset();
        }
        return stops;
    }

    boolean isActive(long now) {
        return now < mStoppedUntil;
    }

    private void reset() {
        mConsecutiveBad = 0;
        mBadTargets.clear();
    }
}
