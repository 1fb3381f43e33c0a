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
package org.quilldyke.routing;

/**
 * The target chosen to continue a stream, with its expected speed.
 *
 * @param choice the target, with the expected time to its first event
 * @param eventIntervalMillis the expected time per further event there
 */
public record SuccessorChoice(Choice choice, double eventIntervalMillis) {
    /** Returns how long the rest of a stream would take there if it has {@code events} events. */
    public double remainingMillis(int events) {
        return choice.expectedMillis() + events * eventIntervalMillis;
    }
}
