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
package org.quilldyke.gateway.dialect;

import java.util.List;

/**
 * Changes in the cache of an engine or a store.
 *
 * @param epoch another one than before means that it has restarted and keeps nothing from before
 * @param next where to go on
 * @param gap whether some changes are missing
 * @param unreadable how many changes couldn't be read and are left out
 * @param changes the changes in order
 * @param born the birth that the engine tells, {@link
 *     org.quilldyke.engine.Incarnation#UNKNOWN_START} if none
 */
public record CacheEvents(
        long epoch, long next, boolean gap, int unreadable, List<Change> changes, long born) {
    /** Copies the changes. */
    public CacheEvents {
        changes = List.copyOf(changes);
    }

    /**
     * A part that is kept from now on, or no longer.
     *
     * @param added whether it is kept from now on
     * @param salt the name under which it is shared
     * @param part the part's id
     */
    public record Change(boolean added, String salt, long part) {}
}
