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

/**
 * By how much an organisation may exceed its quota in any window, and how much of that is used.
 *
 * <p>In no window may an organisation send more than {@code (perSecond * window + burst) * (1 +
 * overrun) + slack} units.
 *
 * @param windowMillis the length of the window
 * @param overrun the permitted excess as a fraction of the quota
 * @param slack the permitted excess besides, in units
 */
public record QuotaTolerance(long windowMillis, double overrun, double slack) {
    /** The rest of the slack covers requests that are sent some time after they were admitted. */
    private static final double SLACK_FRACTION = 0.6;

    private static final double MILLIS_PER_SECOND = 1000;

    /**
     * Returns how many units may be available at once, granted ones included. Together with what
     * the rate adds in a window, and with the units of a former leader that are valid for the
     * duration of a lease, this stays within the bound.
     */
    public double capacity(Quota quota) {
        double excess = overrun * (quota.perSecond() * seconds(windowMillis) + quota.burst());
        double formerLeader = quota.perSecond() * seconds(QuotaLedger.LEASE_MILLIS);
        return Math.max(0, quota.burst() + excess + SLACK_FRACTION * slack - formerLeader);
    }

    /** Returns the maximum number of units that may be sent in any window. */
    public double bound(Quota quota) {
        return (quota.perSecond() * seconds(windowMillis) + quota.burst()) * (1 + overrun) + slack;
    }

    private static double seconds(long millis) {
        return millis / MILLIS_PER_SECOND;
    }
}
