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

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.Incarnation;
import org.quilldyke.gateway.dialect.CacheEvents;
import org.quilldyke.gateway.instance.proto.CacheNews;
import org.quilldyke.routing.CacheKeys;

/**
 * How far the events of one holder's cache are read, and what they tell of it.
 *
 * <p>Only the incarnation that is read counts. The answer of an earlier one changes nothing; that
 * of a later one shows that nothing is kept any more of what this one kept, and tells nothing else.
 */
final class CacheReader {
    private final String mHolder;
    private final String mAddress;
    private final EventLog mLog;
    private boolean mUp = true;
    private boolean mAnswered;
    private long mEpoch;
    private long mNext;

    /**
     * Creates a reader that has read nothing.
     *
     * @param holder the key of the engine's incarnation, or the address of the store
     * @param address where it takes requests
     * @param log where losses go
     */
    CacheReader(String holder, String address, EventLog log) {
        mHolder = holder;
        mAddress = address;
        mLog = log;
    }

    String holder() {
        return mHolder;
    }

    String address() {
        return mAddress;
    }

    /** Returns the event after which to go on. */
    long next() {
        return mNext;
    }

    /** Returns whether the holder answers, as far as known. */
    boolean isUp() {
        return mUp;
    }

    /** Returns whether the last answer was one, so that the holder may be asked again at once. */
    boolean wasAnswered() {
        return mAnswered;
    }

    /** Takes an answer, or that there was none; returns what is to be told. */
    Optional<CacheNews> onAnswer(Optional<CacheEvents> answer) {
        Incarnation holder = Incarnation.ofKey(mHolder);
        mAnswered = answer.isPresent() && holder.mayMatch(answer.get().born());
        if (mAnswered) {
            return onEvents(answer.get());
        } else if (answer.isEmpty()) {
            return onNoAnswer();
        }
        return holder.isSupersededBy(answer.get().born()) ? onOutlived() : Optional.empty();
    }

    private Optional<CacheNews> onEvents(CacheEvents events) {
        boolean first = mEpoch == 0;
        boolean restarted = !first && mEpoch != events.epoch();
        if (restarted || events.gap()) {
            logResync(restarted, events.gap());
        }
        CacheNews.Builder news = news().setUp(true).setRestarted(restarted);
        Map<Long, Boolean> kept = new LinkedHashMap<>();
        for (CacheEvents.Change change : events.changes()) {
            kept.put(CacheKeys.of(change.salt(), change.part()), change.added());
        }
        kept.forEach(
                (key, added) -> {
                    if (added) {
                        news.addAdded(key);
                    } else {
                        news.addRemoved(key);
                    }
                });
        boolean told = first || restarted || !mUp || !events.changes().isEmpty();
        mUp = true;
        mEpoch = events.epoch();
        mNext = events.next();
        return told ? Optional.of(news.build()) : Optional.empty();
    }

    private Optional<CacheNews> onNoAnswer() {
        if (!mUp) {
            return Optional.empty();
        }
        mUp = false;
        mLog.write(Event.WATCH_LOST, "holder", mHolder);
        return Optional.of(news().setUp(false).build());
    }

    private Optional<CacheNews> onOutlived() {
        if (!mUp && mEpoch == 0) {
            return Optional.empty();
        }
        mUp = false;
        mEpoch = 0;
        mNext = 0;
        logResync(true, false);
        return Optional.of(news().setUp(false).setRestarted(true).build());
    }

    private void logResync(boolean restarted, boolean gap) {
        mLog.write(Event.INDEX_RESYNCED, "holder", mHolder, "restarted", restarted, "gap", gap);
    }

    private CacheNews.Builder news() {
        return CacheNews.newBuilder().setHolder(mHolder);
    }
}
