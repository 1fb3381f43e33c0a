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
package org.quilldyke.control;

/**
 * An entry of the replicated log.
 *
 * @param term the term of the leader that appended it
 * @param payload the encoded command; empty in a no-op entry and in a change of membership
 * @param membership the membership from this entry on, or null if it doesn't change
 */
public record LogEntry(long term, byte[] payload, Membership membership) {
    private static final byte[] EMPTY = new byte[0];

    /** Creates an entry that carries a command. */
    public LogEntry(long term, byte[] payload) {
        this(term, payload, null);
    }

    /** Returns the no-op entry that a new leader appends first in its term. */
    public static LogEntry noOp(long term) {
        return new LogEntry(term, EMPTY, null);
    }

    /** Returns an entry that changes the membership. */
    public static LogEntry ofMembership(long term, Membership membership) {
        return new LogEntry(term, EMPTY, membership);
    }

    /** Returns whether the entry carries no command. */
    public boolean hasNoCommand() {
        return payload.length == 0;
    }
}
