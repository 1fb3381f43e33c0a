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

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Sums up what an entry observes of the running rollouts: how many requests it sends to both
 * versions, and how they are answered.
 */
public final class EvidenceCollector {
    /** Bounds the size of a report; responses that need further rows aren't counted. */
    static final int MAX_ROWS = 400;

    private final long mRun;
    private final EvidenceListener mListener;
    private final Map<String, Totals> mTotals = new HashMap<>();

    private EvidenceCollector(long run, EvidenceListener listener) {
        mRun = run;
        mListener = listener;
    }

    /**
     * Returns a collector without rollouts.
     *
     * @param run a random number that distinguishes the starts of the entry
     * @param listener receives each response that is counted
     */
    public static EvidenceCollector create(long run, EvidenceListener listener) {
        return new EvidenceCollector(run, listener);
    }

    /**
     * Starts the totals of a rollout that wasn't known, and removes those of one that has ended.
     */
    public void onRollout(Rollout rollout) {
        Totals known = mTotals.get(rollout.service());
        if (!rollout.phase().isRunning()) {
            mTotals.remove(rollout.service());
        } else if (known == null || known.mRollout.index() != rollout.index()) {
            mTotals.put(rollout.service(), new Totals(rollout, mListener));
        }
    }

    /**
     * Returns the evidence of a request; empty if no rollout of its service is running.
     *
     * @param latencyObjectiveMillis the objective of its route
     * @param hasPrompt whether the time to its first event can be predicted
     * @param deadline when it expires
     */
    public Optional<RequestEvidence> open(
            String service,
            String route,
            long latencyObjectiveMillis,
            boolean hasPrompt,
            long deadline) {
        Totals totals = mTotals.isEmpty() ? null : mTotals.get(service);
        return totals == null
                ? Optional.empty()
                : Optional.of(
                        new RequestEvidence(
                                totals, route, latencyObjectiveMillis, hasPrompt, deadline));
    }

    /**
     * Returns the totals of the running rollouts by service.
     *
     * @param ages the ages of the rollouts by service
     */
    public Map<String, RolloutEvidence> totals(Map<String, Long> ages) {
        Map<String, RolloutEvidence> out = new HashMap<>();
        mTotals.forEach(
                (service, totals) ->
                        out.put(service, totals.evidence(mRun, ages.getOrDefault(service, 0L))));
        return out;
    }

    /** The totals of one rollout. */
    static final class Totals {
        private final Rollout mRollout;
        private final EvidenceListener mListener;
        private final Map<Key, Row> mRows = new LinkedHashMap<>();
        private final Map<String, MeanMillis> mOldMeans = new HashMap<>();
        private long mRequests;
        private long mCanaries;

        private Totals(Rollout rollout, EvidenceListener listener) {
            mRollout = rollout;
            mListener = listener;
        }

        boolean isNewVersion(String version) {
            return mRollout.version().equals(version);
        }

        void onRequest() {
            mRequests++;
        }

        void onCanary() {
            mCanaries++;
        }

        MeanMillis oldMean(String route) {
            return mOldMeans.computeIfAbsent(route, r -> new MeanMillis());
        }

        /** Counts a response, or adds a failure to one that was counted when it began. */
        void count(
                String route,
                String target,
                boolean canary,
                ResponseQuality quality,
                boolean isNew,
                long now) {
            Key key = new Key(route, canary ? target : "", canary);
            Row row = mRows.get(key);
            if (row == null && mRows.size() < MAX_ROWS) {
                row = new Row();
                mRows.put(key, row);
            }
            if (row != null) {
                row.mAnswers += isNew ? 1 : 0;
                row.mFailures += quality == ResponseQuality.FAILED ? 1 : 0;
                row.mSlow += quality == ResponseQuality.SLOW ? 1 : 0;
            }
            mListener.onResponse(
                    mRollout.service(), target, canary, quality != ResponseQuality.GOOD, now);
        }

        private RolloutEvidence evidence(long run, long ageMillis) {
            List<VersionEvidence> rows =
                    mRows.entrySet().stream().map(e -> e.getValue().evidence(e.getKey())).toList();
            return new RolloutEvidence(
                    mRollout.index(), run, ageMillis, mRequests, mCanaries, rows);
        }
    }

    private record Key(String route, String target, boolean canary) {}

    private static final class Row {
        private long mAnswers;
        private long mFailures;
        private long mSlow;

        private VersionEvidence evidence(Key key) {
            return new VersionEvidence(
                    key.route(), key.target(), key.canary(), mAnswers, mFailures, mSlow);
        }
    }

    /** A mean of durations. */
    static final class MeanMillis {
        /** With fewer samples, a single quick response would make ordinary ones slow. */
        private static final int MIN_SAMPLES = 5;

        private long mSum;
        private long mCount;

        void add(long millis) {
            mSum += millis;
            mCount++;
        }

        boolean isKnown() {
            return mCount >= MIN_SAMPLES;
        }

        double millis() {
            return (double) mSum / mCount;
        }
    }
}
