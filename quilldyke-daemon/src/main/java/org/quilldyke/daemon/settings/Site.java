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
package org.quilldyke.daemon.settings;

import java.util.ArrayList;
import java.util.List;
import org.quilldyke.routing.CostProfile;

/**
 * The settings of a site, one file for all of its instances; docs/SETTINGS.md explains each key.
 *
 * @param cell the cell's name
 * @param weights what the site cares about most
 * @param operatorTokenHash SHA-256 of the operators' bearer token, in lower-case hex
 * @param instances all instances of the cell
 * @param limits sizes and numbers that bound what an instance holds
 * @param timings how patient the instances are, in milliseconds
 */
public record Site(
        String cell,
        CostProfile weights,
        String operatorTokenHash,
        List<Instance> instances,
        Limits limits,
        Timings timings) {

    /**
     * One instance.
     *
     * @param id its name
     * @param failureDomain where it stands
     * @param traffic where callers, targets and operators reach it, {@code IP:port}
     * @param platform where health and metrics are served, {@code IP:port}
     * @param internal where other instances reach it, {@code IP:port}
     * @param roles what it does
     * @param dataFolder where a replica keeps its files; empty for an instance without a disk
     */
    public record Instance(
            String id,
            String failureDomain,
            String traffic,
            String platform,
            String internal,
            List<Role> roles,
            String dataFolder) {
        /** Returns whether it holds a replica of the control state. */
        public boolean control() {
            return roles.contains(Role.CONTROL);
        }

        /** Returns whether it serves callers. */
        public boolean entry() {
            return roles.contains(Role.ENTRY);
        }
    }

    /** What an instance does. */
    public enum Role {
        /** Serves callers. */
        ENTRY,
        /** Holds a replica of the control state. */
        CONTROL
    }

    /**
     * Bounds.
     *
     * @param bodyBytes the largest body of a request
     * @param answerBytes the largest answer that is collected or stored
     * @param openRequests requests that an instance has open at once
     * @param trafficThreads threads that serve traffic
     * @param retryShare retries for each request in the long run
     * @param attempts attempts for one request at most
     */
    public record Limits(
            int bodyBytes,
            int answerBytes,
            int openRequests,
            int trafficThreads,
            double retryShare,
            int attempts) {}

    /**
     * Times, in milliseconds.
     *
     * @param targetLease after how long without a renewal a target is dropped
     * @param exchange how often instances exchange what they know
     * @param suspicion silence after which an instance is suspected
     * @param leaderLease age from which a sign of the control leader no longer counts
     * @param firstToken longest wait for the first token
     * @param stall longest wait between tokens
     * @param resumeGrace how long a stream may be resumed after its caller has gone
     * @param readyGrace how long requests are still taken after readiness went off at shutdown
     * @param drain longest wait for open requests at shutdown
     * @param loadPoll how often an engine's load is asked for
     * @param claimRun how long a request that may not be repeated can run
     * @param claimKeep how long its answer is kept
     */
    public record Timings(
            int targetLease,
            int exchange,
            int suspicion,
            int leaderLease,
            int firstToken,
            int stall,
            int resumeGrace,
            int readyGrace,
            int drain,
            int loadPoll,
            int claimRun,
            int claimKeep) {}

    /** Returns the instance with the given id, or null. */
    public Instance instance(String id) {
        for (Instance instance : instances) {
            if (instance.id().equals(id)) {
                return instance;
            }
        }
        return null;
    }

    /** Returns the instances that hold a replica. */
    public List<Instance> replicas() {
        List<Instance> replicas = new ArrayList<>();
        for (Instance instance : instances) {
            if (instance.control()) {
                replicas.add(instance);
            }
        }
        return replicas;
    }

    /** Returns the other instances than the one with the given id. */
    public List<Instance> others(String id) {
        List<Instance> others = new ArrayList<>(instances);
        others.removeIf(instance -> instance.id().equals(id));
        return others;
    }
}
