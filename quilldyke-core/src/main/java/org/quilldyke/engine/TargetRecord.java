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

/**
 * A target's description of itself, sent when it joins and with each renewal of its lease.
 *
 * @param id the target's name, unique in its cell
 * @param kind engine or plain service
 * @param cell the cell that it belongs to: the group of instances that share its record
 * @param service the service that it belongs to
 * @param address IP address and port of its HTTP server
 * @param failureDomain its failure domain
 * @param incarnation a number that grows with each start of the target's process
 * @param sequence a number that grows with each record of one incarnation
 * @param model the model that it serves, empty for a plain service
 * @param weights the weight version that it has loaded, empty for a plain service
 * @param slots the number of requests that it runs concurrently
 * @param prefillUnitsPerMilli prompt units prefilled in a millisecond, 0 for a plain service
 * @param checksFencing whether it rejects orders to load weights with an outdated fencing number
 * @param leaving whether it accepts no new requests
 */
public record TargetRecord(
        String id,
        Kind kind,
        String cell,
        String service,
        String address,
        String failureDomain,
        long incarnation,
        long sequence,
        String model,
        String weights,
        int slots,
        int prefillUnitsPerMilli,
        boolean checksFencing,
        boolean leaving) {

    /** Types of targets. */
    public enum Kind {
        ENGINE,
        SERVICE
    }

    /** Returns whether this record was made after {@code other} by the same target. */
    public boolean isNewerThan(TargetRecord other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return sequence > other.sequence;
    }

    /** Returns whether the two records are equal except for the sequence. */
    public boolean equalsExceptSequence(TargetRecord other) {
        return withSequence(0).equals(other.withSequence(0));
    }

    /** Returns this record with another sequence. */
    public TargetRecord withSequence(long value) {
        return new TargetRecord(
                id,
                kind,
                cell,
                service,
                address,
                failureDomain,
                incarnation,
                value,
                model,
                weights,
                slots,
                prefillUnitsPerMilli,
                checksFencing,
                leaving);
    }
}
