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
package org.quilldyke.caller;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The origins of streams that were begun lately; the oldest are discarded first. */
public final class StreamOrigins {
    private static final int MAX_ORIGINS = 50_000;

    private final Map<Key, StreamOrigin> mByKey = new LinkedHashMap<>();

    private StreamOrigins() {}

    /** Returns an instance without origins. */
    public static StreamOrigins create() {
        return new StreamOrigins();
    }

    /**
     * Adds the origin of a stream, unless the attempt is known: its first event came only once.
     *
     * @return whether the origin was added
     */
    public boolean add(StreamOrigin origin, long now) {
        removeExpired(now);
        Key key = new Key(origin.organisation(), origin.attempt());
        return origin.isRetained(now) && mByKey.putIfAbsent(key, origin) == null;
    }

    /** Returns the origin of a stream of an organisation, if it is known. */
    public Optional<StreamOrigin> find(
            String attempt, String organisation, String service, long now) {
        return Optional.ofNullable(mByKey.get(new Key(organisation, attempt)))
                .filter(origin -> origin.isRetained(now))
                .filter(origin -> origin.service().equals(service));
    }

    /** Returns the newest origins, at most {@code max} of them. */
    public List<StreamOrigin> newest(int max, long now) {
        removeExpired(now);
        List<StreamOrigin> all = new ArrayList<>(mByKey.values());
        return all.subList(Math.max(0, all.size() - max), all.size());
    }

    private void removeExpired(long now) {
        Iterator<StreamOrigin> oldest = mByKey.values().iterator();
        while (oldest.hasNext()) {
            if (oldest.next().isRetained(now) && mByKey.size() < MAX_ORIGINS) {
                return;
            }
            oldest.remove();
        }
    }

    /** Attempts are named by their callers, so those of two organisations may have one name. */
    private record Key(String organisation, String attempt) {}
}
