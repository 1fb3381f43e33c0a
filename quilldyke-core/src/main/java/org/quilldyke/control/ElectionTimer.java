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
 * Determines when a replica without a leader starts an election.
 *
 * <p>The delay is drawn between one and two election timeouts. It doubles with each failed
 * election, so that votes delayed by slow disks still arrive within one election. The delay of a
 * pre-vote is shorter, since a pre-vote binds no replica and writes nothing to disk. It applies
 * when the replica starts, since there is no leader if all replicas were killed together, and to
 * each further pre-vote while no majority grants one.
 */
final class ElectionTimer {
    private static final int MAX_BACKOFF_FACTOR = 8;

    /** The pre-vote delay is one to two times the election timeout divided by this. */
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

    /** Restarts the timer with the short delay of a pre-vote, times the backoff factor. */
    void restartForPreVote(long now) {
        long preVoteDelayMillis = Math.max(1, mElectionMillis / PRE_VOTE_DELAY_DIVISOR);
        mDeadline =
                now + mBackoffFactor * (preVoteDelayMillis + mRandom.nextLong(preVoteDelayMillis));
    }

    /** Restarts the timer with one to two election timeouts, times the backoff factor. */
    void restart(long now) {
        mDeadline = now + mBackoffFactor * (mElectionMillis + mRandom.nextLong(mElectionMillis));
    }

    /** Doubles the backoff factor, up to its limit, and restarts the timer. */
    void restartAfterFailedElection(long now) {
        mBackoffFactor = Math.min(MAX_BACKOFF_FACTOR, 2 * mBackoffFactor);
        restart(now);
    }

    /** Resets the backoff factor and restarts the timer, since there is a leader. */
    void restartOnLeaderContact(long now) {
        mBackoffFactor = 1;
        restart(now);
    }

    boolean isDue(long now) {
        return now >= mDeadline;
    }
}
