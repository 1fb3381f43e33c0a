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
package org.quilldyke.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * The configuration that operators have confirmed: an immutable value whose version only increases.
 *
 * <p>Each object carries the version of its last change, so that a plan can detect that an object
 * it was made from has changed since.
 *
 * @param version rises with each change; 0 for the empty configuration
 * @param organisations by name
 * @param models by name
 * @param targets policies by target id; a target without a policy is in normal use
 */
public record Configuration(
        long version,
        SortedMap<String, Organisation> organisations,
        SortedMap<String, Model> models,
        SortedMap<String, TargetPolicy> targets) {

    /**
     * An organisation that may send requests.
     *
     * @param name its name
     * @param tokenHashes SHA-256 of each bearer token, in lower-case hex
     * @param maxConcurrent requests it may have open at one instance, 0 for no limit
     * @param version the configuration's version at the last change
     */
    public record Organisation(
            String name, List<String> tokenHashes, int maxConcurrent, long version) {}

    /**
     * A model and the weight versions that may serve it.
     *
     * @param name the name that callers use
     * @param service the service whose engines run it
     * @param weights the weight version in force
     * @param previousWeights the version that a running roll-out replaces, empty for none
     * @param version the configuration's version at the last change
     */
    public record Model(
            String name, String service, String weights, String previousWeights, long version) {
        /** Returns whether an engine with the given weights may serve the model. */
        public boolean accepts(String loadedWeights) {
            return loadedWeights.equals(weights)
                    || (!previousWeights.isEmpty() && loadedWeights.equals(previousWeights));
        }
    }

    /**
     * An operator's settings for a target.
     *
     * @param id the target
     * @param retired whether it gets no new work
     * @param version the configuration's version at the last change
     */
    public record TargetPolicy(String id, boolean retired, long version) {}

    /** Returns the configuration before the first change. */
    public static Configuration empty() {
        return new Configuration(0, new TreeMap<>(), new TreeMap<>(), new TreeMap<>());
    }

    /** Returns the organisation to which a token's hash belongs, or null. */
    public Organisation organisationOf(String tokenHash) {
        for (Organisation organisation : organisations.values()) {
            if (organisation.tokenHashes().contains(tokenHash)) {
                return organisation;
            }
        }
        return null;
    }

    /** Returns whether operators have retired the target. */
    public boolean isRetired(String target) {
        TargetPolicy policy = targets.get(target);
        return policy != null && policy.retired();
    }

    /** Returns the version of the last change of an object, 0 if it doesn't exist. */
    public long versionOf(ObjectKey key) {
        return switch (key.kind()) {
            case ORGANISATION -> {
                Organisation found = organisations.get(key.name());
                yield found == null ? 0 : found.version();
            }
            case MODEL -> {
                Model found = models.get(key.name());
                yield found == null ? 0 : found.version();
            }
            case TARGET -> {
                TargetPolicy found = targets.get(key.name());
                yield found == null ? 0 : found.version();
            }
        };
    }

    /** Returns this configuration with an organisation added or replaced, one version later. */
    public Configuration with(Organisation value) {
        Organisation updated =
                new Organisation(
                        value.name(),
                        List.copyOf(value.tokenHashes()),
                        value.maxConcurrent(),
                        version + 1);
        return new Configuration(
                version + 1, put(organisations, value.name(), updated), models, targets);
    }

    /** Returns this configuration with a model added or replaced, one version later. */
    public Configuration with(Model value) {
        Model updated =
                new Model(
                        value.name(),
                        value.service(),
                        value.weights(),
                        value.previousWeights(),
                        version + 1);
        return new Configuration(
                version + 1, organisations, put(models, value.name(), updated), targets);
    }

    /** Returns this configuration with a target's policy added or replaced, one version later. */
    public Configuration with(TargetPolicy value) {
        TargetPolicy updated = new TargetPolicy(value.id(), value.retired(), version + 1);
        return new Configuration(
                version + 1, organisations, models, put(targets, value.id(), updated));
    }

    /**
     * Returns what has changed since an earlier version: only the objects changed later.
     *
     * @param base a version that the receiver of the delta has reached or passed
     */
    public Delta since(long base) {
        return new Delta(
                base,
                new Configuration(
                        version,
                        changed(organisations, Organisation::version, base),
                        changed(models, Model::version, base),
                        changed(targets, TargetPolicy::version, base)));
    }

    /**
     * Returns this configuration with a delta applied. Objects are never removed, so the changed
     * objects suffice.
     *
     * @return the newer configuration, or this one if the delta is old or starts after this version
     */
    public Configuration with(Delta delta) {
        if (delta.changed().version() <= version || delta.base() > version) {
            return this;
        }
        return new Configuration(
                delta.changed().version(),
                merged(organisations, delta.changed().organisations()),
                merged(models, delta.changed().models()),
                merged(targets, delta.changed().targets()));
    }

    /** Returns the names of the models that a service's engines run. */
    public List<String> modelsOf(String service) {
        List<String> names = new ArrayList<>();
        for (Model model : models.values()) {
            if (model.service().equals(service)) {
                names.add(model.name());
            }
        }
        return names;
    }

    private static <V> SortedMap<String, V> changed(
            SortedMap<String, V> all, ToLongFunction<V> versionOf, long base) {
        SortedMap<String, V> changed = new TreeMap<>();
        all.forEach(
                (name, value) -> {
                    if (versionOf.applyAsLong(value) > base) {
                        changed.put(name, value);
                    }
                });
        return changed;
    }

    private static <V> SortedMap<String, V> merged(
            SortedMap<String, V> all, SortedMap<String, V> changed) {
        SortedMap<String, V> merged = new TreeMap<>(all);
        merged.putAll(changed);
        return merged;
    }

    private static <V> SortedMap<String, V> put(Map<String, V> map, String key, V value) {
        SortedMap<String, V> copy = new TreeMap<>(map);
        copy.put(key, value);
        return copy;
    }

    /**
     * The changes between two versions.
     *
     * @param base the earlier version
     * @param changed the later version, with only the objects that changed since {@code base}
     */
    public record Delta(long base, Configuration changed) {}

    /**
     * Identifies an object of the configuration.
     *
     * @param kind the kind of object, each of which has its own map
     * @param name the object's key in that map
     */
    public record ObjectKey(Kind kind, String name) {
        /** The kinds of objects. */
        public enum Kind {
            ORGANISATION,
            MODEL,
            TARGET
        }
    }
}
