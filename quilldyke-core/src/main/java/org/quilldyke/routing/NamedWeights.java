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

/** Which version of each model's weights operators want, and since when. */
public final class NamedWeights {
    private final Map<String, Long> mVersions = new HashMap<>();
    private final Map<String, Long> mNamedAt = new HashMap<>();

    private NamedWeights() {}

    /** Returns a table without any model. */
    public static NamedWeights create() {
        return new NamedWeights();
    }

    /** Takes a version that was named at the given time; an older one changes nothing. */
    public void onNamed(String model, long version, long namedAt) {
        if (version > mVersions.getOrDefault(model, 0L)) {
            mVersions.put(model, version);
            mNamedAt.put(model, namedAt);
        }
    }

    /** Returns the newest version of a model, 0 if none was named. */
    public long newest(String model) {
        return mVersions.getOrDefault(model, 0L);
    }

    /** Returns for how long the newest version of a model has been named. */
    public long age(String model, long now) {
        return now - mNamedAt.getOrDefault(model, now);
    }
}
