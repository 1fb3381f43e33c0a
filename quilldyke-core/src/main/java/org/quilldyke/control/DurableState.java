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
package org.quilldyke.control;

import java.util.List;

/**
 * The state that a replica loads from its disk when it starts.
 *
 * @param ballot its ballot, {@link Ballot#empty} if the disk is empty
 * @param snapshotIndex the last entry that the stored snapshot covers, 0 for no snapshot
 * @param snapshotTerm that entry's term
 * @param snapshot the encoded state, empty for no snapshot
 * @param snapshotMembership the membership as of the snapshot; empty if there is none
 * @param entries the entries after the snapshot
 */
public record DurableState(
        Ballot ballot,
        long snapshotIndex,
        long snapshotTerm,
        byte[] snapshot,
        Membership snapshotMembership,
        List<LogEntry> entries) {
    /** Returns the state of an empty disk. */
    public static DurableState empty() {
        return new DurableState(Ballot.empty(), 0, 0, new byte[0], Membership.empty(), List.of());
    }
}
