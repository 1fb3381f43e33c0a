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

import java.util.List;

/**
 * What the leader knows of a running rollout.
 *
 * @param ageMillis the time since the order
 * @param requests how many requests all entries have sent to the service since then
 * @param followedRequests about how many of these were sent since the leader's first report, see
 *     {@link RolloutTotals#followedRequests}
 * @param canaries how many of these were sent to the new version
 * @param rows the answers, summed over all entries
 * @param newTargets how many live targets of the service have the new version
 * @param oldTargets how many have another version that isn't retired
 * @param openAtOldTargets how many requests are open at targets of another version
 * @param oldVersions the versions of the live targets, except the new one
 */
public record RolloutObservation(
        long ageMillis,
        long requests,
        long followedRequests,
        long canaries,
        List<VersionEvidence> rows,
        int newTargets,
        int oldTargets,
        long openAtOldTargets,
        List<String> oldVersions) {
    /** Copies the lists. */
    public RolloutObservation {
        rows = List.copyOf(rows);
        oldVersions = List.copyOf(oldVersions);
    }

    /** Creates an observation of a leader that has followed the rollout since the order. */
    RolloutObservation(
            long ageMillis,
            long requests,
            long canaries,
            List<VersionEvidence> rows,
            int newTargets,
            int oldTargets,
            long openAtOldTargets,
            List<String> oldVersions) {
        this(
                ageMillis,
                requests,
                requests,
                canaries,
                rows,
                newTargets,
                oldTargets,
                openAtOldTargets,
                oldVersions);
    }
}
