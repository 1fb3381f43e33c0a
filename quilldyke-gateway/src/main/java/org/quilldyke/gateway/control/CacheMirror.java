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
 * What engines and stores keep, as a control process has heard it: for entries that have just
 * started, and so that others are told only what is new to them. Of an engine that has started
 * again nothing is kept that an earlier incarnation kept.
 */
final class CacheMirror {
    /** More parts than any engine of today's sites keeps; the oldest are forgotten beyond. */
    private static final int MAX_PARTS = 8192;

    private final LatestIncarnations mLatest = LatestIncarnations.create();
    private final Map<String, Holder> mHolders = new HashMap<>();

    /** Takes news; returns what of them is new. */
    Optional<CacheNews> apply(CacheNews news) {
        if (!onHolder(news.getHolder())) {
            return Optional.empty();
        }
        Holder holder = mHolders.computeIfAbsent(news.getHolder(), id -> new Holder());
        CacheNews.Builder out =
                CacheNews.newBuilder()
                        .setHolder(news.getHolder())
                        .setUp(news.getUp())
                        .setRestarted(news.getRestarted());
        boolean changed = holder.mUp != news.getUp() || news.getRestarted();
        holder.mUp = news.getUp();
        if (news.getRestarted()) {
            holder.mParts.clear();
        }
        if (news.getWhole()) {
            Set<Long> gone = new LinkedHashSet<>(holder.mParts);
            news.getAddedList().forEach(gone::remove);
            holder.mParts.removeAll(gone);
            out.addAllRemoved(gone);
        }
        news.getRemovedList().stream().filter(holder.mParts::remove).forEach(out::addRemoved);
        news.getAddedList().stream().filter(holder.mParts::add).forEach(out::addAdded);
        holder.trim();
        boolean told = changed || out.getAddedCount() + out.getRemovedCount() > 0;
        return told ? Optional.of(out.build()) : Optional.empty();
    }

    /**
     * Notes that a holder is known, and forgets its earlier incarnations.
     *
     * @return whether it is the latest of its id
     */
    boolean onHolder(String id) {
        Incarnation incarnation = Incarnation.ofKey(id);
        mLatest.observe(incarnation).map(Incarnation::key).ifPresent(mHolders::remove);
        return !mLatest.isSuperseded(incarnation);
    }

    /** Forgets a holder that is gone, and its earlier incarnations. */
    void forget(String id) {
        onHolder(id);
        mHolders.remove(id);
    }

    /** Returns all of it, a message for each holder. */
    List<CacheNews> whole() {
        List<CacheNews> all = new ArrayList<>();
        mHolders.forEach(
                (id, holder) ->
                        all.add(
                                CacheNews.newBuilder()
                                        .setHolder(id)
                                        .setUp(holder.mUp)
                                        .setWhole(true)
                                        .addAllAdded(holder.mParts)
                                        .build()));
        return all;
    }

    private static final class Holder {
        final Set<Long> mParts = new LinkedHashSet<>();
        boolean mUp = true;

        void trim() {
            while (mParts.size() > MAX_PARTS) {
                mParts.remove(mParts.iterator().next());
            }
        }
    }
}
