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
final class CacheEventReader {
    private final String mHolder;
    private final String mAddress;
    private final EventLog mLog;
    private boolean mUp = true;
    private boolean mLastPollSucceeded;
    private long mEpoch;
    private long mNextEvent;

    /**
     * Creates a reader that has read nothing.
     *
     * @param holder the key of the engine's incarnation, or the address of the store
     * @param address where it takes requests
     * @param log where losses go
     */
    CacheEventReader(String holder, String address, EventLog log) {
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
    long nextEvent() {
        return mNextEvent;
    }

    /** Returns whether the holder answers, as far as known. */
    boolean isUp() {
        return mUp;
    }

    /** Returns whether the last answer was one, so that the holder may be asked again at once. */
    boolean lastPollSucceeded() {
        return mLastPollSucceeded;
    }

    /** Takes an answer, or that there was none; returns what is to be told. */
    Optional<CacheNews> onPollResult(Optional<CacheEvents> events) {
        Incarnation incarnation = Incarnation.ofKey(mHolder);
        mLastPollSucceeded = events.isPresent() && incarnation.mayMatch(events.get().born());
        if (mLastPollSucceeded) {
            return onEvents(events.get());
        } else if (events.isEmpty()) {
            return onPollFailure();
        }
        return incarnation.isSupersededBy(events.get().born()) ? onSuperseded() : Optional.empty();
    }

    private Optional<CacheNews> onEvents(CacheEvents events) {
        boolean first = mEpoch == 0;
        boolean restarted = !first && mEpoch != events.epoch();
        if (restarted || events.gap()) {
            logResync(restarted, events.gap());
        }
        CacheNews.Builder update = newUpdate().setUp(true).setRestarted(restarted);
        Map<Long, Boolean> changedKeys = new LinkedHashMap<>();
        for (CacheEvents.Change change : events.changes()) {
            changedKeys.put(CacheKeys.of(change.salt(), change.part()), change.added());
        }
        changedKeys.forEach(
                (key, added) -> {
                    if (added) {
                        update.addAdded(key);
                    } else {
                        update.addRemoved(key);
                    }
                });
        boolean changed = first || restarted || !mUp || !events.changes().isEmpty();
        mUp = true;
        mEpoch = events.epoch();
        mNextEvent = events.next();
        return changed ? Optional.of(update.build()) : Optional.empty();
    }

    private Optional<CacheNews> onPollFailure() {
        if (!mUp) {
            return Optional.empty();
        }
        mUp = false;
        mLog.write(Event.WATCH_LOST, "holder", mHolder);
        return Optional.of(newUpdate().setUp(false).build());
    }

    private Optional<CacheNews> onSuperseded() {
        if (!mUp && mEpoch == 0) {
            return Optional.empty();
        }
        mUp = false;
        mEpoch = 0;
        mNextEvent = 0;
        logResync(true, false);
        return Optional.of(newUpdate().setUp(false).setRestarted(true).build());
    }

    private void logResync(boolean restarted, boolean gap) {
        mLog.write(Event.INDEX_RESYNCED, "holder", mHolder, "restarted", restarted, "gap", gap);
    }

    private CacheNews.Builder newUpdate() {
        return CacheNews.newBuilder().setHolder(mHolder);
    }
}
