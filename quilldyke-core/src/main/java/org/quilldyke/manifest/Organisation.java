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

import java.util.OptionalInt;
import java.util.Set;

/**
 * Who sends requests.
 *
 * @param name names the organisation
 * @param keys the keys that its callers show
 * @param priority the rank of its requests, which goes before that of their route
 * @param isolated whether it shares no cached prompt with any other organisation
 */
public record Organisation(String name, Set<String> keys, OptionalInt priority, boolean isolated) {
    /** Copies the keys. */
    public Organisation {
        keys = Set.copyOf(keys);
    }
}
