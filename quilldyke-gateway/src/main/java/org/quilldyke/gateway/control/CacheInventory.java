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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.quilldyke.engine.Incarnation;
import org.quilldyke.engine.LatestIncarnations;
import org.quilldyke.gateway.instance.proto.CacheNews;

/**
 * The cached blocks of all engines and KV stores, as far as this control process knows them.
 *
 * <p>Provides the full contents for entries that have just connected, and filters updates so that
 * only changes are forwarded. When an engine restarts, the contents of its earlier incarnation are
 * discarded.
 */
final class CacheInventory {
    /** Engines hold fewer blocks; beyond the limit the oldest are evicted. */
    private static final int MAX_BLOCKS_PER_HOLDER = 8192;

    private final LatestIncarnations mLatestIncarnations = LatestIncarnations.create();
    private final Map<String, CachedBlocks> mHolders = new HashMap<>();

    /** Applies an update and returns the changes that it makes, if any. */
    Optional<CacheNews> apply(CacheNews update) {
        if (!observeHolder(update.getHolder())) {
            return Optional.empty();
        }
        CachedBlocks holder =
                mHolders.computeIfAbsent(update.getHolder(), id -> new CachedBlocks());
        CacheNews.Builder out =
                CacheNews.newBuilder()
                        .setHolder(update.getHolder())
                        .setUp(update.getUp())
                        .setRestarted(update.getRestarted());
        boolean changed = holder.mUp != update.getUp() || update.getRestarted();
        holder.mUp = update.getUp();
        if (update.getRestarted()) {
            holder.mBlockKeys.clear();
        }
        if (update.getWhole()) {
            Set<Long> removed = new LinkedHashSet<>(holder.mBlockKeys);
            update.getAddedList().forEach(removed::remove);
            holder.mBlockKeys.removeAll(removed);
            out.addAllRemoved(removed);
        }
        update.getRemovedList().stream().filter(holder.mBlockKeys::remove).forEach(out::addRemoved);
        update.getAddedList().stream().filter(holder.mBlockKeys::add).forEach(out::addAdded);
        holder.trim();
        boolean hasEffect = changed || out.getAddedCount() + out.getRemovedCount() > 0;
        return hasEffect ? Optional.of(out.build()) : Optional.empty();
    }

    /**
     * Records that a holder exists, and removes its earlier incarnations.
     *
     * @return whether it is the latest incarnation of its id
     */
    boolean observeHolder(String key) {
        Incarnation incarnation = Incarnation.ofKey(key);
        mLatestIncarnations.observe(incarnation).map(Incarnation::key).ifPresent(mHolders::remove);
        return !mLatestIncarnations.isSuperseded(incarnation);
    }

    /** Removes a holder that no longer exists, and its earlier incarnations. */
    void remove(String key) {
        observeHolder(key);
        mHolders.remove(key);
    }

    /** Returns the full contents, with one update for each holder. */
    List<CacheNews> snapshot() {
        List<CacheNews> updates = new ArrayList<>();
        mHolders.forEach(
                (id, holder) ->
                        updates.add(
                                CacheNews.newBuilder()
                                        .setHolder(id)
                                        .setUp(holder.mUp)
                                        .setWhole(true)
                                        .addAllAdded(holder.mBlockKeys)
                                        .build()));
        return updates;
    }

    private static final class CachedBlocks {
        final Set<Long> mBlockKeys = new LinkedHashSet<>();
        boolean mUp = true;

        void trim() {
            while (mBlockKeys.size() > MAX_BLOCKS_PER_HOLDER) {
                mBlockKeys.remove(mBlockKeys.iterator().next());
            }
        }
    }
}
