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
 * Reads the cache events of one holder of cached blocks, an engine incarnation or a KV store, and
 * turns them into cache updates.
 *
 * <p>Only responses of the holder's own incarnation are applied. Those of an earlier incarnation
 * are ignored; those of a later one show only that the cache of this one is lost.
 */
final class CacheEventReader {
    private final String mHolder;
    private final String mAddress;
    private final String mFailureDomain;
    private final EventLog mLog;
    private boolean mUp = true;
    private boolean mLastPollSucceeded;
    private long mEpoch;
    private long mNextEvent;

    /**
     * Creates a reader that starts at the first event.
     *
     * @param holder the key of the engine's incarnation, or the address of the store
     * @param address where the holder accepts requests
     * @param failureDomain the holder's failure domain
     * @param log receives events about unreachable and restarted holders
     */
    CacheEventReader(String holder, String address, String failureDomain, EventLog log) {
        mHolder = holder;
        mAddress = address;
        mFailureDomain = failureDomain;
        mLog = log;
    }

    String holder() {
        return mHolder;
    }

    String address() {
        return mAddress;
    }

    String failureDomain() {
        return mFailureDomain;
    }

    /** Returns the position after the last event that was read. */
    long nextEvent() {
        return mNextEvent;
    }

    /** Returns whether the holder responded to the last poll, as far as known. */
    boolean isUp() {
        return mUp;
    }

    /** Returns whether the last poll succeeded, so that the next one may follow without delay. */
    boolean lastPollSucceeded() {
        return mLastPollSucceeded;
    }

    /** Handles the result of a poll, empty if it failed; returns the update to publish, if any. */
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
