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
 * What targets say of the requests that they take, told to all entries: one that hears a target
 * seldom learns from the others that a limit begins, changes or ends.
 */
final class LimitSpread {
    private static final int MAX_TARGETS = 4096;

    private final Map<String, AdvertisedLimit> mLatest = new LinkedHashMap<>();
    private final Consumer<PeerFrame.Builder> mPeers;
    private final Consumer<Limits> mEntries;
    private final LongSupplier mClock;

    LimitSpread(Consumer<PeerFrame.Builder> peers, Consumer<Limits> entries, LongSupplier clock) {
        mPeers = peers;
        mEntries = entries;
        mClock = clock;
    }

    /** Takes what an entry has heard of targets, and tells all others what is new. */
    void onEntryNews(Limits told) {
        Limits news = take(told);
        if (news.getLimitsCount() > 0) {
            mPeers.accept(PeerFrame.newBuilder().setLimits(news));
            mEntries.accept(news);
        }
    }

    /** Takes what another control process was told, and tells the entries here what is new. */
    void onPeerNews(Limits told) {
        Limits news = take(told);
        if (news.getLimitsCount() > 0) {
            mEntries.accept(news);
        }
    }

    /** Returns the last word of each target, also that it names no limit any more. */
    Limits all() {
        return LimitFrames.encode(List.copyOf(mLatest.values()), mClock.getAsLong());
    }

    private Limits take(Limits told) {
        long now = mClock.getAsLong();
        List<AdvertisedLimit> news = new ArrayList<>();
        for (AdvertisedLimit limit : LimitFrames.decode(told, now)) {
            AdvertisedLimit known = mLatest.get(limit.target());
            boolean isNews =
                    known == null
                            || limit.receivedAt() >= known.receivedAt()
                                    && limit.shouldPublishAfter(known);
            if (isNews) {
                // Put anew, so that it is dropped after those of whom nothing was heard for longer.
                mLatest.remove(limit.target());
                mLatest.put(limit.target(), limit);
                news.add(limit);
            }
        }
        while (mLatest.size() > MAX_TARGETS) {
            mLatest.remove(mLatest.keySet().iterator().next());
        }
        return LimitFrames.encode(news, now);
    }
}
