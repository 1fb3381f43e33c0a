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
 * The election state that a replica keeps across restarts.
 *
 * @param term the latest term that the replica knows
 * @param votedFor the candidate that it voted for in that term, empty for none
 * @param trusted whether the replica may vote and counts towards majorities: false after a start
 *     with an empty disk, until it holds the leader's whole log or all other voters have reported
 *     empty logs
 */
public record Ballot(long term, String votedFor, boolean trusted) {
    /** Returns the ballot of a replica whose disk is empty. */
    public static Ballot empty() {
        return new Ballot(0, "", false);
    }

    /**
     * Returns whether the replica may vote for a candidate in this term: it hasn't voted yet, or
     * has voted for the same candidate.
     */
    public boolean mayVoteFor(String candidate) {
        return votedFor.isEmpty() || votedFor.equals(candidate);
    }
}
