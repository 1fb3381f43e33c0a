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
package org.quilldyke.routing;

import it.unimi.dsi.fastutil.longs.Long2ByteOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.Map;
import org.quilldyke.engine.BlockChain;
import org.quilldyke.engine.CacheEvent;

/**
 * Which target holds which blocks, as far as this instance knows.
 *
 * <p>Blocks are added as expected when a request is dispatched and become confirmed by the engine's
 * events; those that an engine reports as not cached become expected again. All entries of a target
 * belong to one incarnation and are removed when another one appears. A gap in the event sequence
 * marks the target as in need of a resync; until then its entries stay in use, since a wrong
 * prediction only costs time.
 */
public final class PrefixIndex {
    private static final byte EXPECTED = 1;
    private static final byte CONFIRMED = 2;

    private final Map<String, Holder> mHolders = new Object2ObjectOpenHashMap<>();

    private PrefixIndex() {}

    /** Returns an empty index. */
    public static PrefixIndex create() {
        return new PrefixIndex();
    }

    /**
     * Records that {@code target} runs as {@code incarnation}; removes the blocks of an earlier
     * one.
     */
    public void onIncarnation(String target, long incarnation) {
        Holder holder = mHolders.get(target);
        if (holder == null || holder.mIncarnation < incarnation) {
            mHolders.put(target, new Holder(incarnation));
        }
    }

    /** Removes all entries of a target whose lease has expired. */
    public void onTargetExpired(String target) {
        mHolders.remove(target);
    }

    /** Adds the blocks of a request that was just sent to {@code target}. */
    public void onDispatch(String target, long incarnation, BlockChain chain) {
        Holder holder = currentHolder(target, incarnation);
        if (holder == null) {
            return;
        }
        for (int i = 0; i < chain.blocks(); i++) {
            holder.mBlocks.putIfAbsent(chain.key(i), EXPECTED);
        }
    }

    /**
     * Applies an event of the target's cache. Duplicates and events of other incarnations are
     * ignored.
     *
     * @return whether the sequence has a gap before this event, so that a resync is needed
     */
    public boolean onEvent(String target, long incarnation, CacheEvent event) {
        Holder holder = currentHolder(target, incarnation);
        if (holder == null || event.sequence() <= holder.mSequence) {
            return false;
        }
        boolean gap = event.sequence() != holder.mSequence + 1;
        holder.mSequence = event.sequence();
        holder.mNeedsResync |= gap;
        holder.apply(event);
        return gap;
    }

    /**
     * Replaces the entries of a target by its own list of blocks.
     *
     * @param sequence the sequence number of the last event that the list includes
     */
    public void onResync(String target, long incarnation, long sequence, long[] keys) {
        Holder holder = currentHolder(target, incarnation);
        if (holder == null || sequence < holder.mSequence) {
            return;
        }
        holder.mBlocks.clear();
        for (long key : keys) {
            holder.mBlocks.put(key, CONFIRMED);
        }
        holder.mSequence = sequence;
        holder.mNeedsResync = false;
    }

    /**
     * Applies an engine's report that it found {@code cachedUnits} of a chain in its cache: those
     * blocks are confirmed, all others of the chain become expected.
     */
    public void onCachedUnits(String target, long incarnation, BlockChain chain, int cachedUnits) {
        Holder holder = currentHolder(target, incarnation);
        if (holder == null) {
            return;
        }
        int present = cachedUnits / BlockChain.BLOCK_UNITS;
        for (int i = 0; i < Math.min(present, chain.blocks()); i++) {
            holder.mBlocks.put(chain.key(i), CONFIRMED);
        }
        for (int i = present; i < chain.blocks(); i++) {
            // The run has computed the rest, so it is expected to be cached from now on.
            holder.mBlocks.put(chain.key(i), EXPECTED);
        }
    }

    /** Returns how many leading blocks of {@code chain} the target is expected to hold. */
    public int matchedBlocks(String target, long incarnation, BlockChain chain) {
        Holder holder = currentHolder(target, incarnation);
        if (holder == null) {
            return 0;
        }
        int matched = 0;
        while (matched < chain.blocks() && holder.mBlocks.containsKey(chain.key(matched))) {
            matched++;
        }
        return matched;
    }

    /** Returns whether events of the target were missed since its last resync. */
    public boolean needsResync(String target) {
        Holder holder = mHolders.get(target);
        return holder != null && holder.mNeedsResync;
    }

    /** Returns the sequence number of the last event applied for the target, 0 for none. */
    public long sequence(String target) {
        Holder holder = mHolders.get(target);
        return holder == null ? 0 : holder.mSequence;
    }

    /** Returns the confirmed and expected blocks of a target, to be sent to another instance. */
    public long[] blocksOf(String target, long incarnation) {
        Holder holder = currentHolder(target, incarnation);
        return holder == null ? new long[0] : holder.mBlocks.keySet().toLongArray();
    }

    /** Returns the number of block copies held over all targets. */
    public long size() {
        long size = 0;
        for (Holder holder : mHolders.values()) {
            size += holder.mBlocks.size();
        }
        return size;
    }

    private Holder currentHolder(String target, long incarnation) {
        Holder holder = mHolders.get(target);
        return holder != null && holder.mIncarnation == incarnation ? holder : null;
    }

    /** The blocks of one incarnation of one target. */
    private static final class Holder {
        final long mIncarnation;
        final Long2ByteOpenHashMap mBlocks = new Long2ByteOpenHashMap();
        long mSequence;
        boolean mNeedsResync;

        Holder(long incarnation) {
            mIncarnation = incarnation;
        }

        void apply(CacheEvent event) {
            if (event.kind() == CacheEvent.Kind.CLEARED) {
                mBlocks.clear();
                return;
            }
            for (int i = 0; i < event.keys().size(); i++) {
                long key = event.keys().getLong(i);
                if (event.kind() == CacheEvent.Kind.STORED) {
                    mBlocks.put(key, CONFIRMED);
                } else {
                    mBlocks.remove(key);
                }
            }
        }
    }
}
