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
package org.quilldyke.testkit.engine;

import io.activej.reactor.Reactor;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.quilldyke.engine.BlockChain;
import org.quilldyke.engine.LoadReport;

/**
 * Continuous batching: up to {@code slots} requests at once, prefill one request at a time, then a
 * token for each request in every step. Lower priority numbers go first, as RFC 9218 has it.
 */
final class EngineScheduler {
    private static final int STEP_MILLIS = 2;
    private static final long ORPHAN_MILLIS = 15_000;
    private static final int KEPT_RUNS = 4096;

    private final Reactor mReactor;
    private final EngineSettings mSettings;
    private final BlockCache mCache;
    private final EventFeed mFeed;
    private final EngineFaults mFaults;
    private final Map<String, EngineRun> mRuns = new HashMap<>();
    private final List<String> mFinished = new ArrayList<>();
    private final PriorityQueue<EngineRun> mQueue =
            new PriorityQueue<>(Comparator.comparingLong(r -> r.mPriority * 1_000_000L + r.mOrder));
    private final List<EngineRun> mBatch = new ArrayList<>();
    private long mLastStep;
    private long mTokenCredit;
    private long mAccepted;
    private long mComputedUnits;
    private long mCachedUnits;

    EngineScheduler(
            Reactor reactor,
            EngineSettings settings,
            BlockCache cache,
            EventFeed feed,
            EngineFaults faults) {
        mReactor = reactor;
        mSettings = settings;
        mCache = cache;
        mFeed = feed;
        mFaults = faults;
    }

    void start() {
        mLastStep = mReactor.currentTimeMillis();
        step();
    }

    void accept(EngineRun run) {
        run.mOrder = mAccepted++;
        mRuns.put(key(run.mRequest, run.mAttempt), run);
        mQueue.add(run);
    }

    EngineRun find(String request, int attempt) {
        return mRuns.get(key(request, attempt));
    }

    boolean isIdle() {
        return mQueue.isEmpty() && mBatch.isEmpty();
    }

    LoadReport report(long incarnation) {
        long queued = 0;
        for (EngineRun run : mQueue) {
            queued += run.mPrompt.length;
        }
        for (EngineRun run : mBatch) {
            queued += run.mPrefillLeft;
        }
        return new LoadReport(incarnation, mBatch.size(), mQueue.size(), queued, mAccepted);
    }

    long computedUnits() {
        return mComputedUnits;
    }

    long cachedUnits() {
        return mCachedUnits;
    }

    private void step() {
        mReactor.delayBackground(STEP_MILLIS, this::step);
        long now = mReactor.currentTimeMillis();
        long elapsed = Math.min(now - mLastStep, 50);
        mLastStep = now;
        if (mFaults.mFrozen) {
            return;
        }
        fillBatch();
        prefill(elapsed * mSettings.prefillUnitsPerMilli());
        decode(elapsed);
        retire(now);
    }

    private void fillBatch() {
        while (mBatch.size() < mSettings.slots() && !mQueue.isEmpty()) {
            EngineRun run = mQueue.poll();
            if (run.mDone) {
                continue;
            }
            run.mCachedUnits = mCache.match(run.mKeys) * BlockChain.BLOCK_UNITS;
            run.mPrefillLeft = run.mPrompt.length - run.mCachedUnits;
            mCachedUnits += run.mCachedUnits;
            mBatch.add(run);
        }
    }

    private void prefill(long units) {
        long left = units;
        for (EngineRun run : mBatch) {
            if (run.mPrefilled) {
                continue;
            }
            long done = Math.min(left, run.mPrefillLeft);
            run.mPrefillLeft -= done;
            mComputedUnits += done;
            left -= done;
            if (run.mPrefillLeft == 0) {
                run.mPrefilled = true;
                mFeed.publish("STORED", mCache.store(run.mSalt, run.mKeys));
                mFeed.publish("REMOVED", mCache.evict());
                run.decode();
            }
        }
    }

    private void decode(long elapsed) {
        mTokenCredit += elapsed;
        int tokens = (int) (mTokenCredit / Math.max(1, mSettings.tokenMillis()));
        if (tokens == 0) {
            return;
        }
        mTokenCredit -= (long) tokens * mSettings.tokenMillis();
        for (EngineRun run : mBatch) {
            for (int i = 0; i < tokens && run.mPrefilled && !run.mDone; i++) {
                run.decode();
            }
        }
    }

    private void retire(long now) {
        for (EngineRun run : mBatch) {
            if (run.mReaders > 0) {
                run.mUnreadSince = now;
            } else if (now - run.mUnreadSince > ORPHAN_MILLIS && run.mUnreadSince > 0) {
                run.cancel();
            }
            if (run.mDone) {
                mFinished.add(key(run.mRequest, run.mAttempt));
            }
        }
        mBatch.removeIf(run -> run.mDone);
        while (mFinished.size() > KEPT_RUNS) {
            mRuns.remove(mFinished.remove(0));
        }
    }

    private static String key(String request, int attempt) {
        return request + "/" + attempt;
    }
}
