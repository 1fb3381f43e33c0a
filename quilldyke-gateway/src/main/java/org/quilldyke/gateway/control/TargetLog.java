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

import java.util.List;
import java.util.Locale;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.Departure;
import org.quilldyke.engine.Incarnation;
import org.quilldyke.engine.LeaveOutcome;
import org.quilldyke.engine.Suspension;
import org.quilldyke.engine.TargetReport;

/** Writes the log events about targets. */
final class TargetLog {
    private static final String TARGET = "target";
    private static final String BECAME = "became";

    private final EventLog mLog;

    TargetLog(EventLog log) {
        mLog = log;
    }

    /** A report was received that is the target's first or changes it. */
    void onChange(boolean wasKnown, TargetReport report) {
        mLog.write(
                wasKnown ? Event.TARGET_CHANGED : Event.TARGET_JOINED,
                TARGET,
                report.key(),
                "service",
                report.service(),
                "address",
                report.address(),
                "leaving",
                report.leaving(),
                "weights",
                report.weights(),
                "sequence",
                report.sequence());
    }

    /**
     * A leave notice was received.
     *
     * @param sentKey the key in the notice
     * @param outcome the effect of the notice
     * @param known the targets that are known afterwards
     */
    void onLeave(String sentKey, LeaveOutcome outcome, List<TargetReport> known) {
        String result = outcome.result().name().toLowerCase(Locale.ROOT);
        boolean coversSuccessor =
                outcome.suspension().map(Suspension::coversSuccessor).orElse(false);
        onLeave(sentKey, outcome.target(), result, coversSuccessor, known);
    }

    /** A report that the target is leaving arrived after a newer one that it is ready. */
    void onOutdatedLeave(String id, List<TargetReport> known) {
        onLeave(id, id, "ignored", false, known);
    }

    /** A target that had reported to be leaving has departed. */
    void onDeparture(Departure departure) {
        mLog.write(
                Event.TARGET_LEAVES,
                TARGET,
                departure.target(),
                BECAME,
                "left",
                "sequence",
                departure.lastSequence());
    }

    /** A later incarnation has superseded a target. */
    void onSuperseded(String id) {
        mLog.write(Event.TARGET_CHANGED, TARGET, id, "ended", true);
    }

    /** Another target reported the same address. */
    void onDisplaced(String id) {
        mLog.write(Event.TARGET_CHANGED, TARGET, id, "displaced", true);
    }

    /** A target has not reported within the lapse period. */
    void onLapsed(TargetReport report, long afterMillis) {
        mLog.write(
                Event.TARGET_LAPSED,
                TARGET,
                report.key(),
                "after",
                afterMillis,
                "leaving",
                report.leaving());
    }

    /** A target restored from disk has not reported since the restart. */
    void onRestoredExpired(String id) {
        mLog.write(Event.TARGET_LAPSED, TARGET, id, "remembered", true);
    }

    private void onLeave(
            String sentKey,
            String matchedTarget,
            String result,
            boolean coversSuccessor,
            List<TargetReport> known) {
        String id = Incarnation.ofKey(sentKey).id();
        mLog.write(
                Event.TARGET_LEAVES,
                TARGET,
                sentKey,
                "taken_for",
                matchedTarget,
                BECAME,
                result,
                "or_next",
                coversSuccessor,
                "ready",
                known.stream()
                        .filter(report -> !report.leaving())
                        .map(TargetReport::incarnation)
                        .filter(incarnation -> incarnation.id().equals(id))
                        .map(Incarnation::key)
                        .toList());
    }
}
