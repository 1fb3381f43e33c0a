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

import java.util.Optional;
import org.quilldyke.gateway.instance.TellingRates;
import org.quilldyke.gateway.instance.proto.CacheNews;
import org.quilldyke.gateway.instance.proto.Caches;

/**
 * Collects cache updates for publication in batches, in the order of their arrival.
 *
 * <p>Entries pay a cost for each frame they receive, so the number of frames must not grow with the
 * number of engines: sent one by one, the updates of 56 engines at 170 prompts a second make some
 * 200 frames a second at each entry.
 */
final class CacheUpdateBatch {
    private Caches.Builder mPending = Caches.newBuilder();
    private long mLastTakenAt = Long.MIN_VALUE / 2;

    void add(CacheNews update) {
        mPending.addCaches(update);
    }

    /**
     * Removes and returns all pending updates, if there are any and {@link TellingRates#newsMillis}
     * have passed since the last batch.
     */
    Optional<Caches> takeDue(long now) {
        boolean tooEarly = now - mLastTakenAt < TellingRates.newsMillis();
        if (tooEarly || mPending.getCachesCount() == 0) {
            return Optional.empty();
        }
        mLastTakenAt = now;
        Caches batch = mPending.build();
        mPending = Caches.newBuilder();
        return Optional.of(batch);
    }
}
