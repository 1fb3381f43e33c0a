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

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Instances that use every retry they may send, while instances restart, freeze, join and leave,
 * and leaders change or are partitioned from them.
 */
class RetryShareSimulationTest {
    private static final int RUNS = 60;
    private static final int RUN_MILLIS = 120_000;
    private static final int STEP_MILLIS = 25;
    private static final int QUESTION_MILLIS = 250;
    private static final int MAX_ANSWER_MILLIS = 300;
    private static final int WINDOW_MILLIS = 10_000;
    private static final int ENTRY_EXPIRY_MILLIS = 20_000;

    /** A budget uses four fifths of what is allowed, which are 60 retries here. */
    private static final int FIXED_RETRIES = 75;

    private static final int USED_RETRIES = 60;

    @ParameterizedTest
    @ValueSource(ints = {2, 6, 15})
    void noWindowExceedsTheTotalOverDrawnFaults(int instances) {
        for (int seed = 0; seed < RUNS; seed++) {
            Play play = new Play(new Random(seed), instances);
            play.run(true);

            assertWithMessage("seed %s", seed)
                    .that(play.maxInWindow(0, RUN_MILLIS))
                    .isAtMost(USED_RETRIES);
        }
    }

    /** A new leader did not know a partitioned instance, while another one joined. */
    @ParameterizedTest
    @CsvSource({"2, 723", "6, 273", "15, 804"})
    void partitionedInstanceThatANewLeaderDoesNotKnowHasNoShare(int instances, int seed) {
        Play play = new Play(new Random(seed), instances);
        play.run(true);

        assertThat(play.maxInWindow(0, RUN_MILLIS)).isAtMost(USED_RETRIES);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 6, 15})
    void calmInstancesUseTheTotalOnceTheyAreCounted(int instances) {
        Play play = new Play(new Random(1), instances);

        play.run(false);

        long countedAfter = WINDOW_MILLIS + 2 * RetryShare.LEASE_MILLIS + 2000;
        assertThat(play.sentBetween(countedAfter, RUN_MILLIS))
                .isAtLeast((int) (0.9 * USED_RETRIES * (RUN_MILLIS - countedAfter) / 10_500));
    }

    @Test
    void restartedInstanceHasNoShareUntilItsFormerRetriesHaveLeftTheWindow() {
        RetryShare share = RetryShare.create(WINDOW_MILLIS);
        long countedFor = WINDOW_MILLIS + RetryShare.LEASE_MILLIS;

        for (long now = 0; now < countedFor; now += QUESTION_MILLIS) {
            share.onCounted(3, now, now);
            assertThat(share.sharers(now)).isEqualTo(0);
        }
        share.onCounted(3, countedFor, countedFor);

        assertThat(share.sharers(countedFor)).isEqualTo(3);
        assertThat(share.sharers(countedFor + RetryShare.LEASE_MILLIS)).isEqualTo(0);
    }

    /** All instances, and what the leader knows of them. */
    private static final class Play {
        private final Random mRandom;
        private final List<Instance> mInstances = new ArrayList<>();
        private final List<Long> mSentAt = new ArrayList<>();
        private Map<Integer, Long> mSeenAt = new HashMap<>();
        private long mLeaderSince;
        private long mLeaderlessUntil;
        private int mLastId;

        Play(Random random, int instances) {
            mRandom = random;
            for (int i = 0; i < instances; i++) {
                mInstances.add(new Instance(++mLastId));
            }
        }

        void run(boolean withFaults) {
            int stepsPerFault = 40 << mRandom.nextInt(5);
            for (long now = 0; now < RUN_MILLIS; now += STEP_MILLIS) {
                if (withFaults && mRandom.nextInt(stepsPerFault) == 0) {
                    disrupt(now);
                }
                for (Instance instance : mInstances) {
                    instance.step(this, now);
                }
            }
        }

        private void disrupt(long now) {
            Instance instance =
                    mInstances.isEmpty()
                            ? null
                            : mInstances.get(mRandom.nextInt(mInstances.size()));
            long duration = 100 + mRandom.nextInt(mRandom.nextBoolean() ? 3000 : 30_000);
            int fault = mRandom.nextInt(10);
            if (fault <= 2 && instance != null) {
                instance.restart();
            } else if (fault == 3 && instance != null) {
                instance.mFrozenUntil = now + duration;
            } else if (fault == 4) {
                mInstances.stream()
                        .filter(other -> mRandom.nextBoolean())
                        .forEach(other -> other.mPartitionedUntil = now + duration);
            } else if (fault == 5) {
                mInstances.forEach(Instance::restart);
            } else if (fault == 6) {
                mInstances.add(new Instance(++mLastId));
            } else if (fault == 7 && mInstances.size() > 1) {
                mInstances.remove(instance);
            } else if (fault >= 8) {
                mLeaderlessUntil = now + mRandom.nextInt(1500);
                mLeaderSince = mLeaderlessUntil;
                if (fault == 9) {
                    // The new leader has just started and has seen no instance.
                    mSeenAt = new HashMap<>();
                }
            }
        }

        int maxInWindow(long from, long until) {
            int max = 0;
            int first = 0;
            for (int last = 0; last < mSentAt.size(); last++) {
                while (mSentAt.get(last) - mSentAt.get(first) >= WINDOW_MILLIS) {
                    first++;
                }
                boolean isInside = mSentAt.get(last) >= from && mSentAt.get(last) < until;
                max = isInside ? Math.max(max, last - first + 1) : max;
            }
            return max;
        }

        int sentBetween(long from, long until) {
            return (int) mSentAt.stream().filter(at -> at >= from && at < until).count();
        }

        /** Returns the count that the leader sends; 0 if it has led too briefly. */
        private int count(int id, long now) {
            mSeenAt.put(id, now);
            mSeenAt.values().removeIf(at -> now - at > ENTRY_EXPIRY_MILLIS);
            return now - mLeaderSince < RetryShare.LEASE_MILLIS ? 0 : mSeenAt.size();
        }
    }

    private static final class Instance {
        private final int mId;
        private RetryShare mShare;
        private ServiceRetryBudget mBudget;
        private long mFrozenUntil;
        private long mPartitionedUntil;
        private long mAskedAt;
        private long mAnsweredAt;
        private int mAnswer;

        Instance(int id) {
            mId = id;
            restart();
        }

        void restart() {
            mShare = RetryShare.create(WINDOW_MILLIS);
            mBudget = ServiceRetryBudget.shared(0, FIXED_RETRIES, WINDOW_MILLIS, mShare);
            mAskedAt = Long.MIN_VALUE;
        }

        void step(Play play, long now) {
            if (now < mFrozenUntil) {
                return;
            }
            if (mAskedAt != Long.MIN_VALUE && now >= mAnsweredAt) {
                mShare.onCounted(mAnswer, mAskedAt, now);
                mAskedAt = Long.MIN_VALUE;
            }
            boolean hasLeader = now >= play.mLeaderlessUntil && now >= mPartitionedUntil;
            if (mAskedAt == Long.MIN_VALUE && hasLeader && now % QUESTION_MILLIS == 0) {
                mAskedAt = now;
                mAnsweredAt = now + play.mRandom.nextInt(MAX_ANSWER_MILLIS);
                mAnswer = play.count(mId, now);
            }
            while (mBudget.tryAcquire("s", now)) {
                play.mSentAt.add(now);
            }
        }
    }
}
