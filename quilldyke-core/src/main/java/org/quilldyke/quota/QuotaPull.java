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
package org.quilldyke.quota;

import java.util.List;

/**
 * A request of a control process to the leader for units of quotas.
 *
 * @param number increases with each request of the control process
 * @param account the account that the spent units belong to, 0 if there is none
 * @param items one for each quota
 */
public record QuotaPull(long number, long account, List<Item> items) {
    /** Copies the items. */
    public QuotaPull {
        items = List.copyOf(items);
    }

    /**
     * What is requested of a quota.
     *
     * @param organisation the organisation that the quota limits
     * @param spent all units of the account that were spent
     * @param returned all units of the account that were given back
     * @param needed the units that waiting requests lack
     * @param minNeeded the units that the first of these requests to be served lacks
     * @param wanted further units for requests to come
     */
    public record Item(
            String organisation,
            long spent,
            long returned,
            long needed,
            long minNeeded,
            long wanted) {}
}
