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

/** What others have open was known half a second late, so that all chose the same engine. */
final class EntryLoadsTest {
    private final EntryLoads mLoads = new EntryLoads();

    @Test
    void eachEntryHearsOfAllOthersOnly() {
        mLoads.onLoad("a", List.of(load("x", 2, 100), load("y", 1, 10)), 0);
        mLoads.onLoad("b", List.of(load("x", 3, 50)), 0);
        mLoads.onOthers(
                "other", Loads.newBuilder().addTargets(load("y", 4, 7)).addEntries("c").build(), 0);

        EntryLoads.Totals totals = mLoads.totals(10);

        assertThat(totals.allBut("a")).containsExactly(load("x", 3, 50), load("y", 4, 7));
        assertThat(totals.allBut("b")).containsExactly(load("x", 2, 100), load("y", 5, 17));
        assertThat(totals.allBut("d")).containsExactly(load("x", 5, 150), load("y", 5, 17));
        assertThat(mLoads.here(10)).containsExactly(load("x", 5, 150), load("y", 1, 10));
        assertThat(mLoads.entriesHere(10)).containsExactly("a", "b");
        assertThat(mLoads.entries(10)).isEqualTo(3);
    }

    @Test
    void entryThatTellsElsewhereCountsOnceOnly() {
        mLoads.onLoad("a", List.of(load("x", 2, 100)), 0);
        mLoads.onLeft("a");
        mLoads.onOthers(
                "other",
                Loads.newBuilder().addTargets(load("x", 2, 100)).addEntries("a").build(),
                0);

        assertThat(mLoads.totals(10).allBut("b")).containsExactly(load("x", 2, 100));
        assertThat(mLoads.entries(10)).isEqualTo(1);
    }

    @Test
    void entriesHavePlacesByTheirNames() {
        mLoads.onLoad("b", List.of(), 0);
        mLoads.onAlive("a", 0);
        assertThat(mLoads.place("b")).isEqualTo(2);
        mLoads.onOthers("other", Loads.newBuilder().addEntries("aa").build(), 10_000);

        assertThat(mLoads.place("b")).isEqualTo(3);
        assertThat(mLoads.place("c")).isEqualTo(0);
        assertThat(mLoads.entries(EntryLoads.FORGOTTEN_MILLIS + 1)).isEqualTo(1);
        assertThat(mLoads.place("aa")).isEqualTo(1);
    }

    @Test
    void loadThatIsConfirmedDoesNotGoStale() {
        mLoads.onLoad("a", List.of(load("x", 2, 100)), 0);
        mLoads.onAlive("a", EntryLoads.STALE_MILLIS);

        assertThat(mLoads.here(EntryLoads.STALE_MILLIS + 1)).containsExactly(load("x", 2, 100));
    }

    @Test
    void loadsThatWereToldLongAgoDoNotCount() {
        mLoads.onLoad("a", List.of(load("x", 2, 100)), 0);
        mLoads.onLoad("b", List.of(load("x", 3, 50)), EntryLoads.STALE_MILLIS);

        EntryLoads.Totals totals = mLoads.totals(EntryLoads.STALE_MILLIS + 1);

        assertThat(totals.allBut("a")).containsExactly(load("x", 3, 50));
        assertThat(totals.allBut("b")).isEmpty();
    }

    private static TargetLoad load(String target, int requests, long tokens) {
        return TargetLoad.newBuilder()
                .setTarget(target)
                .setRequests(requests)
                .setTokens(tokens)
                .build();
    }
}
