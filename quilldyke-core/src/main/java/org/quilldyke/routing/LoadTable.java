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

import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayDeque;
import java.util.Map;
import org.quilldyke.engine.LoadReport;

/**
 * The load of each target: its last report, corrected by what this instance has sent since.
 *
 * <p>Reports are delayed, so a report doesn't include requests that were sent after it was made.
 * Each dispatch is therefore added until a report that was made later arrives, and its units until
 * its first token shows that its prefill is done. Sums are maintained incrementally, so that reads
 * take the same time however many requests are open.
 */
public final class LoadTable {
    private final Map<String, Load> mLoads = new Object2ObjectOpenHashMap<>();
    private final long mReportLagMillis;

    private LoadTable(long reportLagMillis) {
        mReportLagMillis = reportLagMillis;
    }

    /**
     * Returns an empty table.
     *
     * @param reportLagMillis the usual age of a report when it arrives
     */
    public static LoadTable create(long reportLagMillis) {
        return new LoadTable(reportLagMillis);
    }

    /** Applies a report that arrived at {@code now}. */
    public void onReport(String target, LoadReport report, long now) {
        load(target).applyReport(report, now - mReportLagMillis);
    }

    /** Records that a request with {@code units} of prefill was sent at {@code now}. */
    public void onDispatch(String target, long requestNumber, int units, long now) {
        load(target).add(requestNumber, new OpenRequest(units, now));
    }

    /** Records that the prefill of a request is done. */
    public void onFirstToken(String target, long requestNumber) {
        Load load = load(target);
        OpenRequest request = load.mOpenRequests.get(requestNumber);
        if (request != null) {
            load.endPrefill(request);
        }
    }

    /** Records that a request has completed, failed or was cancelled. */
    public void onEnd(String target, long requestNumber) {
        Load load = load(target);
        OpenRequest request = load.mOpenRequests.remove(requestNumber);
        if (request != null) {
            load.endPrefill(request);
            load.excludeFromSums(request);
            load.removeExcluded();
        }
    }

    /** Removes the load of a target whose lease has expired. */
    public void onTargetExpired(String target) {
        mLoads.remove(target);
    }

    /** Returns the prompt units that are expected to wait at the target. */
    public long queuedUnits(String target) {
        Load load = mLoads.get(target);
        return load == null ? 0 : load.mReportedUnits + load.mUnreportedUnits;
    }

    /** Returns the requests that are expected to be at the target, running or waiting. */
    public int requests(String target) {
        Load load = mLoads.get(target);
        return load == null
                ? 0
                : Math.max(
                        load.mReportedRequests + load.mUnreportedRequests,
                        load.mOpenRequests.size());
    }

    /** Returns the requests that are expected to wait for their first token at the target. */
    public int waiting(String target) {
        Load load = mLoads.get(target);
        return load == null ? 0 : load.mReportedWaiting + load.mUnreportedWaiting;
    }

    private Load load(String target) {
        return mLoads.computeIfAbsent(target, t -> new Load());
    }

    /** A request that was sent and hasn't ended. */
    private static final class OpenRequest {
        final long mSentAt;
        long mUnits;
        boolean mIsWaiting = true;
        boolean mIsExcluded;

        OpenRequest(int units, long sentAt) {
            mUnits = units;
            mSentAt = sentAt;
        }
    }

    /** One target's report, and sums over the dispatches that it doesn't include. */
    private static final class Load {
        final Long2ObjectOpenHashMap<OpenRequest> mOpenRequests = new Long2ObjectOpenHashMap<>();
        final ArrayDeque<OpenRequest> mUnreported = new ArrayDeque<>();
        long mReportedUnits;
        int mReportedRequests;
        int mReportedWaiting;
        long mUnreportedUnits;
        int mUnreportedRequests;
        int mUnreportedWaiting;

        void add(long requestNumber, OpenRequest request) {
            mOpenRequests.put(requestNumber, request);
            mUnreported.addLast(request);
            mUnreportedUnits += request.mUnits;
            mUnreportedRequests++;
            mUnreportedWaiting++;
        }

        void applyReport(LoadReport report, long madeAt) {
            mReportedUnits = report.queuedUnits();
            mReportedRequests = report.running() + report.waiting();
            mReportedWaiting = report.waiting();
            while (!mUnreported.isEmpty()
                    && (mUnreported.peekFirst().mIsExcluded
                            || mUnreported.peekFirst().mSentAt < madeAt)) {
                excludeFromSums(mUnreported.pollFirst());
            }
        }

        /** Subtracts a request from the sums, since a report includes it or it has ended. */
        void excludeFromSums(OpenRequest request) {
            if (!request.mIsExcluded) {
                endPrefill(request);
                request.mIsExcluded = true;
                mUnreportedRequests--;
            }
        }

        /**
         * Removes excluded requests from the front, so that they don't accumulate without reports.
         */
        void removeExcluded() {
            while (!mUnreported.isEmpty() && mUnreported.peekFirst().mIsExcluded) {
                mUnreported.pollFirst();
            }
        }

        void endPrefill(OpenRequest request) {
            if (request.mIsWaiting && !request.mIsExcluded) {
                mUnreportedUnits -= request.mUnits;
                mUnreportedWaiting--;
            }
            request.mIsWaiting = false;
        }
    }
}
