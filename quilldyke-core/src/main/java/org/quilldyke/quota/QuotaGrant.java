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
 * The leader's response to a {@link QuotaPull}.
 *
 * @param number the number of the request
 * @param account the account that the granted units belong to
 * @param items one for each quota that was requested
 */
public record QuotaGrant(long number, long account, List<Item> items) {
    /** Copies the items. */
    public QuotaGrant {
        items = List.copyOf(items);
    }

    /**
     * What was granted of a quota.
     *
     * @param organisation the organisation that the quota limits
     * @param granted all units that were granted to the account so far
     * @param scarce whether control processes shall give back units that they don't use
     * @param retryAfterMillis when the needed units that were not granted are expected
     */
    public record Item(String organisation, long granted, boolean scarce, long retryAfterMillis) {}
}
