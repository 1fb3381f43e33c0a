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

import it.unimi.dsi.fastutil.longs.LongList;

/**
 * An event published by an engine's cache. Events arrive late, and some are lost.
 *
 * @param sequence increases by one with each event of an incarnation; a gap means lost events
 * @param kind the type of the change
 * @param keys the keys of the changed blocks, empty for {@link Kind#CLEARED}
 */
public record CacheEvent(long sequence, Kind kind, LongList keys) {
    /** The types of changes to a cache. */
    public enum Kind {
        STORED,
        REMOVED,
        CLEARED
    }

    /** Creates an event with a copy of the list. */
    public CacheEvent {
        keys = LongList.of(keys.toLongArray());
    }
}
