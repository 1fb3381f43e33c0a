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
 * What a target said last of the requests that it takes from all instances together.
 *
 * @param target which
 * @param perSecond requests a second, {@link #NONE} if it names no limit
 * @param at when it was heard, in milliseconds of this process's clock
 */
public record NamedLimit(String target, double perSecond, long at) {
    /** Stands for no limit. */
    public static final double NONE = Double.POSITIVE_INFINITY;

    /** Limits that differ by less than this part are told as one. */
    private static final double SAME_PART = 0.2;

    /** Returns whether it names a limit. */
    public boolean isSet() {
        return perSecond != NONE;
    }

    /** Returns whether it says something else than an earlier word of the target. */
    public boolean differsFrom(NamedLimit earlier) {
        double difference = Math.abs(perSecond - earlier.perSecond);
        return isSet() != earlier.isSet() || difference > SAME_PART * earlier.perSecond;
    }
}
