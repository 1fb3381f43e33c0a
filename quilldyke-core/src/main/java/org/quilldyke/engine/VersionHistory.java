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

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The software versions that serve each service, or have served it while streams that they began
 * may still be resumed.
 *
 * <p>The history is part of the replicated state. A resumable stream begins only at a version that
 * is recorded here, so a version that is absent from a complete history has begun none of them.
 *
 * @param isComplete whether all versions that may have begun a resumable stream are recorded
 * @param standings the standing of each version by service, without removed versions
 */
public record VersionHistory(
        boolean isComplete, SortedMap<String, SortedMap<String, VersionStanding>> standings) {
    /** The history of a fleet that has not recorded any version. */
    public static final VersionHistory NONE = new VersionHistory(false, new TreeMap<>());

    /** Copies the standings. */
    public VersionHistory {
        TreeMap<String, SortedMap<String, VersionStanding>> copy = new TreeMap<>();
        standings.forEach(
                (service, versions) ->
                        copy.put(
                                service,
                                Collections.unmodifiableSortedMap(new TreeMap<>(versions))));
        standings = Collections.unmodifiableSortedMap(copy);
    }

    /** Returns a history with the given versions. */
    public static VersionHistory of(boolean isComplete, List<ServedVersion> versions) {
        return NONE.with(versions, isComplete);
    }

    /**
     * Returns the history after changes. Only a retired version is removed: another one has been
     * seen after the removal was decided.
     *
     * @param changes the new standing of each version that changes
     * @param completes whether the history is complete from now on
     */
    public VersionHistory with(List<ServedVersion> changes, boolean completes) {
        TreeMap<String, SortedMap<String, VersionStanding>> changed = new TreeMap<>(standings);
        for (ServedVersion change : changes) {
            TreeMap<String, VersionStanding> versions =
                    new TreeMap<>(changed.getOrDefault(change.service(), new TreeMap<>()));
            if (change.standing() == VersionStanding.REMOVED) {
                versions.remove(change.version(), VersionStanding.RETIRED);
            } else {
                versions.put(change.version(), change.standing());
            }
            if (versions.isEmpty()) {
                changed.remove(change.service());
            } else {
                changed.put(change.service(), versions);
            }
        }
        return new VersionHistory(isComplete || completes, changed);
    }

    /** Returns the recorded versions of all services. */
    public List<ServedVersion> served() {
        List<ServedVersion> all = new ArrayList<>();
        standings.forEach(
                (service, versions) ->
                        versions.forEach(
                                (version, standing) ->
                                        all.add(new ServedVersion(service, version, standing))));
        return all;
    }

    /** Returns the recorded versions of a service. */
    public Set<String> versions(String service) {
        return standings.getOrDefault(service, new TreeMap<>()).keySet();
    }

    /** Returns the standing of a version; {@link VersionStanding#REMOVED} if it isn't recorded. */
    public VersionStanding standing(String service, String version) {
        return standings
                .getOrDefault(service, new TreeMap<>())
                .getOrDefault(version, VersionStanding.REMOVED);
    }

    /** Returns the only version that can have begun a resumable stream, if there is only one. */
    public Optional<String> soleVersion(String service) {
        Set<String> versions = versions(service);
        return isComplete && versions.size() == 1
                ? Optional.of(versions.iterator().next())
                : Optional.empty();
    }

    /** Returns whether several versions can have begun a stream of the service. */
    public boolean isMixed(String service) {
        return versions(service).size() > 1;
    }
}
