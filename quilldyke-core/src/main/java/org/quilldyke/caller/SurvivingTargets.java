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

import java.util.LinkedHashMap;
import java.util.Map;
import org.quilldyke.engine.Incarnation;

/**
 * Targets that were reported to have crashed and whose own reports show that they ran later.
 *
 * <p>A report may be delivered seconds after it was sent, so one that was sent before a crash does
 * not disprove it. Only reports received more than {@link #MAX_MESSAGE_DELAY_MILLIS} after the
 * crash count. Two of them are required, about a report interval apart and with rising sequences:
 * after this process was suspended, all reports that it has not read arrive together. A target that
 * does not report its start time is indistinguishable from its successor, so it never counts.
 *
 * <p>All times are in milliseconds of this process's clock.
 */
final class SurvivingTargets {
    /** Earlier than any time of a monotonic clock; differences to it don't overflow. */
    static final long NEVER = Long.MIN_VALUE / 2;

    /** Messages are delayed by a few seconds at most. */
    static final long MAX_MESSAGE_DELAY_MILLIS = 10_000;

    /** Two reports of a running target are further apart than this fraction of their interval. */
    private static final double MIN_REPORT_INTERVALS = 0.5;

    private static final int MAX_TARGETS = 1024;

    private final long mMinGapMillis;
    private final Map<String, Long> mSurvivedAt = new LinkedHashMap<>();
    private final Map<String, LateReport> mFirstLateReports = new LinkedHashMap<>();

    private SurvivingTargets(long minGapMillis) {
        mMinGapMillis = minGapMillis;
    }

    /**
     * Returns an object without evidence.
     *
     * @param reportIntervalMillis the interval at which targets report themselves
     */
    static SurvivingTargets create(long reportIntervalMillis) {
        return new SurvivingTargets(Math.round(reportIntervalMillis * MIN_REPORT_INTERVALS));
    }

    /**
     * Records that a target which is supposed to have crashed has reported itself; returns whether
     * that newly disproves the crash.
     */
    boolean onReport(String target, long sequence, long crashedAt, long now) {
        long earliest = crashedAt + MAX_MESSAGE_DELAY_MILLIS;
        if (now <= earliest || !Incarnation.ofKey(target).hasStart()) {
            return false;
        }
        LateReport first = mFirstLateReports.get(target);
        if (first == null || first.receivedAt() <= earliest) {
            mFirstLateReports.put(target, new LateReport(sequence, now));
            dropOldest(mFirstLateReports);
            return false;
        }
        if (sequence <= first.sequence() || now - first.receivedAt() < mMinGapMillis) {
            return false;
        }
        mFirstLateReports.remove(target);
        return onSurvived(target, first.receivedAt() - MAX_MESSAGE_DELAY_MILLIS);
    }

    /** Records that a target ran at a time; returns whether that is later than known. */
    boolean onSurvived(String target, long at) {
        if (at <= survivedAt(target)) {
            return false;
        }
        // Inserted again, so that the targets that were needed longest ago are dropped first.
        mSurvivedAt.remove(target);
        mSurvivedAt.put(target, at);
        dropOldest(mSurvivedAt);
        return true;
    }

    /**
     * Returns the latest time at which a target is known to have run, {@link #NEVER} if none is.
     */
    long survivedAt(String target) {
        return mSurvivedAt.getOrDefault(target, NEVER);
    }

    /** Returns the latest times at which targets are known to have run. */
    Map<String, Long> survivedAt() {
        return Map.copyOf(mSurvivedAt);
    }

    private static <V> void dropOldest(Map<String, V> entries) {
        while (entries.size() > MAX_TARGETS) {
            entries.remove(entries.keySet().iterator().next());
        }
    }

    /** The first report received so late that it was sent after the supposed crash. */
    private record LateReport(long sequence, long receivedAt) {}
}
