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
package org.quilldyke.control;

import java.util.random.RandomGenerator;

/**
 * When a replica that hears no leader asks to be elected.
 *
 * <p>The time is drawn between one and two election timeouts. It doubles with each election that
 * fails, so that votes which slow disks hold up still arrive within one election. Asking whether an
 * election would be won binds nobody and writes nothing, so that is tried sooner: at the start,
 * when all replicas may have been killed together, and again while no majority answers.
 */
final class ElectionTimer {
    private static final int MAX_BACKOFF_FACTOR = 8;

    /** The part of an election timeout after which it is asked first, or again. */
    private static final int PRE_VOTE_DELAY_DIVISOR = 8;

    private final long mElectionMillis;
    private final RandomGenerator mRandom;
    private long mBackoffFactor = 1;
    private long mDeadline;

    ElectionTimer(long electionMillis, RandomGenerator random, long now) {
        mElectionMillis = electionMillis;
        mRandom = random;
        restartForPreVote(now);
    }

    /** Starts to wait for a short while: an election can't begin before others are asked anyway. */
    void restartForPreVote(long now) {
        long preVoteDelayMillis = Math.max(1, mElectionMillis / PRE_VOTE_DELAY_DIVISOR);
        mDeadline =
                now + mBackoffFactor * (preVoteDelayMillis + mRandom.nextLong(preVoteDelayMillis));
    }

    /** Starts to wait anew. */
    void restart(long now) {
        mDeadline = now + mBackoffFactor * (mElectionMillis + mRandom.nextLong(mElectionMillis));
    }

    /** Starts to wait anew, for longer. */
    void restartAfterFailedElection(long now) {
        mBackoffFactor = Math.min(MAX_BACKOFF_FACTOR, 2 * mBackoffFactor);
        restart(now);
    }

    /** Starts to wait anew, since a leader was heard. */
    void restartOnLeaderContact(long now) {
        mBackoffFactor = 1;
        restart(now);
    }

    boolean isDue(long now) {
        return now >= mDeadline;
    }
}
