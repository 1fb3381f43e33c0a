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
package org.quilldyke.manifest;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.quilldyke.quota.Quota;

/**
 * A sender of requests.
 *
 * @param name the organisation's unique name
 * @param keys the API keys of its callers
 * @param priority the priority of its requests, which overrides that of their route
 * @param isolated whether it shares no cached prompts with other organisations
 * @param quota the limit on what it may send; empty if there is none
 */
public record Organisation(
        String name,
        Set<String> keys,
        OptionalInt priority,
        boolean isolated,
        Optional<Quota> quota) {
    /** Copies the keys. */
    public Organisation {
        keys = Set.copyOf(keys);
    }
}
