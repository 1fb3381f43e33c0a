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
import org.quilldyke.gateway.instance.proto.CacheNews;

/** Guards against entries that know no cache contents after a start until these change. */
class CacheInventoryTest {
    private final CacheInventory mInventory = new CacheInventory();

    @Test
    void snapshotHoldsAddedBlocksThatWereNotRemoved() {
        mInventory.apply(update().addAdded(1).addAdded(2).build());
        mInventory.apply(update().addRemoved(1).addAdded(3).build());

        CacheNews snapshot = mInventory.snapshot().get(0);
        assertThat(snapshot.getWhole()).isTrue();
        assertThat(snapshot.getAddedList()).containsExactly(2L, 3L);
    }

    @Test
    void onlyChangesAreForwarded() {
        mInventory.apply(update().addAdded(1).addAdded(2).build());

        assertThat(mInventory.apply(update().addAdded(1).addRemoved(9).build())).isEmpty();
        CacheNews changes = mInventory.apply(update().addAdded(1).addAdded(3).build()).get();
        assertThat(changes.getAddedList()).containsExactly(3L);
    }

    @Test
    void completeUpdateRemovesUnlistedBlocks() {
        mInventory.apply(update().addAdded(1).addAdded(2).build());

        CacheNews changes = mInventory.apply(update().setWhole(true).addAdded(2).build()).get();

        assertThat(changes.getRemovedList()).containsExactly(1L);
        assertThat(changes.getAddedList()).isEmpty();
    }

    @Test
    void restartAndAvailabilityAreForwardedWithoutBlocks() {
        mInventory.apply(update().addAdded(1).build());

        assertThat(mInventory.apply(update().setUp(false).build()).get().getUp()).isFalse();
        assertThat(mInventory.apply(update().setRestarted(true).build()).get().getRestarted())
                .isTrue();
        assertThat(mInventory.snapshot().get(0).getAddedList()).isEqualTo(List.of());
    }

    @Test
    void laterIncarnationReplacesTheEarlierOne() {
        mInventory.apply(update("i-1#5").addAdded(1).addAdded(2).build());

        mInventory.apply(update("i-1#7").addAdded(3).build());

        assertThat(mInventory.snapshot()).hasSize(1);
        assertThat(mInventory.snapshot().get(0).getHolder()).isEqualTo("i-1#7");
        assertThat(mInventory.snapshot().get(0).getAddedList()).containsExactly(3L);
    }

    @Test
    void lateUpdateOfAnEarlierIncarnationIsIgnored() {
        mInventory.apply(update("i-1#5").addAdded(1).build());
        assertThat(mInventory.observeHolder("i-1#7")).isTrue();
        assertThat(mInventory.snapshot()).isEmpty();

        assertThat(mInventory.apply(update("i-1#5").addAdded(2).build())).isEmpty();
        assertThat(mInventory.observeHolder("i-1#5")).isFalse();
        assertThat(mInventory.snapshot()).isEmpty();
    }

    @Test
    void removalOfALaterIncarnationRemovesTheEarlierOne() {
        mInventory.apply(update("i-1#5").addAdded(1).build());

        mInventory.remove("i-1#7");

        assertThat(mInventory.snapshot()).isEmpty();
    }

    private static CacheNews.Builder update(String holder) {
        return CacheNews.newBuilder().setHolder(holder).setUp(true);
    }

    private static CacheNews.Builder update() {
        return update("i-1");
    }
}
