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

/** How far a rollout has come. */
public enum RolloutPhase {
    /** A small share of the requests goes to the new version, to evaluate it. */
    CANARY {
        @Override
        public boolean mayBecome(RolloutPhase next) {
            return next != CANARY;
        }
    },
    /** The new version was found to be good; requests move to it. */
    SHIFTING {
        @Override
        public boolean mayBecome(RolloutPhase next) {
            return next == COMPLETED || next == REVERTED;
        }
    },
    /** The new version serves all requests; the targets of the old one may be stopped. */
    COMPLETED,
    /** The new version gets no requests. */
    REVERTED;

    /** Returns whether a rollout may go from this phase to another one. */
    public boolean mayBecome(RolloutPhase next) {
        return false;
    }

    /** Returns whether the rollout has not ended. */
    public boolean isRunning() {
        return this == CANARY || this == SHIFTING;
    }
}
