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
 * What one entry has observed of a rollout since it learned of it.
 *
 * @param index identifies the rollout, see {@link Rollout#index}
 * @param run a random number that distinguishes the starts of the entry
 * @param ageMillis the age of the rollout, as far as the entry knows
 * @param requests how many requests the entry has sent to the service
 * @param canaries how many of these were sent to the new version
 * @param rows the answers, by route, version and target
 */
public record RolloutEvidence(
        long index,
        long run,
        long ageMillis,
        long requests,
        long canaries,
        List<VersionEvidence> rows) {
    /** Copies the rows. */
    public RolloutEvidence {
        rows = List.copyOf(rows);
    }
}
