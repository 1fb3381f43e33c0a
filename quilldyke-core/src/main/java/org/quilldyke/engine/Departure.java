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
package org.quilldyke.engine;

/**
 * The end of a target's service, as far as its words tell.
 *
 * @param target the target's key
 * @param lastSequence of its reports this one and all before don't count any more
 * @param recordedAt when it was told, in milliseconds of this instance's monotonic clock
 */
public record Departure(String target, long lastSequence, long recordedAt) {
    /** No report of the target counts any more. */
    public static final long ALL_REPORTS = Long.MAX_VALUE;

    /** Returns the end of a target that has said that it is gone. */
    public static Departure permanent(String target, long recordedAt) {
        return new Departure(target, ALL_REPORTS, recordedAt);
    }

    /** Returns the end of a target that said it leaves and wasn't heard since. */
    public static Departure upTo(TargetReport lastReport, long recordedAt) {
        return new Departure(lastReport.id(), lastReport.sequence(), recordedAt);
    }
}
