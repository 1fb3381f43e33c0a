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

/**
 * The answers to the requests of one route, from the targets of one version.
 *
 * @param route the name of the route
 * @param target the target that answered, for canary requests; empty for the old version, whose
 *     targets are counted together
 * @param canary whether the targets have the new version
 * @param answers how many requests were answered or have failed
 * @param failures how many of these have failed
 * @param slow how many of these were answered much later than expected
 */
public record VersionEvidence(
        String route, String target, boolean canary, long answers, long failures, long slow) {
    /** Returns how many answers were failures or slow. */
    public long bad() {
        return failures + slow;
    }

    /** Returns this row with the counts of another one added, or subtracted with a sign of -1. */
    VersionEvidence plus(VersionEvidence other, int sign) {
        return new VersionEvidence(
                route,
                target,
                canary,
                answers + sign * other.answers,
                failures + sign * other.failures,
                slow + sign * other.slow);
    }
}
