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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.quilldyke.caller.Admission;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.Prompt;
import org.quilldyke.caller.RequestFingerprint;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.manifest.RequestKind;
import org.quilldyke.manifest.Route;

/**
 * Entries that place long and short prompts on engines, in simulated time.
 *
 * <p>Each entry has a selector of its own, which learns of other entries' loads and of caches only
 * after some hundred milliseconds. An engine prefills the prompts that it was sent one after the
 * other, and its streams pause for as long as it has prefill to do.
 */
final class PlacementSimulation {
    private static final int STEP_MILLIS = 10;
    private static final long LOADS_INTERVAL_MILLIS = 300;
    private static final long CACHE_DELAY_MILLIS = 250;
    private static final double PREFILL_TOKENS_PER_MILLI = 56.9;
    private static final int EVENT_GAP_MILLIS = 500;
    private static final int LONG_OBJECTIVE_MILLIS = 615;
    private static final int SHORT_OBJECTIVE_MILLIS = 507;
    private static final int LONG_DECODE_MILLIS = 60;
    private static final int SHORT_DECODE_MILLIS = 400;

    private final Config mConfig;
    private final Random mRandom;
    private final List<TargetSelector> mEntries = new ArrayList<>();
    private final List<Engine> mEngines = new ArrayList<>();
    private final PriorityQueue<CacheEvent> mCacheEvents = new PriorityQueue<>();
    private final Result mResult = new Result();
    private long mNow;
    private long mLastRequest;

    private PlacementSimulation(Config config) {
        mConfig = config;
        mRandom = new Random(config.seed());
    }

    /**
     * What is simulated.
     *
     * @param entries the number of entries
     * @param engines the number of engines that hold the weights, with empty caches
     * @param longPerSecond long prompts a second
     * @param shortPerSecond short prompts a second
     * @param millis the simulated time
     */
    record Config(
            int entries,
            int engines,
            double longPerSecond,
            double shortPerSecond,
            int millis,
            long seed) {}

    /** What callers got. */
    static final class Result {
        int mLongCount;
        int mLongOnTime;
        int mShortCount;
        int mShortOnTime;
        int mRefused;
        long mRecomputedTokens;
        long mMaxPauseMillis;

        double shortOnTimeShare() {
            return mShortOnTime / (double) mShortCount;
        }

        double longOnTimeShare() {
            return mLongOnTime / (double) mLongCount;
        }
    }

    static Result run(Config config) {
        return new PlacementSimulation(config).run();
    }

    private Result run() {
        for (int i = 0; i < mConfig.engines(); i++) {
            mEngines.add(new Engine("e" + i, "z" + i % 4));
        }
        for (int i = 0; i < mConfig.entries(); i++) {
            TargetSelector selector =
                    TargetSelector.create(
                            "z" + i % 4, 10_000, new SplittableRandom(mConfig.seed() + i));
            mEngines.forEach(engine -> selector.onReport(engine.report()));
            mEntries.add(selector);
        }
        for (mNow = 0; mNow < mConfig.millis(); mNow += STEP_MILLIS) {
            arrive(mConfig.longPerSecond(), true);
            arrive(mConfig.shortPerSecond(), false);
            mEngines.forEach(Engine::step);
            deliverCacheEvents();
            if (mNow % LOADS_INTERVAL_MILLIS == 0) {
                shareLoads();
            }
        }
        mEngines.forEach(Engine::finishAll);
        return mResult;
    }

    private void arrive(double perSecond, boolean isLong) {
        double expected = perSecond * STEP_MILLIS / 1000;
        int count = (int) expected + (mRandom.nextDouble() < expected % 1 ? 1 : 0);
        for (int i = 0; i < count; i++) {
            TargetSelector entry = mEntries.get(mRandom.nextInt(mEntries.size()));
            ForwardRequest request = isLong ? longRequest() : shortRequest();
            Choice choice = entry.choose(request, Set.of(), mNow).orElseThrow();
            if (isLong) {
                mResult.mLongCount++;
            } else {
                mResult.mShortCount++;
            }
            if (!Admission.admits(request, choice.admissionMillis())) {
                mResult.mRefused++;
                continue;
            }
            entry.onDispatch(choice, request, mNow);
            Engine engine = mEngines.get(Integer.parseInt(choice.target().substring(1)));
            engine.accept(new Run(entry, request, choice, isLong, mNow));
        }
    }

    private ForwardRequest longRequest() {
        int root = mRandom.nextInt(4);
        int subject = mRandom.nextInt(1533);
        List<Prompt.Part> parts =
                List.of(
                        new Prompt.Part(1 + root, 2520),
                        new Prompt.Part(1000 + subject * 4 + root, 3780),
                        new Prompt.Part(1_000_000 + mLastRequest++, 2890));
        return request(parts, LONG_OBJECTIVE_MILLIS, 1);
    }

    private ForwardRequest shortRequest() {
        int root = mRandom.nextInt(7);
        int subject = mRandom.nextInt(2375);
        List<Prompt.Part> parts =
                List.of(
                        new Prompt.Part(100 + root, 119),
                        new Prompt.Part(100_000 + subject * 7 + root, 79),
                        new Prompt.Part(1_000_000 + mLastRequest++, 628));
        return request(parts, SHORT_OBJECTIVE_MILLIS, 0);
    }

    private static ForwardRequest request(List<Prompt.Part> parts, int objective, int priority) {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        RequestKind.STREAMING,
                        12_000,
                        objective,
                        EVENT_GAP_MILLIS,
                        priority,
                        List.of(new Route.Share("s", 1)),
                        2,
                        false,
                        true,
                        true);
        int tokens = parts.stream().mapToInt(Prompt.Part::tokens).sum();
        return new ForwardRequest(
                "id",
                route,
                "s",
                Optional.empty(),
                "",
                Optional.of(new Prompt("m", tokens, 36, parts)),
                tokens,
                0,
                12_000,
                new RequestFingerprint(1, 1),
                -1,
                0);
    }

    private void shareLoads() {
        for (Engine engine : mEngines) {
            int requests = engine.mWaiting.size() + engine.mDecoding.size();
            long tokens = engine.mWaiting.stream().mapToLong(run -> run.mMissing).sum();
            for (TargetSelector entry : mEntries) {
                TargetState state =
                        entry.targets().stream()
                                .filter(target -> target.id().equals(engine.mId))
                                .findFirst()
                                .orElseThrow();
                entry.onOtherInstancesLoad(
                        engine.mId,
                        Math.max(0, requests - state.ownRequests()),
                        Math.max(0, tokens - state.ownTokens()));
            }
        }
    }

    private void deliverCacheEvents() {
        while (!mCacheEvents.isEmpty() && mCacheEvents.peek().at() <= mNow) {
            CacheUpdate update = mCacheEvents.remove().update();
            mEntries.forEach(entry -> entry.onCacheUpdate(update));
        }
    }

    private record CacheEvent(long at, CacheUpdate update) implements Comparable<CacheEvent> {
        @Override
        public int compareTo(CacheEvent other) {
            return Long.compare(at, other.at);
        }
    }

    private final class Engine {
        private final String mId;
        private final String mDomain;
        private final Set<Long> mCached = new HashSet<>();
        private final Deque<Run> mWaiting = new ArrayDeque<>();
        private final List<Run> mDecoding = new ArrayList<>();
        private double mBudget;

        Engine(String id, String domain) {
            mId = id;
            mDomain = domain;
        }

        TargetReport report() {
            return new TargetReport(
                    mId, "s", mId + ":1", mDomain, "v", 32, false, 0, Map.of("m", 1L), 1);
        }

        void accept(Run run) {
            long[] keys = CacheKeys.of(run.mChoice.cacheSalt(), run.mRequest.prompt().get());
            List<Prompt.Part> parts = run.mRequest.prompt().get().parts();
            int shared = parts.size() - 1;
            long missing = parts.get(shared).tokens();
            int present = run.mChoice.fetchedTokens() > 0 ? run.mChoice.cachedTokens() : 0;
            int tokens = 0;
            boolean hit = true;
            for (int i = 0; i < shared; i++) {
                tokens += parts.get(i).tokens();
                hit &= mCached.contains(keys[i]) || tokens <= present;
                if (!hit) {
                    missing += parts.get(i).tokens();
                    mResult.mRecomputedTokens += parts.get(i).tokens();
                }
            }
            run.mMissing = missing;
            run.mKeys = keys;
            mWaiting.add(run);
        }

        void step() {
            mBudget = mWaiting.isEmpty() ? 0 : mBudget + STEP_MILLIS * PREFILL_TOKENS_PER_MILLI;
            double backlogMillis =
                    mWaiting.stream().mapToLong(run -> run.mMissing).sum()
                            / PREFILL_TOKENS_PER_MILLI;
            mResult.mMaxPauseMillis = Math.max(mResult.mMaxPauseMillis, Math.round(backlogMillis));
            for (Run run : mDecoding) {
                run.mLate |= backlogMillis > EVENT_GAP_MILLIS;
            }
            while (!mWaiting.isEmpty() && mBudget >= mWaiting.peek().mMissing) {
                Run run = mWaiting.remove();
                mBudget -= run.mMissing;
                startDecoding(run);
            }
            for (Run run : List.copyOf(mDecoding)) {
                if (mNow >= run.mEndsAt) {
                    finish(run);
                }
            }
        }

        private void startDecoding(Run run) {
            long objective = run.mRequest.route().latencyObjectiveMillis();
            run.mLate |= mNow - run.mSentAt > objective;
            run.mEndsAt = mNow + (run.mIsLong ? LONG_DECODE_MILLIS : SHORT_DECODE_MILLIS);
            run.mEntry.onPrefillEnd(run.mChoice);
            run.mEntry.onFirstEvent(run.mChoice, mNow - run.mSentAt, mNow);
            mDecoding.add(run);
            List<Long> added = new ArrayList<>();
            for (int i = 0; i < run.mRequest.prompt().get().sharedParts().size(); i++) {
                if (mCached.add(run.mKeys[i])) {
                    added.add(run.mKeys[i]);
                }
            }
            if (!added.isEmpty()) {
                CacheUpdate update = new CacheUpdate(mId, true, false, added, List.of());
                mCacheEvents.add(new CacheEvent(mNow + CACHE_DELAY_MILLIS, update));
            }
        }

        private void finish(Run run) {
            mDecoding.remove(run);
            run.mEntry.onFinished(run.mChoice);
            if (run.mIsLong) {
                mResult.mLongOnTime += run.mLate ? 0 : 1;
            } else {
                mResult.mShortOnTime += run.mLate ? 0 : 1;
            }
        }

        /** Runs that wait at the end of the simulation are late if they have waited too long. */
        void finishAll() {
            for (Run run : List.copyOf(mDecoding)) {
                finish(run);
            }
            for (Run run : mWaiting) {
                run.mLate |= mNow - run.mSentAt > run.mRequest.route().latencyObjectiveMillis();
                finish(run);
            }
        }
    }

    private static final class Run {
        private final TargetSelector mEntry;
        private final ForwardRequest mRequest;
        private final Choice mChoice;
        private final boolean mIsLong;
        private final long mSentAt;
        private long mMissing;
        private long[] mKeys;
        private long mEndsAt;
        private boolean mLate;

        Run(
                TargetSelector entry,
                ForwardRequest request,
                Choice choice,
                boolean isLong,
                long sentAt) {
            mEntry = entry;
            mRequest = request;
            mChoice = choice;
            mIsLong = isLong;
            mSentAt = sentAt;
        }
    }
}
