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
package org.quilldyke.engine;

import java.util.Map;

/**
 * A target's report of its own state.
 *
 * @param key the key of the target's incarnation, see {@link Incarnation#key()}
 * @param service the service that it belongs to
 * @param address the IP address and port at which it accepts requests
 * @param failureDomain its failure domain
 * @param softwareVersion the version of its software
 * @param slots the number of requests that it runs concurrently
 * @param leaving whether it accepts no new requests because it is about to shut down
 * @param coldRemainingMillis the remaining time of reduced speed after a cold start
 * @param weights the weight version of each model that it has loaded
 * @param sequence a number that grows with each report of this incarnation
 */
public record TargetReport(
        String key,
        String service,
        String address,
        String failureDomain,
        String softwareVersion,
        int slots,
        boolean leaving,
        long coldRemainingMillis,
        Map<String, Long> weights,
        long sequence) {
    /** The sequence of a restored report, lower than that of any report of the target itself. */
    private static final long RESTORED_SEQUENCE = -1;

    /** Copies the weights. */
    public TargetReport {
        weights = Map.copyOf(weights);
    }

    /** Returns the incarnation that reports. */
    public Incarnation incarnation() {
        return Incarnation.ofKey(key);
    }

    /**
     * Returns whether another report is equal except for the failure domain, the remaining cold
     * time and the sequence.
     */
    public boolean isEquivalentTo(TargetReport other) {
        return key.equals(other.key)
                && service.equals(other.service)
                && address.equals(other.address)
                && softwareVersion.equals(other.softwareVersion)
                && slots == other.slots
                && leaving == other.leaving
                && weights.equals(other.weights);
    }

    /** Returns the report with other weights. */
    public TargetReport withWeights(Map<String, Long> other) {
        return with(leaving, other, sequence);
    }

    /** Returns the report with the target marked as leaving. */
    public TargetReport asLeaving() {
        return with(true, weights, sequence);
    }

    /**
     * Returns whether this replaces another report of the same target. Of two with the same
     * sequence, the one of a leaving target wins.
     */
    boolean supersedes(TargetReport other) {
        return sequence > other.sequence || sequence == other.sequence && leaving && !other.leaving;
    }

    /** Returns the report as one that a process restores after its restart. */
    public TargetReport asRestored() {
        return with(leaving, weights, RESTORED_SEQUENCE);
    }

    /**
     * Returns whether the report was restored after a restart, and the target has not reported to
     * the restarted process since.
     */
    public boolean isRestored() {
        return sequence == RESTORED_SEQUENCE;
    }

    private TargetReport with(
            boolean isLeaving, Map<String, Long> otherWeights, long otherSequence) {
        return new TargetReport(
                key,
                service,
                address,
                failureDomain,
                softwareVersion,
                slots,
                isLeaving,
                coldRemainingMillis,
                otherWeights,
                otherSequence);
    }
}
