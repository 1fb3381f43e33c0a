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
 * The departure of a target, kept as a tombstone so that late reports do not restore the target.
 *
 * @param target the key of its incarnation
 * @param lastSequence the sequence up to which its reports are obsolete
 * @param recordedAt when an instance first recorded it, in milliseconds of this instance's
 *     monotonic clock
 */
public record Departure(String target, long lastSequence, long recordedAt) {
    /** The last sequence of a permanent departure: all reports of the target are obsolete. */
    public static final long ALL_REPORTS = Long.MAX_VALUE;

    /** Returns the permanent departure of a target. */
    public static Departure permanent(String target, long recordedAt) {
        return new Departure(target, ALL_REPORTS, recordedAt);
    }

    /** Returns the departure of a target whose last report said that it is leaving. */
    public static Departure upTo(TargetReport lastReport, long recordedAt) {
        return new Departure(lastReport.key(), lastReport.sequence(), recordedAt);
    }
}
