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

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Targets that have departed, kept as long as late messages about them may arrive. */
final class Departures {
    private final Map<String, Departure> mByTarget = new HashMap<>();

    /** Adds a departure; returns whether it makes more reports obsolete than the known one. */
    boolean add(Departure departure) {
        Departure known = mByTarget.get(departure.target());
        boolean isNew = known == null || known.lastSequence() < departure.lastSequence();
        if (isNew) {
            mByTarget.put(departure.target(), departure);
        }
        return isNew;
    }

    /** Returns whether a report was made before its sender departed. */
    boolean precedesDeparture(TargetReport report) {
        Departure known = mByTarget.get(report.key());
        return known != null && report.sequence() <= known.lastSequence();
    }

    void expire(long retentionMillis, long now) {
        mByTarget.values().removeIf(departure -> now - departure.recordedAt() > retentionMillis);
    }

    Optional<Departure> find(String target) {
        return Optional.ofNullable(mByTarget.get(target));
    }

    Collection<Departure> all() {
        return List.copyOf(mByTarget.values());
    }
}
