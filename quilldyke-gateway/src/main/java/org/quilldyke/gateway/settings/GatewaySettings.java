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
import java.util.Map;
import org.quilldyke.quota.QuotaTolerance;
import org.quilldyke.rollout.RolloutTolerance;

/**
 * The settings of one gateway process, as JSON.
 *
 * @param instance the name of the machine
 * @param role the role of the process
 * @param failureDomain the failure domain of the machine
 * @param callers address for callers' requests, empty if it accepts none
 * @param ready address for readiness probes, empty if there are none
 * @param control address for operators' calls and targets' reports, empty if it accepts none
 * @param ip the IP address of the machine
 * @param firstPort the first port for connections between instances; a control process accepts them
 *     there, an entry at the port after it
 * @param seeds control addresses of some control processes; the same for all at the first start
 * @param firstStart whether the whole system starts for the first time, with empty disks
 * @param dataFolder the folder for the files of a control process; empty for one without a disk,
 *     which redirects calls to the seeds
 * @param toleratedLosses the number of disks that may be lost at the same time
 * @param timings time limits and retry bounds
 * @param quotaTolerance by how much organisations may exceed their quotas
 * @param rollout what rollouts of software versions may risk
 * @param regions the region of each failure domain
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
        QuotaTolerance quotaTolerance,
        RolloutTolerance rollout,
        Map<String, String> regions) {
    /** Copies the regions. */
    public GatewaySettings {
        regions = Map.copyOf(regions);
    }

    /** The role of a process. */
    public enum Role {
        /** Accepts callers' requests and forwards them. */
        ENTRY("entry"),
        /** Replicates the shared state; accepts operators' calls and targets' reports. */
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
     * Time limits in milliseconds, and bounds on retries.
     *
     * @param targetReport the interval of targets' reports
     * @param apply the time within which an accepted manifest must be in force everywhere
     * @param revoke the time within which a revoked key must be refused everywhere
     * @param grace the time within which a process must shut down
     * @param orderLease how long a new leader waits before it sends orders to engines
     * @param convergence the time within which all requests must run on newly named weights
     * @param retryWindow the window in which retries are counted
     * @param retryRatio permitted retries per request in a window
     * @param retryFixed further permitted retries in a window, of all instances together
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

    /** Returns the address at which a machine accepts connections of other instances. */
    public String internalAddress(String ipAddress) {
        return ipAddress + ":" + firstPort;
    }

    /** Returns the address at which an entry accepts requests that it relays for other entries. */
    public String relayAddress() {
        return ip + ":" + (firstPort + 1);
    }

    /** Returns the addresses at which the seeds accept connections of other instances. */
    public List<String> seedAddresses() {
        return seeds.stream()
                .map(seed -> internalAddress(seed.substring(0, seed.lastIndexOf(':'))))
                .toList();
    }
}
