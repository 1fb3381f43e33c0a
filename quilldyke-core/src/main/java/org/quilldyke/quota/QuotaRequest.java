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

import java.util.Comparator;
import java.util.function.Consumer;

/**
 * A request that waits for units of its organisation's quota.
 *
 * @param organisation the organisation
 * @param cost the units that it needs
 * @param priority 0 is the highest
 * @param onVerdict receives the decision, at once or later
 */
public record QuotaRequest(
        String organisation, long cost, int priority, Consumer<QuotaVerdict> onVerdict) {
    /**
     * Order in which scarce units are spent: by priority, and of equal priority the cheapest first,
     * so that as many callers as possible are served.
     */
    static final Comparator<QuotaRequest> SERVING_ORDER =
            Comparator.comparingInt(QuotaRequest::priority).thenComparingLong(QuotaRequest::cost);
}
