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

import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What a target states about itself in the head of an answer.
 *
 * @param restMillis for how long it wants no requests of this instance; empty if it doesn't say so
 * @param leaving whether it shuts down soon
 * @param maxRefusals how many requests it may have to refuse within a second, of all instances,
 *     without failing; empty if it doesn't say so
 */
public record TargetNotice(OptionalLong restMillis, boolean leaving, OptionalInt maxRefusals) {
    /** States nothing. */
    public static final TargetNotice NONE =
            new TargetNotice(OptionalLong.empty(), false, OptionalInt.empty());
}
