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

import java.util.Collection;
import java.util.List;
import org.quilldyke.rollout.RolloutObservation;
import org.quilldyke.rollout.RolloutTotals;
import org.quilldyke.rollout.VersionEvidence;

/**
 * The evidence of rollouts in numbers, for logs and metrics.
 *
 * @param running how many rollouts are running
 * @param requests how many requests were sent to their services
 * @param canaries how many of these were sent to the new versions
 * @param oldAnswers how many answers came from old versions
 * @param oldBad how many of these were bad
 * @param newAnswers how many answers came from new versions
 * @param newBad how many of these were bad
 */
record RolloutCounts(
        int running,
        long requests,
        long canaries,
        long oldAnswers,
        long oldBad,
        long newAnswers,
        long newBad) {
    static final RolloutCounts NONE = new RolloutCounts(0, 0, 0, 0, 0, 0, 0);

    /** Returns the numbers of one rollout. */
    static RolloutCounts of(RolloutObservation seen) {
        return of(1, seen.requests(), seen.canaries(), seen.rows());
    }

    /** Returns the numbers of all running rollouts. */
    static RolloutCounts of(long running, Collection<RolloutTotals> all) {
        return of(
                (int) running,
                all.stream().mapToLong(RolloutTotals::requests).sum(),
                all.stream().mapToLong(RolloutTotals::canaries).sum(),
                all.stream().flatMap(totals -> totals.rows().stream()).toList());
    }

    private static RolloutCounts of(
            int running, long requests, long canaries, List<VersionEvidence> rows) {
        return new RolloutCounts(
                running,
                requests,
                canaries,
                answers(rows, false),
                bad(rows, false),
                answers(rows, true),
                bad(rows, true));
    }

    private static long answers(List<VersionEvidence> rows, boolean canary) {
        return rows.stream()
                .filter(row -> row.canary() == canary)
                .mapToLong(VersionEvidence::answers)
                .sum();
    }

    private static long bad(List<VersionEvidence> rows, boolean canary) {
        return rows.stream()
                .filter(row -> row.canary() == canary)
                .mapToLong(VersionEvidence::bad)
                .sum();
    }
}
