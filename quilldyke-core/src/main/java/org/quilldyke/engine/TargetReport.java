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
 * What a target says of itself.
 *
 * @param id names this start of the target: {@link Incarnation#key()}
 * @param service the service that it belongs to
 * @param address where it takes requests
 * @param failureDomain where it stands
 * @param softwareVersion the version of its program
 * @param slots how many requests it runs at once
 * @param leaving whether it takes no new requests since it is about to end
 * @param coldRemainingMillis for how long it is still slow after its start
 * @param weights the version of each model's weights that it holds
 * @param sequence grows with each report of this target
 */
public record TargetReport(
        String id,
        String service,
        String address,
        String failureDomain,
        String softwareVersion,
        int slots,
        boolean leaving,
        long coldRemainingMillis,
        Map<String, Long> weights,
        long sequence) {
    /** The sequence of what is only remembered of a target: anything it says itself is newer. */
    private static final long RESTORED_SEQUENCE = -1;

    /** Copies the weights. */
    public TargetReport {
        weights = Map.copyOf(weights);
    }

    /** Returns which start of which target reports. */
    public Incarnation incarnation() {
        return Incarnation.ofKey(id);
    }

    /** Returns whether another report tells the same, but for when it was made. */
    public boolean isEquivalentTo(TargetReport other) {
        return id.equals(other.id)
                && service.equals(other.service)
                && address.equals(other.address)
                && slots == other.slots
                && leaving == other.leaving
                && weights.equals(other.weights);
    }

    /** Returns the report with other weights. */
    public TargetReport withWeights(Map<String, Long> other) {
        return with(leaving, other, sequence);
    }

    /** Returns the report as if the target had said that it leaves. */
    public TargetReport asLeaving() {
        return with(true, weights, sequence);
    }

    /**
     * Returns whether this takes the place of another report of the same target. Of two that were
     * made together the one that takes requests away counts.
     */
    boolean supersedes(TargetReport other) {
        return sequence > other.sequence || sequence == other.sequence && leaving && !other.leaving;
    }

    /** Returns the report as one that a process remembers from before its restart. */
    public TargetReport asRestored() {
        return with(leaving, weights, RESTORED_SEQUENCE);
    }

    /** Returns whether the target hasn't been heard since the process that tells this began. */
    public boolean isRestored() {
        return sequence == RESTORED_SEQUENCE;
    }

    private TargetReport with(
            boolean isLeaving, Map<String, Long> otherWeights, long otherSequence) {
        return new TargetReport(
                id,
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
