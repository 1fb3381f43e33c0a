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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Sums the reports of all entries about one rollout. Not thread-safe. */
public final class RolloutTotals {
    /** More than ten times the entries of the largest deployment (300). */
    private static final int MAX_ENTRIES = 4096;

    /** The runs of an entry whose reports can still be replaced by later ones. */
    private static final int MAX_RUNS = 8;

    /** Enough for 16 routes and 1,000 targets. */
    private static final int MAX_ROWS = 16_384;

    /** An entry that serves the service has reported by then if the totals began at the order. */
    private static final long FIRST_REPORT_MILLIS = 1000;

    private final long mIndex;
    private final Map<String, LinkedHashMap<Long, RolloutEvidence>> mLatest = new HashMap<>();
    private final Map<Key, VersionEvidence> mRows = new LinkedHashMap<>();
    private long mAgeMillis;
    private long mRequests;
    private long mCanaries;

    /** The age of the rollout at the first report; 0 if these totals began at the order. */
    private long mStartAge = -1;

    private double mFollowed;

    private RolloutTotals(long index) {
        mIndex = index;
    }

    /**
     * Returns totals without any report.
     *
     * @param index identifies the rollout, see {@link Rollout#index}
     */
    public static RolloutTotals create(long index) {
        return new RolloutTotals(index);
    }

    /**
     * Handles the cumulative totals of an entry. They replace the earlier ones of the same run,
     * unless they are older; totals of earlier runs still count.
     */
    public void onReport(String entry, RolloutEvidence evidence) {
        if (evidence.index() != mIndex
                || (mLatest.size() >= MAX_ENTRIES && !mLatest.containsKey(entry))) {
            return;
        }
        LinkedHashMap<Long, RolloutEvidence> runs =
                mLatest.computeIfAbsent(entry, name -> new LinkedHashMap<>());
        RolloutEvidence previous = runs.get(evidence.run());
        if (previous != null && isOlder(evidence, previous)) {
            return;
        }
        if (previous != null) {
            add(previous, -1);
        }
        add(evidence, 1);
        follow(evidence, previous);
        mAgeMillis = Math.max(mAgeMillis, evidence.ageMillis());
        runs.put(evidence.run(), evidence);
        if (runs.size() > MAX_RUNS) {
            // The sums keep what the oldest run has reported.
            runs.remove(runs.keySet().iterator().next());
        }
    }

    /** Returns the highest age of the rollout that any entry has reported. */
    public long ageMillis() {
        return mAgeMillis;
    }

    /** Returns how many requests all entries have sent to the service. */
    public long requests() {
        return mRequests;
    }

    /**
     * Returns about how many requests were sent to the service since the first report.
     *
     * <p>Of the first report of each run, only the part since then counts, at a constant rate.
     * {@link #requests} can't be used to calculate a rate: after a change of the leader it also
     * grows by all earlier requests of entries whose first reports were lost or are late.
     */
    public long followedRequests() {
        return Math.round(mFollowed);
    }

    /** Returns how many of the requests were sent to the new version. */
    public long canaries() {
        return mCanaries;
    }

    /** Returns the answers, by route, version and target. */
    public List<VersionEvidence> rows() {
        return new ArrayList<>(mRows.values());
    }

    private void follow(RolloutEvidence evidence, RolloutEvidence previous) {
        long age = Math.max(1, evidence.ageMillis());
        if (mStartAge < 0) {
            mStartAge = age <= FIRST_REPORT_MILLIS ? 0 : age;
        }
        mFollowed +=
                previous == null
                        ? evidence.requests() * Math.max(0.0, age - mStartAge) / age
                        : evidence.requests() - previous.requests();
    }

    private static boolean isOlder(RolloutEvidence evidence, RolloutEvidence previous) {
        return evidence.requests() < previous.requests()
                || evidence.canaries() < previous.canaries()
                || answers(evidence) < answers(previous);
    }

    private static long answers(RolloutEvidence evidence) {
        long answers = 0;
        for (VersionEvidence row : evidence.rows()) {
            answers += row.answers();
        }
        return answers;
    }

    private void add(RolloutEvidence evidence, int sign) {
        mRequests += sign * evidence.requests();
        mCanaries += sign * evidence.canaries();
        for (VersionEvidence row : evidence.rows()) {
            Key key = Key.of(row);
            VersionEvidence sum = mRows.get(key);
            if (sum != null) {
                mRows.put(key, sum.plus(row, sign));
            } else if (mRows.size() < MAX_ROWS) {
                mRows.put(key, row);
            }
        }
    }

    /** What distinguishes the rows of a report. */
    record Key(String route, String target, boolean canary) {
        static Key of(VersionEvidence row) {
            return new Key(row.route(), row.target(), row.canary());
        }
    }
}
