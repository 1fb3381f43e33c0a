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
    /** What was heard before the end of a suspension may be told somewhat later. */
    private static final long KEPT_MILLIS = 2 * Suspension.LATE_WORD_MILLIS;

    private final Map<String, Suspension> mById = new HashMap<>();

    /** Takes a suspension; returns whether it is news. */
    boolean add(Suspension suspension) {
        String id = suspension.incarnation().id();
        Suspension known = mById.get(id);
        boolean news = known == null || suspension.isNewsAfter(known);
        if (news) {
            mById.put(id, suspension);
        }
        return news;
    }

    /**
     * Returns whether what an incarnation says at a time doesn't show yet that it stays. A later
     * one than was known may have left, too, if it was heard before the leave, or is the next.
     */
    boolean covers(Incarnation incarnation, long heardAt) {
        Suspension known = mById.get(incarnation.id());
        if (known == null || !known.mayFollow(heardAt) || !incarnation.tellsBirth()) {
            return false;
        }
        if (incarnation.born() <= known.incarnation().born()) {
            return true;
        }
        boolean mayHaveLeft = heardAt <= known.at() || known.orNext();
        if (mayHaveLeft) {
            mById.put(incarnation.id(), known.of(incarnation, heardAt));
        }
        return mayHaveLeft;
    }

    void expire(long now) {
        mById.values().removeIf(suspension -> now - suspension.at() > KEPT_MILLIS);
    }

    Collection<Suspension> all() {
        return List.copyOf(mById.values());
    }
}
