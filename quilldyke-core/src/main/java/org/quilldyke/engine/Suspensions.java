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

/** The latest suspension of each id. */
final class Suspensions {
    /** Reports that were seen before the end of a suspension may be forwarded after it. */
    private static final long RETENTION_MILLIS = 2 * Suspension.MAX_MESSAGE_DELAY_MILLIS;

    private final Map<String, Suspension> mById = new HashMap<>();

    /** Adds a suspension; returns whether it changes the known one of its id. */
    boolean add(Suspension suspension) {
        String id = suspension.incarnation().id();
        Suspension known = mById.get(id);
        boolean isNew = known == null || suspension.addsInformationTo(known);
        if (isNew) {
            mById.put(id, suspension);
        }
        return isNew;
    }

    /**
     * Returns whether an incarnation that was seen at {@code seenAt} is suspended. A suspension
     * moves to a later incarnation if that one was seen before the leave notice, or if the
     * suspension covers the successor.
     */
    boolean isSuspended(Incarnation incarnation, long seenAt) {
        Suspension known = mById.get(incarnation.id());
        if (known == null || !known.mayPredateLeave(seenAt) || !incarnation.hasStart()) {
            return false;
        }
        if (incarnation.startedAtMillis() <= known.incarnation().startedAtMillis()) {
            return true;
        }
        boolean mayHaveLeft = seenAt <= known.leaveReceivedAt() || known.coversSuccessor();
        if (mayHaveLeft) {
            mById.put(incarnation.id(), known.movedTo(incarnation, seenAt));
        }
        return mayHaveLeft;
    }

    void expire(long now) {
        mById.values()
                .removeIf(suspension -> now - suspension.leaveReceivedAt() > RETENTION_MILLIS);
    }

    Collection<Suspension> all() {
        return List.copyOf(mById.values());
    }
}
