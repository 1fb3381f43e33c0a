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
 * What a rollout may risk.
 *
 * @param maxShare the share of a service's requests, from the order to the end of its duration,
 *     that a bad version may get; 0 if there are no rollouts
 * @param slack how many requests it may get besides
 * @param rollbackMillis the time after its 50th bad answer within which requests to it must stop
 */
public record RolloutTolerance(double maxShare, double slack, long rollbackMillis) {
    /** For deployments without rollouts. */
    public static final RolloutTolerance NO_ROLLOUTS = new RolloutTolerance(0, 0, 0);

    /** Returns whether operators may order rollouts. */
    public boolean permitsRollouts() {
        return maxShare > 0;
    }
}
