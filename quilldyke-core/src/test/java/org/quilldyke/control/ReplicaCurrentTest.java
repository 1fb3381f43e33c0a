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

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * A follower must not count as current before its leader has committed an entry of its own term.
 * After a failure of all processes, an instance with nine committed changes in its log was ready
 * when it had applied the first, since its new leader didn't know yet that the others were
 * committed.
 */
class ReplicaCurrentTest {
    @Test
    void newLeadersFirstHeartbeatDoesNotMakeAFollowerCurrent() throws Exception {
        LogEntry oldEntry = LogEntry.noOp(1);
        DurableState disk =
                new DurableState(
                        new Ballot(1, "b", true),
                        0,
                        0,
                        new byte[0],
                        Membership.empty(),
                        List.of(oldEntry, oldEntry, oldEntry));
        Replica replica =
                Replica.restore(
                        ReplicaSettings.of("a", List.of("b", "c")),
                        disk,
                        new SplittableRandom(1),
                        0,
                        0);
        assertThat(replica.isCurrent()).isFalse();

        replica.receive("b", new PeerMessage.AppendRequest(2, 3, 1, List.of(), 0, 4, 0), 1);
        assertThat(replica.isCurrent()).isFalse();

        List<LogEntry> noOp = List.of(LogEntry.noOp(2));
        replica.receive("b", new PeerMessage.AppendRequest(2, 3, 1, noOp, 1, 4, 2), 3);
        assertThat(replica.isCurrent()).isFalse();

        replica.receive("b", new PeerMessage.AppendRequest(2, 4, 2, List.of(), 4, 4, 4), 5);
        assertThat(replica.isCurrent()).isTrue();
    }
}
