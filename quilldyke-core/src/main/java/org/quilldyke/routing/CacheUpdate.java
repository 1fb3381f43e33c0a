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

import java.util.List;

/**
 * A change in the cache of an engine or the KV store.
 *
 * @param holder the engine's id or the store's address
 * @param reachable whether the holder answers the control process that reads its cache events
 * @param discardsPrevious whether parts that were reported before and aren't in {@code added} are
 *     no longer cached, since the holder has restarted or the update lists all its parts
 * @param added keys of parts that are cached now
 * @param removed keys of parts that are no longer cached
 */
public record CacheUpdate(
        String holder,
        boolean reachable,
        boolean discardsPrevious,
        List<Long> added,
        List<Long> removed) {
    /** Copies the lists. */
    public CacheUpdate {
        added = List.copyOf(added);
        removed = List.copyOf(removed);
    }
}
