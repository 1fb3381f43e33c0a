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
 * What a target says of itself when it announces itself and each time it renews its lease.
 *
 * @param id the target's name, unique in its cell
 * @param kind engine or plain service
 * @param cell the cell it belongs to
 * @param service the service it belongs to
 * @param address IP number and port of its HTTP server
 * @param failureDomain where it stands
 * @param incarnation a number that grows with each start of the target's process
 * @param sequence a number that grows with each announcement of one incarnation
 * @param model the model it serves, empty for a plain service
 * @param weights the weight version it has loaded, empty for a plain service
 * @param slots requests it runs at once
 * @param prefillUnitsPerMilli prompt units it computes in a millisecond, 0 for a plain service
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param leaving whether it wants no new work
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

    /** What a target is. */
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

    /** Returns whether the two records say the same but for the sequence. */
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
