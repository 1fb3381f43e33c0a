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
 * The status of another replica, as known to the leader.
 *
 * @param id the replica
 * @param matchIndex the last entry that it is known to have synced
 * @param lastContactAt when the newest message that it has answered was sent, in milliseconds of
 *     the leader's clock; {@link Long#MIN_VALUE} if it has answered none
 */
public record FollowerStatus(String id, long matchIndex, long lastContactAt) {
    /**
     * Returns the time since the last contact or, if that is later, since {@code leaderSince}, in
     * milliseconds.
     */
    public long millisSinceContact(long now, long leaderSince) {
        return now - Math.max(lastContactAt, leaderSince);
    }

    /**
     * Returns whether the replica has answered a message sent within the last {@code millis}.
     * Compares points in time, since for a replica that has never answered the duration {@code now
     * - lastContactAt} overflows and looks like a recent contact.
     */
    public boolean hasContactWithin(long millis, long now) {
        return lastContactAt > now - millis;
    }
}
