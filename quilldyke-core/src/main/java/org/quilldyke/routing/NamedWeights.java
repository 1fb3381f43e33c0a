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

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The versions of each model's weights that operators have named for use, and when.
 *
 * <p>A version is outdated from the time at which the first newer version was named, however many
 * have followed.
 */
public final class NamedWeights {
    private final Map<String, TreeMap<Long, Long>> mNamedAt = new HashMap<>();

    private NamedWeights() {}

    /** Returns a table without any model. */
    public static NamedWeights create() {
        return new NamedWeights();
    }

    /**
     * Adds a version; a repetition changes nothing.
     *
     * @param namedAt when it was named, in milliseconds of this instance's clock
     */
    public void onNamed(String model, long version, long namedAt) {
        mNamedAt.computeIfAbsent(model, name -> new TreeMap<>()).putIfAbsent(version, namedAt);
    }

    /** Returns the newest version of a model, 0 if none was named. */
    public long newest(String model) {
        TreeMap<Long, Long> versions = mNamedAt.get(model);
        return versions == null ? 0 : versions.lastKey();
    }

    /**
     * Returns for how long a version has been outdated: at least 1 ms, or 0 if it is the newest.
     */
    public long outdatedMillis(String model, long version, long now) {
        TreeMap<Long, Long> versions = mNamedAt.get(model);
        Map.Entry<Long, Long> next = versions == null ? null : versions.higherEntry(version);
        return next == null ? 0 : Math.max(1, now - next.getValue());
    }
}
