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
 * <p>A report lags. Work that was dispatched here after the report was taken is not in it, so each
 * dispatch stays added until a report that was taken later, and its units until its first token
 * shows that its prefill is done. Sums are kept up to date, so that reading them costs the same
 * however many requests are open.
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
     * @param reportLagMillis how old a report usually is when it arrives
     */
    public static LoadTable create(long reportLagMillis) {
        return new LoadTable(reportLagMillis);
    }

    /** Notes a report that arrived at {@code now}. */
    public void onReport(String target, LoadReport report, long now) {
        load(target).applyReport(report, now - mReportLagMillis);
    }

    /** Notes that a request with {@code units} of prefill was sent at {@code now}. */
    public void onDispatch(String target, long requestNumber, int units, long now) {
        load(target).add(requestNumber, new OpenRequest(units, now));
    }

    /** Notes that the prefill of a request is over. */
    public void onFirstToken(String target, long requestNumber) {
        Load load = load(target);
        OpenRequest request = load.mOpenRequests.get(requestNumber);
        if (request != null) {
            load.endPrefill(request);
        }
    }

    /** Notes that a request has ended, in whatever way. */
    public void onEnd(String target, long requestNumber) {
        Load load = load(target);
        OpenRequest request = load.mOpenRequests.remove(requestNumber);
        if (request != null) {
            load.endPrefill(request);
            load.excludeFromSums(request);
            load.removeExcluded();
        }
    }

    /** Drops all that is known of a target's load. */
    public void onTargetExpired(String target) {
        mLoads.remove(target);
    }

    /** Returns the prompt units that are thought to wait at the target. */
    public long queuedUnits(String target) {
        Load load = mLoads.get(target);
        return load == null ? 0 : load.mReportedUnits + load.mUnreportedUnits;
    }

    /** Returns the requests that are thought to be at the target, running or waiting. */
    public int requests(String target) {
        Load load = mLoads.get(target);
        return load == null
                ? 0
                : Math.max(
                        load.mReportedRequests + load.mUnreportedRequests,
                        load.mOpenRequests.size());
    }

    /** Returns the requests that are thought to wait for their first token at the target. */
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

    /** One target's report, and sums over the dispatches that it doesn't cover. */
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

        void applyReport(LoadReport report, long takenAt) {
            mReportedUnits = report.queuedUnits();
            mReportedRequests = report.running() + report.waiting();
            mReportedWaiting = report.waiting();
            while (!mUnreported.isEmpty()
                    && (mUnreported.peekFirst().mIsExcluded
                            || mUnreported.peekFirst().mSentAt < takenAt)) {
                excludeFromSums(mUnreported.pollFirst());
            }
        }

        /** Leaves a request out of the sums: a report covers it, or it has ended. */
        void excludeFromSums(OpenRequest request) {
            if (!request.mIsExcluded) {
                endPrefill(request);
                request.mIsExcluded = true;
                mUnreportedRequests--;
            }
        }

        /** Drops ended requests from the front, so that none are kept where reports don't come. */
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
