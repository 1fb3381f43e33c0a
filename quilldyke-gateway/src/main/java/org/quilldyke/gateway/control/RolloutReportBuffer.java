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
package org.quilldyke.gateway.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.quilldyke.gateway.instance.proto.RolloutReport;
import org.quilldyke.gateway.instance.proto.RolloutReports;

/**
 * The latest report on each running rollout from each entry of this process, and which of them the
 * leader has not been sent.
 *
 * <p>Entries report only what has changed. So a new leader is sent all reports, and so is the same
 * leader from time to time, since frames are lost with a connection.
 */
final class RolloutReportBuffer {
    /** How often the leader is sent reports that it should have. */
    static final long REFRESH_MILLIS = 1000;

    /**
     * The rows of one frame, at some 60 bytes each: 500 kB, far below the limit on frames. A report
     * has 400 rows at most.
     */
    private static final int MAX_ROWS = 8000;

    private final LongSupplier mClock;
    private final Map<Source, RolloutReport> mLatest = new LinkedHashMap<>();
    private final Map<Source, RolloutReport> mUnsent = new LinkedHashMap<>();
    private String mLeader = "";
    private long mRefreshedAt;

    RolloutReportBuffer(LongSupplier clock) {
        mClock = clock;
    }

    /** Stores a report instead of the previous one of the same start of the entry. */
    void add(RolloutReport report) {
        Source source = Source.of(report);
        mLatest.put(source, report);
        mUnsent.put(source, report);
    }

    /** Returns whether there are no reports. */
    boolean isEmpty() {
        return mLatest.isEmpty();
    }

    /** Removes the reports that a predicate doesn't accept. */
    void retain(Predicate<RolloutReport> counts) {
        mLatest.values().removeIf(counts.negate());
        mUnsent.values().removeIf(counts.negate());
    }

    /** Returns what the given leader is to be sent now, in one frame as long as it isn't large. */
    List<RolloutReports> takeFor(String leader) {
        long now = mClock.getAsLong();
        if (!leader.equals(mLeader) || now - mRefreshedAt >= REFRESH_MILLIS) {
            mLeader = leader;
            mRefreshedAt = now;
            mUnsent.putAll(mLatest);
        }
        List<RolloutReports> frames = new ArrayList<>();
        RolloutReports.Builder frame = RolloutReports.newBuilder();
        int rows = 0;
        for (RolloutReport report : mUnsent.values()) {
            if (rows > 0 && rows + report.getRowsCount() > MAX_ROWS) {
                frames.add(frame.build());
                frame = RolloutReports.newBuilder();
                rows = 0;
            }
            frame.addReports(report);
            rows += report.getRowsCount();
        }
        if (frame.getReportsCount() > 0) {
            frames.add(frame.build());
        }
        mUnsent.clear();
        return frames;
    }

    /** One start of an entry, and a rollout. */
    record Source(String entry, long run, long index) {
        static Source of(RolloutReport report) {
            return new Source(report.getEntry(), report.getRun(), report.getIndex());
        }
    }
}
