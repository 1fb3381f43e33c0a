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

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Targets that fail when they refuse more than some requests in a second, and instances that share
 * them, in steps of a millisecond. What instances know of each other's requests is late.
 */
final class BrittleTargets {
    private static final long BACK_OFF_MILLIS = 60;
    private static final long NOTICE_MILLIS = 3000;
    private static final long PLAY_MILLIS = 13_000;
    private static final long DOWN_MILLIS = 4000;
    private static final long LOADS_MILLIS = 100;
    private static final int MAX_TRIES = 2;
    private static final int QUEUE = 6;
    private static final int BRITTLE_QUEUE = 1;

    private final Kind mKind;
    private final int mInstances;
    private final int mMaxRefusals;
    private final RoomShare[][] mShares;
    private final long[][] mBackOffUntil;
    private final int[][] mOpen;
    private final List<Target> mTargets = new ArrayList<>();
    private final SplittableRandom mRandom = new SplittableRandom(1);
    private int[] mKnown;
    private int[] mSent;
    private int mServed;
    private int mFailures;

    private BrittleTargets(Kind kind, int instances, int maxRefusals, boolean shares) {
        mKind = kind;
        mInstances = instances;
        mMaxRefusals = maxRefusals;
        mShares = shares ? new RoomShare[instances][kind.mTargets] : null;
        mBackOffUntil = new long[instances][kind.mTargets];
        mOpen = new int[instances][kind.mTargets];
        mKnown = new int[kind.mTargets];
        mSent = new int[kind.mTargets];
        for (int t = 0; t < kind.mTargets; t++) {
            mTargets.add(new Target());
            for (int i = 0; shares && i < instances; i++) {
                int part = new InstanceRank(i, instances).part(kind.mSlots, 31L * t);
                mShares[i][t] = RoomShare.of(kind.mSlots, part, instances, maxRefusals, 0);
            }
        }
    }

    /** Returns targets that instances share by parts, or from which they back off for 60 ms. */
    static BrittleTargets of(Kind kind, int instances, int maxRefusals, boolean shares) {
        return new BrittleTargets(kind, instances, maxRefusals, shares);
    }

    /** Plays requests at a multiple of what targets can serve; returns how often targets failed. */
    int play(double load) {
        double perMilli = load * mKind.mTargets * mKind.mSlots / mKind.mRunMillis;
        for (long now = 0; now < PLAY_MILLIS; now++) {
            if (now % LOADS_MILLIS == 0) {
                mKnown = mSent;
                mSent = totals();
            }
            for (int t = 0; t < mKind.mTargets; t++) {
                mTargets.get(t).step(t, now);
            }
            int arrivals = (int) perMilli;
            arrivals += mRandom.nextDouble() < perMilli - arrivals ? 1 : 0;
            for (int i = 0; i < arrivals; i++) {
                send(mRandom.nextInt(mInstances), now);
            }
        }
        return mFailures;
    }

    int served() {
        return mServed;
    }

    private int[] totals() {
        int[] totals = new int[mKind.mTargets];
        for (int[] open : mOpen) {
            for (int t = 0; t < totals.length; t++) {
                totals[t] += open[t];
            }
        }
        return totals;
    }

    private void send(int instance, long now) {
        int first = mRandom.nextInt(mKind.mTargets);
        int tries = 0;
        for (int i = 0; i < mKind.mTargets && tries < MAX_TRIES; i++) {
            int t = (first + i) % mKind.mTargets;
            if (mayUse(instance, t, now)) {
                tries++;
                mOpen[instance][t]++;
                if (mTargets.get(t).accepts(instance, now)) {
                    return;
                }
                onRefused(instance, t, now);
                mOpen[instance][t]--;
            }
        }
    }

    private boolean mayUse(int instance, int t, long now) {
        if (mTargets.get(t).mDownUntil > now || now < mBackOffUntil[instance][t]) {
            return false;
        }
        int own = mOpen[instance][t];
        return mShares == null
                || mShares[instance][t].admits(own, Math.max(0, mKnown[t] - own), now);
    }

    private void onRefused(int instance, int t, long now) {
        mBackOffUntil[instance][t] = now + BACK_OFF_MILLIS;
        if (mShares != null) {
            mShares[instance][t].onRefused(mOpen[instance][t], mRandom.nextDouble(), now);
        }
    }

    /** What targets are like. */
    enum Kind {
        SHORT_RUNS(4, 6, 86),
        LONG_RUNS(6, 64, 1500);

        private final int mTargets;
        private final int mSlots;
        private final long mRunMillis;

        Kind(int targets, int slots, long runMillis) {
            mTargets = targets;
            mSlots = slots;
            mRunMillis = runMillis;
        }

        int targets() {
            return mTargets;
        }
    }

    private final class Target {
        private final List<long[]> mRuns = new ArrayList<>();
        private final Deque<Integer> mQueue = new ArrayDeque<>();
        private final Deque<Long> mRefusals = new ArrayDeque<>();
        private long mDownUntil;

        void step(int t, long now) {
            mRuns.removeIf(
                    run -> {
                        boolean ended = run[1] <= now;
                        if (ended) {
                            mOpen[(int) run[0]][t]--;
                            mServed++;
                        }
                        return ended;
                    });
            while (!mQueue.isEmpty() && mRuns.size() < mKind.mSlots) {
                begin(mQueue.removeFirst(), now);
            }
        }

        boolean accepts(int instance, long now) {
            int queue = now < NOTICE_MILLIS ? QUEUE : BRITTLE_QUEUE;
            if (mRuns.size() < mKind.mSlots) {
                begin(instance, now);
            } else if (mQueue.size() < queue) {
                mQueue.addLast(instance);
            } else {
                refuse(now);
                return false;
            }
            return true;
        }

        private void begin(int instance, long now) {
            long millis = Math.round(mKind.mRunMillis * (0.5 + mRandom.nextDouble()));
            mRuns.add(new long[] {instance, now + millis});
        }

        private void refuse(long now) {
            if (now < NOTICE_MILLIS) {
                return;
            }
            mRefusals.removeIf(at -> at <= now - 1000);
            mRefusals.add(now);
            if (mRefusals.size() > mMaxRefusals) {
                mFailures++;
                mDownUntil = now + DOWN_MILLIS;
                mRefusals.clear();
            }
        }
    }
}
