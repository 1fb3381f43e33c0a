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
 * An operator's order to move a service's traffic to another software version.
 *
 * @param service the name of the service
 * @param version the software version that its targets report
 * @param durationMillis the time within which it is to be completed or reverted
 * @param index the log index of the order, which identifies the rollout
 * @param phase how far it has come
 */
public record Rollout(
        String service, String version, long durationMillis, long index, RolloutPhase phase) {
    /** Returns a rollout that has just been ordered. */
    public static Rollout start(String service, String version, long durationMillis, long index) {
        return new Rollout(service, version, durationMillis, index, RolloutPhase.CANARY);
    }

    /** Returns the rollout in another phase. */
    public Rollout withPhase(RolloutPhase next) {
        return new Rollout(service, version, durationMillis, index, next);
    }

    /** Returns whether an order asks for the same: it is this one, sent again. */
    public boolean isSameOrder(String otherVersion, long otherDurationMillis) {
        return version.equals(otherVersion) && durationMillis == otherDurationMillis;
    }
}
