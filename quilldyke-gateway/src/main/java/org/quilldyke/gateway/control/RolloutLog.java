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

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.rollout.Rollout;
import org.quilldyke.rollout.RolloutDecision;
import org.quilldyke.rollout.RolloutObservation;
import org.quilldyke.rollout.RolloutPhase;

/** Logs what the leader sees of rollouts and decides on them. */
final class RolloutLog {
    /** At most one line on the evidence of a rollout is logged in this interval. */
    private static final long INTERVAL_MILLIS = 1000;

    private final EventLog mLog;
    private final LongSupplier mClock;
    private final Map<Long, LoggedEvidence> mLogged = new HashMap<>();

    RolloutLog(EventLog log, LongSupplier clock) {
        mLog = log;
        mClock = clock;
    }

    /** Forgets all rollouts but the running ones. */
    void retain(Set<Long> running) {
        mLogged.keySet().retainAll(running);
    }

    /** Logs the evidence of a rollout if it has changed, at most once in a while. */
    void onEvidence(Rollout rollout, RolloutObservation seen, double fraction) {
        RolloutCounts counts = RolloutCounts.of(seen);
        LoggedEvidence last = mLogged.get(rollout.index());
        long now = mClock.getAsLong();
        boolean changed =
                last == null || !last.counts().equals(counts) || last.fraction() != fraction;
        if (!changed || last != null && now - last.loggedAt() < INTERVAL_MILLIS) {
            return;
        }
        mLogged.put(rollout.index(), new LoggedEvidence(now, counts, fraction));
        mLog.write(
                Event.ROLLOUT_EVIDENCE,
                "service",
                rollout.service(),
                "version",
                rollout.version(),
                "index",
                rollout.index(),
                "age_ms",
                seen.ageMillis(),
                "fraction",
                fraction,
                "requests",
                counts.requests(),
                "canaries",
                counts.canaries(),
                "old",
                counts.oldBad() + "/" + counts.oldAnswers(),
                "new",
                counts.newBad() + "/" + counts.newAnswers(),
                "targets",
                seen.newTargets() + "/" + (seen.newTargets() + seen.oldTargets()));
    }

    /** Logs that a next phase is committed, and the numbers by which it was decided. */
    void onPhase(
            Rollout rollout, RolloutPhase next, RolloutDecision decision, RolloutObservation seen) {
        RolloutCounts counts = RolloutCounts.of(seen);
        mLog.write(
                Event.ROLLOUT_PHASE,
                "service",
                rollout.service(),
                "version",
                rollout.version(),
                "index",
                rollout.index(),
                "phase",
                next,
                "reason",
                decision.reason(),
                "retired",
                decision.retired(),
                "age_ms",
                seen.ageMillis(),
                "requests",
                counts.requests(),
                "canaries",
                counts.canaries(),
                "old",
                counts.oldBad() + "/" + counts.oldAnswers(),
                "new",
                counts.newBad() + "/" + counts.newAnswers(),
                "open",
                seen.openAtOldTargets());
    }

    private record LoggedEvidence(long loggedAt, RolloutCounts counts, double fraction) {}
}
