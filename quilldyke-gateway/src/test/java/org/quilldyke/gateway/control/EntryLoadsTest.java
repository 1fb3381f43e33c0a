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
package org.quilldyke.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.quilldyke.gateway.instance.proto.Loads;
import org.quilldyke.gateway.instance.proto.TargetLoad;

/**
 * Guards against entries that all choose the same engine since others' loads arrive half a second
 * late.
 */
final class EntryLoadsTest {
    private final EntryLoads mLoads = EntryLoads.create(10_000);

    @Test
    void eachEntryReceivesTheLoadsOfAllOthers() {
        mLoads.onLoad("a", List.of(load("x", 2, 100), load("y", 1, 10)), 0);
        mLoads.onLoad("b", List.of(load("x", 3, 50)), 0);
        mLoads.onPeerLoads(
                "other", Loads.newBuilder().addTargets(load("y", 4, 7)).addEntries("c").build(), 0);

        EntryLoads.Totals totals = mLoads.totals(10);

        assertThat(totals.excluding("a")).containsExactly(load("x", 3, 50), load("y", 4, 7));
        assertThat(totals.excluding("b")).containsExactly(load("x", 2, 100), load("y", 5, 17));
        assertThat(totals.excluding("d")).containsExactly(load("x", 5, 150), load("y", 5, 17));
        assertThat(mLoads.localLoads(10)).containsExactly(load("x", 5, 150), load("y", 1, 10));
        assertThat(mLoads.localEntries(10)).containsExactly("a", "b");
        assertThat(mLoads.entryCount(10)).isEqualTo(3);
    }

    @Test
    void idleEntriesAreReportedToOtherControlProcessesWhileTheyAreConnected() {
        mLoads.onKeepAlive("idle", 0);
        mLoads.onKeepAlive("moved", 0);
        mLoads.removeLocal("moved");

        assertThat(mLoads.localEntries(10)).containsExactly("idle");
        assertThat(mLoads.localEntries(EntryLoads.STALE_MILLIS)).isEmpty();
    }

    @Test
    void entryThatReportsElsewhereIsCountedOnce() {
        mLoads.onLoad("a", List.of(load("x", 2, 100)), 0);
        mLoads.removeLocal("a");
        mLoads.onPeerLoads(
                "other",
                Loads.newBuilder().addTargets(load("x", 2, 100)).addEntries("a").build(),
                0);

        assertThat(mLoads.totals(10).excluding("b")).containsExactly(load("x", 2, 100));
        assertThat(mLoads.entryCount(10)).isEqualTo(1);
    }

    @Test
    void entriesAreRankedByName() {
        mLoads.onLoad("b", List.of(), 0);
        mLoads.onKeepAlive("a", 0);
        assertThat(mLoads.rank("b")).isEqualTo(2);
        mLoads.onPeerLoads("other", Loads.newBuilder().addEntries("aa").build(), 10_000);

        assertThat(mLoads.rank("b")).isEqualTo(3);
        assertThat(mLoads.rank("c")).isEqualTo(0);
        assertThat(mLoads.entryCount(EntryLoads.MIN_ENTRY_EXPIRY_MILLIS + 1)).isEqualTo(1);
        assertThat(mLoads.rank("aa")).isEqualTo(1);
    }

    @Test
    void keepAlivePreventsStaleLoads() {
        mLoads.onLoad("a", List.of(load("x", 2, 100)), 0);
        mLoads.onKeepAlive("a", EntryLoads.STALE_MILLIS);

        assertThat(mLoads.localLoads(EntryLoads.STALE_MILLIS + 1))
                .containsExactly(load("x", 2, 100));
    }

    @Test
    void staleLoadsAreIgnored() {
        mLoads.onLoad("a", List.of(load("x", 2, 100)), 0);
        mLoads.onLoad("b", List.of(load("x", 3, 50)), EntryLoads.STALE_MILLIS);

        EntryLoads.Totals totals = mLoads.totals(EntryLoads.STALE_MILLIS + 1);

        assertThat(totals.excluding("a")).containsExactly(load("x", 3, 50));
        assertThat(totals.excluding("b")).isEmpty();
    }

    private static TargetLoad load(String target, int requests, long tokens) {
        return TargetLoad.newBuilder()
                .setTarget(target)
                .setRequests(requests)
                .setTokens(tokens)
                .build();
    }
}
