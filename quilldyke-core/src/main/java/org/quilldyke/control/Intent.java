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

import java.util.List;
import org.quilldyke.control.Configuration.ObjectKey;

/** A change requested by an operator, before it is planned. */
public sealed interface Intent {

    /** Returns the objects that the plan reads and changes. */
    List<ObjectKey> affectedObjects();

    /** Returns why the intent is invalid for {@code configuration}, empty if it is valid. */
    String validationError(Configuration configuration);

    /** Returns the steps of the plan, one line each, for the operator to read before confirming. */
    List<String> steps(Configuration configuration);

    /**
     * Adds an organisation, or replaces its tokens and limit.
     *
     * @param name the organisation
     * @param tokenHashes SHA-256 of each bearer token, in lower-case hex
     * @param maxConcurrent requests it may have open at one instance, 0 for no limit
     */
    record PutOrganisation(String name, List<String> tokenHashes, int maxConcurrent)
            implements Intent {
        private static final String TOKEN_HASH_PATTERN = "[0-9a-f]{64}";

        @Override
        public List<ObjectKey> affectedObjects() {
            return List.of(new ObjectKey(ObjectKey.Kind.ORGANISATION, name));
        }

        @Override
        public String validationError(Configuration configuration) {
            if (name == null || name.isBlank()) {
                return "an organisation needs a name";
            }
            if (tokenHashes == null || tokenHashes.isEmpty()) {
                return "an organisation needs a token hash";
            }
            for (String hash : tokenHashes) {
                if (!hash.matches(TOKEN_HASH_PATTERN)) {
                    return "a token hash is 64 lower-case hex digits";
                }
                Configuration.Organisation owner = configuration.organisationOf(hash);
                if (owner != null && !owner.name().equals(name)) {
                    return "a token hash belongs to " + owner.name();
                }
            }
            return maxConcurrent < 0 ? "maxConcurrent is negative" : "";
        }

        @Override
        public List<String> steps(Configuration configuration) {
            boolean exists = configuration.organisations().containsKey(name);
            return List.of(
                    (exists ? "replace" : "admit")
                            + " organisation "
                            + name
                            + ", open requests at most "
                            + (maxConcurrent == 0 ? "unlimited" : maxConcurrent));
        }
    }

    /**
     * Puts a model into service, or rolls out a new weight version of it.
     *
     * @param name the model
     * @param service the service whose engines run it
     * @param weights the weight version
     */
    record PutModel(String name, String service, String weights) implements Intent {
        @Override
        public List<ObjectKey> affectedObjects() {
            return List.of(new ObjectKey(ObjectKey.Kind.MODEL, name));
        }

        @Override
        public String validationError(Configuration configuration) {
            if (name == null || name.isBlank() || weights == null || weights.isBlank()) {
                return "a model needs a name and a weight version";
            }
            if (service == null || service.isBlank()) {
                return "a model needs a service";
            }
            Configuration.Model existing = configuration.models().get(name);
            if (existing == null) {
                return "";
            }
            if (!existing.service().equals(service)) {
                return "a model can't change its service";
            }
            return existing.previousWeights().isEmpty()
                    ? ""
                    : "a roll-out of the model is in progress";
        }

        @Override
        public List<String> steps(Configuration configuration) {
            Configuration.Model existing = configuration.models().get(name);
            if (existing == null) {
                return List.of("put model " + name + " weights " + weights + " into service");
            }
            return List.of(
                    "accept weights " + weights + " beside " + existing.weights() + " for " + name,
                    "order each engine of " + service + " to load them, two at most at once",
                    "stop accepting " + existing.weights());
        }
    }

    /**
     * Retires a target, or puts it back into use.
     *
     * @param target the target's id
     * @param retired true to retire it
     */
    record SetRetired(String target, boolean retired) implements Intent {
        @Override
        public List<ObjectKey> affectedObjects() {
            return List.of(new ObjectKey(ObjectKey.Kind.TARGET, target));
        }

        @Override
        public String validationError(Configuration configuration) {
            if (target == null || target.isBlank()) {
                return "a target needs a name";
            }
            return configuration.isRetired(target) == retired
                    ? target + (retired ? " is retired already" : " is in use already")
                    : "";
        }

        @Override
        public List<String> steps(Configuration configuration) {
            return List.of(
                    retired
                            ? "send no new work to " + target + "; its open requests finish"
                            : "send work to " + target + " again");
        }
    }
}
