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
package org.quilldyke.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The rates of bad answers of the old version. */
final class BaseRates {
    /** Without any answer, a rate of 0.05 is assumed; 10 answers weigh as much as this. */
    private static final double PRIOR_BAD = 0.5;

    private static final double PRIOR_ANSWERS = 10;

    private BaseRates() {}

    /** Returns the smoothed rates by route, of all routes that occur in the rows. */
    static Map<String, Double> of(List<VersionEvidence> rows) {
        Map<String, double[]> counts = new HashMap<>();
        for (VersionEvidence row : rows) {
            double[] sum = counts.computeIfAbsent(row.route(), route -> new double[2]);
            if (!row.canary()) {
                sum[0] += row.bad();
                sum[1] += row.answers();
            }
        }
        Map<String, Double> rates = new HashMap<>();
        counts.forEach(
                (route, sum) -> rates.put(route, (sum[0] + PRIOR_BAD) / (sum[1] + PRIOR_ANSWERS)));
        return rates;
    }
}
