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
package org.quilldyke.gateway.settings;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.List;
import org.quilldyke.quota.QuotaTolerance;

/**
 * The settings of one gateway process, as JSON.
 *
 * @param instance names the process's machine
 * @param role what the process does
 * @param failureDomain where it stands
 * @param callers where it takes callers' requests, empty if it takes none
 * @param ready where it tells whether it takes requests, empty if nobody asks
 * @param control where it takes operators' calls and targets' reports, empty if it takes none
 * @param ip the address that it shares with no other machine
 * @param firstPort the first port that instances use among themselves; a control process listens
 *     there for the others
 * @param seeds where some control processes take calls; all know the same at the first start
 * @param firstStart whether the whole system starts for the first time, with empty disks
 * @param dataFolder where a control process keeps its files; empty for one without a disk, which
 *     sends its callers on to the seeds
 * @param toleratedLosses how many disks may be lost at once
 * @param timings times and bounds
 * @param quotaTolerance by how much organisations may exceed their quotas
 */
public record GatewaySettings(
        String instance,
        Role role,
        String failureDomain,
        String callers,
        String ready,
        String control,
        String ip,
        int firstPort,
        List<String> seeds,
        boolean firstStart,
        String dataFolder,
        int toleratedLosses,
        Timings timings,
        QuotaTolerance quotaTolerance) {

    /** What a process does. */
    public enum Role {
        /** Takes callers' requests and forwards them. */
        ENTRY("entry"),
        /** Holds the shared state; takes operators' calls and targets' reports. */
        CONTROL("control");

        private final String mKey;

        Role(String key) {
            mKey = key;
        }

        /** Returns the role's name in the settings. */
        @JsonValue
        public String key() {
            return mKey;
        }
    }

    /**
     * Times in milliseconds and bounds.
     *
     * @param targetReport how often targets report themselves
     * @param apply within what time an accepted manifest must be in force everywhere
     * @param revoke within what time a key that was taken away must be refused everywhere
     * @param grace how long a process has to shut down
     * @param orderLease for how long a new holder of the right to order must wait for the last one
     * @param convergence within what time after their naming all requests run on new weights
     * @param retryWindow the window in which second attempts are counted
     * @param retryRatio second attempts for each request in a window
     * @param retryFixed second attempts in a window besides, for all instances together
     */
    public record Timings(
            long targetReport,
            long apply,
            long revoke,
            long grace,
            long orderLease,
            long convergence,
            long retryWindow,
            double retryRatio,
            double retryFixed) {}

    /** Returns where control processes listen for each other and for entries, at a machine. */
    public String internalAddress(String ipAddress) {
        return ipAddress + ":" + firstPort;
    }

    /** Returns where the seeds listen for other instances. */
    public List<String> seedAddresses() {
        return seeds.stream()
                .map(seed -> internalAddress(seed.substring(0, seed.lastIndexOf(':'))))
                .toList();
    }
}
