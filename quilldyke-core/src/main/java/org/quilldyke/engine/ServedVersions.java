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

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The software versions of each service's targets, including those that ended lately. */
public final class ServedVersions {
    private final long mRetentionMillis;
    private final Map<String, Map<String, Long>> mSeenAt = new HashMap<>();

    private ServedVersions(long retentionMillis) {
        mRetentionMillis = retentionMillis;
    }

    /**
     * Returns an instance without versions.
     *
     * @param retentionMillis for how long a version without targets is retained
     */
    public static ServedVersions create(long retentionMillis) {
        return new ServedVersions(retentionMillis);
    }

    /** Records that a service has a target of a version. */
    public void onTarget(String service, String version, long now) {
        mSeenAt.computeIfAbsent(service, s -> new HashMap<>()).put(version, now);
    }

    /** Returns the versions of a service. */
    public Set<String> of(String service, long now) {
        Map<String, Long> seenAt = mSeenAt.getOrDefault(service, Map.of());
        seenAt.values().removeIf(at -> now - at >= mRetentionMillis);
        return Set.copyOf(seenAt.keySet());
    }

    /** Returns the services that have several versions. */
    public Set<String> mixedServices(long now) {
        Set<String> mixed = new HashSet<>();
        for (String service : mSeenAt.keySet()) {
            if (of(service, now).size() > 1) {
                mixed.add(service);
            }
        }
        return mixed;
    }
}
