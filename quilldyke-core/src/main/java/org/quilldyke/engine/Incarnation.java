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
 * One start of a target's process: the target's id and the start time that it reports.
 *
 * <p>A target may restart under the same id. Its state is therefore stored under {@link #key()}, in
 * maps as well as in frames between instances, and is discarded with the incarnation. Messages to
 * the target itself carry the plain id. Clocks of targets may be wrong: start times order the
 * incarnations of one id and are compared with nothing else.
 *
 * @param id the id that the target reports
 * @param startedAtMillis the start time by the target's own clock, in Unix milliseconds, or {@link
 *     #UNKNOWN_START} if the target does not report it
 */
public record Incarnation(String id, long startedAtMillis) {
    /** The start time of a target that does not report it; earlier than any reported one. */
    public static final long UNKNOWN_START = Long.MIN_VALUE;

    /** Not a valid character of an id, since it ends the path of a URL. */
    private static final char SEPARATOR = '#';

    /** Returns the incarnation of a target that does not report its start time. */
    public static Incarnation withoutStart(String id) {
        return new Incarnation(id, UNKNOWN_START);
    }

    /** Returns the incarnation with the given key; without a start time the key is the id. */
    public static Incarnation ofKey(String key) {
        int separator = key.lastIndexOf(SEPARATOR);
        if (separator < 0) {
            return withoutStart(key);
        }
        try {
            long startedAtMillis = Long.parseLong(key.substring(separator + 1));
            return new Incarnation(key.substring(0, separator), startedAtMillis);
        } catch (NumberFormatException e) {
            // The id of a target that does not report its start time.
            return withoutStart(key);
        }
    }

    /** Returns the key that identifies this incarnation within quilldyke. */
    public String key() {
        return hasStart() ? id + SEPARATOR + startedAtMillis : id;
    }

    /** Returns whether the start time is known. */
    public boolean hasStart() {
        return startedAtMillis != UNKNOWN_START;
    }

    /**
     * Returns whether a response may come from this incarnation.
     *
     * @param reportedStartMillis the start time in the response, {@link #UNKNOWN_START} if none
     */
    public boolean mayMatch(long reportedStartMillis) {
        return !hasStart()
                || reportedStartMillis == UNKNOWN_START
                || reportedStartMillis == startedAtMillis;
    }

    /**
     * Returns whether a response shows that a later incarnation has replaced this one.
     *
     * @param reportedStartMillis the start time in the response, {@link #UNKNOWN_START} if none
     */
    public boolean isSupersededBy(long reportedStartMillis) {
        return !mayMatch(reportedStartMillis) && reportedStartMillis > startedAtMillis;
    }
}
