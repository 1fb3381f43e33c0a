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

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The latest known incarnation of each target id. Messages about earlier incarnations are obsolete,
 * even if the latest one is unresponsive or has departed.
 */
public final class LatestIncarnations {
    /**
     * Many times the number of targets of a deployment; the least recently used ids are evicted.
     */
    static final int MAX_IDS = 4096;

    private static final float LOAD_FACTOR = 0.75f;

    private final Map<String, Incarnation> mLatest =
            new LinkedHashMap<>(MAX_IDS / 16, LOAD_FACTOR, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Incarnation> eldest) {
                    return size() > MAX_IDS;
                }
            };

    private LatestIncarnations() {}

    /** Returns an empty table. */
    public static LatestIncarnations create() {
        return new LatestIncarnations();
    }

    /** Returns whether a later incarnation of the same id is known. */
    public boolean isSuperseded(Incarnation incarnation) {
        Incarnation latest = mLatest.get(incarnation.id());
        return latest != null && latest.startedAtMillis() > incarnation.startedAtMillis();
    }

    /**
     * Records an incarnation.
     *
     * @return the known incarnation that it supersedes, if any
     */
    public Optional<Incarnation> observe(Incarnation incarnation) {
        if (isSuperseded(incarnation)) {
            return Optional.empty();
        }
        Incarnation previous = mLatest.put(incarnation.id(), incarnation);
        return Optional.ofNullable(previous)
                .filter(known -> known.startedAtMillis() < incarnation.startedAtMillis());
    }

    /** Returns the latest incarnation of an id. */
    public Optional<Incarnation> find(String id) {
        return Optional.ofNullable(mLatest.get(id));
    }
}
