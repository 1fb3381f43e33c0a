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
 * What a leader knows of another replica.
 *
 * @param id the replica
 * @param matchIndex the last entry that it is known to have synced
 * @param lastContactAt when the newest message was sent that it has answered, in milliseconds of
 *     the leader's clock; {@link Long#MIN_VALUE} if it has answered none
 */
public record FollowerStatus(String id, long matchIndex, long lastContactAt) {
    /** Returns for how long the replica hasn't answered. */
    public long millisSinceContact(long now, long leaderSince) {
        return now - Math.max(lastContactAt, leaderSince);
    }

    /**
     * Returns whether the replica has answered within the last {@code millis}. One that has
     * answered none hasn't: the time since then would overflow, and stand for a moment ago.
     */
    public boolean hasContactWithin(long millis, long now) {
        return lastContactAt > now - millis;
    }
}
