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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quilldyke.gateway.instance.LimitFrames;
import org.quilldyke.gateway.instance.proto.Limits;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.routing.AdvertisedLimit;

/**
 * Replicates the limits that targets advertise to all entries, so that an entry that seldom sends
 * requests to a target learns from the others that a limit starts, changes or ends.
 */
final class LimitReplication {
    private static final int MAX_TARGETS = 4096;

    private final Map<String, AdvertisedLimit> mLatestLimits = new LinkedHashMap<>();
    private final Consumer<PeerFrame.Builder> mToPeers;
    private final Consumer<Limits> mToEntries;
    private final LongSupplier mClock;

    LimitReplication(
            Consumer<PeerFrame.Builder> toPeers, Consumer<Limits> toEntries, LongSupplier clock) {
        mToPeers = toPeers;
        mToEntries = toEntries;
        mClock = clock;
    }

    /** Handles an entry's report, and forwards what is new to all peers and entries. */
    void onEntryReport(Limits report) {
        Limits changes = apply(report);
        if (changes.getLimitsCount() > 0) {
            mToPeers.accept(PeerFrame.newBuilder().setLimits(changes));
            mToEntries.accept(changes);
        }
    }

    /** Handles a peer's report, and forwards what is new to the entries of this process. */
    void onPeerReport(Limits report) {
        Limits changes = apply(report);
        if (changes.getLimitsCount() > 0) {
            mToEntries.accept(changes);
        }
    }

    /** Returns the latest message of each target, including those that end a limit. */
    Limits snapshot() {
        return LimitFrames.encode(List.copyOf(mLatestLimits.values()), mClock.getAsLong());
    }

    private Limits apply(Limits report) {
        long now = mClock.getAsLong();
        List<AdvertisedLimit> changes = new ArrayList<>();
        for (AdvertisedLimit limit : LimitFrames.decode(report, now)) {
            AdvertisedLimit known = mLatestLimits.get(limit.target());
            boolean isNew =
                    known == null
                            || limit.receivedAt() >= known.receivedAt()
                                    && limit.shouldPublishAfter(known);
            if (isNew) {
                // Moved to the end: targets without recent messages are evicted first.
                mLatestLimits.remove(limit.target());
                mLatestLimits.put(limit.target(), limit);
                changes.add(limit);
            }
        }
        while (mLatestLimits.size() > MAX_TARGETS) {
            mLatestLimits.remove(mLatestLimits.keySet().iterator().next());
        }
        return LimitFrames.encode(changes, now);
    }
}
