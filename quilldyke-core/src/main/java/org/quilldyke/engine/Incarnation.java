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
 * One start of a target: its id and when it says that it was born.
 *
 * <p>A target may start again under the id that it had. What is believed of it is therefore kept
 * under {@link #key()}, in maps as well as in frames between instances, and ends with the
 * incarnation. The target itself is told its plain id. Clocks of targets may be off: births order
 * the incarnations of one id and are compared with nothing else.
 *
 * @param id the name that the target gives itself
 * @param startedAtMillis the Unix millisecond of its start by its own clock, {@link #UNKNOWN_START}
 *     if it doesn't say
 */
public record Incarnation(String id, long startedAtMillis) {
    /** Stands for a target that doesn't say when it was born; any that says so is later. */
    public static final long UNKNOWN_START = Long.MIN_VALUE;

    /** Ends the path of a URL, so that no id has it. */
    private static final char SEPARATOR = '#';

    /** Returns the incarnation of a target that doesn't say when it was born. */
    public static Incarnation withoutStart(String id) {
        return new Incarnation(id, UNKNOWN_START);
    }

    /** Returns the incarnation that a key names; without a birth the key is the id. */
    public static Incarnation ofKey(String key) {
        int separator = key.lastIndexOf(SEPARATOR);
        if (separator < 0) {
            return withoutStart(key);
        }
        try {
            long startedAtMillis = Long.parseLong(key.substring(separator + 1));
            return new Incarnation(key.substring(0, separator), startedAtMillis);
        } catch (NumberFormatException e) {
            // The id of a target that doesn't say when it was born.
            return withoutStart(key);
        }
    }

    /** Returns the one text that names this incarnation among ourselves. */
    public String key() {
        return hasStart() ? id + SEPARATOR + startedAtMillis : id;
    }

    /** Returns whether it is known when the target was born. */
    public boolean hasStart() {
        return startedAtMillis != UNKNOWN_START;
    }

    /**
     * Returns whether an answer may be this incarnation's, so that it may be believed of it.
     *
     * @param answeredStartedAtMillis the birth that the answer tells, {@link #UNKNOWN_START} if
     *     none
     */
    public boolean mayMatch(long answeredStartedAtMillis) {
        return !hasStart()
                || answeredStartedAtMillis == UNKNOWN_START
                || answeredStartedAtMillis == startedAtMillis;
    }

    /**
     * Returns whether an answer shows that another one has taken this incarnation's place.
     *
     * @param answeredStartedAtMillis the birth that the answer tells, {@link #UNKNOWN_START} if
     *     none
     */
    public boolean isSupersededBy(long answeredStartedAtMillis) {
        return !mayMatch(answeredStartedAtMillis) && answeredStartedAtMillis > startedAtMillis;
    }
}
