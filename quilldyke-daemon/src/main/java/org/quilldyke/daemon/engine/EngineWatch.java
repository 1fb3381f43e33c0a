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
package org.quilldyke.daemon.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import it.unimi.dsi.fastutil.longs.LongArrayList;
import it.unimi.dsi.fastutil.longs.LongList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.quilldyke.QuilldykeException;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.daemon.json.JsonTree;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.daemon.routing.CellView;
import org.quilldyke.daemon.routing.SharedRouter;
import org.quilldyke.engine.CacheEvent;
import org.quilldyke.engine.LoadReport;
import org.quilldyke.engine.TargetRecord;

/**
 * Follows every engine's cache events and load, on a thread of its own.
 *
 * <p>A gap in the events, and the start of a stream, lead to a resync of that engine's blocks;
 * resyncs are spaced out, so that a herd of restarted instances doesn't burden the engines.
 */
public final class EngineWatch {
    private static final int SCAN_MILLIS = 200;
    private static final int RESYNC_SPACING_MILLIS = 50;
    private static final int BLOCKS_BODY_BYTES = 256 << 20;

    private final Eventloop mReactor;
    private final Thread mThread;
    private final Supplier<CellView> mView;
    private final SharedRouter mRouter;
    private final EventLog mLog;
    private final LongSupplier mClock;
    private final int mPollMillis;
    private final Map<String, Watch> mWatches = new HashMap<>();
    private EngineClient mClient;
    private long mNextResyncAt;
    private volatile boolean mStopped;

    private EngineWatch(
            Supplier<CellView> view,
            SharedRouter router,
            EventLog log,
            LongSupplier clock,
            int pollMillis,
            String name) {
        mView = view;
        mRouter = router;
        mLog = log;
        mClock = clock;
        mPollMillis = pollMillis;
        mReactor = Eventloop.builder().withThreadName(name).build();
        mReactor.keepAlive(true);
        mThread = new Thread(mReactor, name);
        mThread.setDaemon(true);
    }

    /**
     * Starts the thread.
     *
     * @param view gives the live targets
     * @param router hears of events and loads
     * @param log where failures go
     * @param clock monotonic milliseconds
     * @param pollMillis how often each engine's load is asked for
     * @param name the thread's name
     */
    public static EngineWatch start(
            Supplier<CellView> view,
            SharedRouter router,
            EventLog log,
            LongSupplier clock,
            int pollMillis,
            String name) {
        EngineWatch watch = new EngineWatch(view, router, log, clock, pollMillis, name);
        watch.mThread.start();
        watch.mReactor.execute(
                () -> {
                    watch.mClient = EngineClient.create(watch.mReactor);
                    watch.scan();
                });
        return watch;
    }

    /** Stops the thread. */
    public void close() {
        mStopped = true;
        mReactor.execute(
                () -> {
                    mReactor.keepAlive(false);
                    mReactor.breakEventloop();
                });
    }

    /**
     * Reads one cache event.
     *
     * @throws QuilldykeException if the data isn't one
     */
    public static CacheEvent parse(byte[] data) throws QuilldykeException {
        JsonNode tree = JsonTree.read(data);
        return new CacheEvent(
                tree.path("sequence").asLong(),
                CacheEvent.Kind.valueOf(tree.path("kind").asText()),
                keys(tree.path("keys")));
    }

    private void scan() {
        if (mStopped) {
            return;
        }
        mReactor.delayBackground(SCAN_MILLIS, this::scan);
        CellView view = mView.get();
        for (TargetRecord target : view.targets()) {
            if (target.kind() != TargetRecord.Kind.ENGINE) {
                continue;
            }
            Watch watch = mWatches.get(target.id());
            if (watch == null || watch.mTarget.incarnation() != target.incarnation()) {
                watch = new Watch(target);
                mWatches.put(target.id(), watch);
                watch.open();
                watch.poll();
            }
        }
        mWatches.values().removeIf(watch -> !watch.isCurrent());
    }

    /** One engine's streams. */
    private final class Watch {
        final TargetRecord mTarget;
        private boolean mResyncDue;

        Watch(TargetRecord target) {
            mTarget = target;
        }

        boolean isCurrent() {
            TargetRecord live = mView.get().find(mTarget.id());
            return !mStopped && live != null && live.incarnation() == mTarget.incarnation();
        }

        void open() {
            if (!isCurrent()) {
                return;
            }
            String url = "http://" + mTarget.address() + "/kv/events";
            mClient.send(HttpRequest.get(url).build())
                    .then(
                            response -> {
                                resyncSoon();
                                return follow(SseReader.of(response.takeBodyStream()));
                            })
                    .whenComplete(
                            (v, e) -> {
                                mLog.write(Event.WATCH_FAILED, "target", mTarget.id(), "cause", e);
                                mReactor.delayBackground(SCAN_MILLIS, this::open);
                            });
        }

        void poll() {
            if (!isCurrent()) {
                return;
            }
            String url = "http://" + mTarget.address() + "/load";
            mClient.send(HttpRequest.get(url).build())
                    .then(response -> response.loadBody())
                    .map(body -> Json.decode(body.getArray(), LoadReport.class))
                    .whenResult(r -> mRouter.onReport(mTarget, r, mClock.getAsLong()))
                    .whenComplete(() -> mReactor.delayBackground(mPollMillis, this::poll));
        }

        private Promise<Void> follow(SseReader events) {
            return events.read()
                    .then(
                            batch -> {
                                if (batch == null || !isCurrent()) {
                                    events.close();
                                    return Promise.complete();
                                }
                                apply(batch);
                                return follow(events);
                            });
        }

        private void apply(List<SseReader.SseEvent> batch) throws QuilldykeException {
            for (SseReader.SseEvent event : batch) {
                if (mRouter.onEvent(mTarget, parse(event.data()))) {
                    resyncSoon();
                }
            }
        }

        private void resyncSoon() {
            if (mResyncDue) {
                return;
            }
            mResyncDue = true;
            long now = mClock.getAsLong();
            long at = Math.max(now, mNextResyncAt);
            mNextResyncAt = at + RESYNC_SPACING_MILLIS;
            mReactor.delayBackground(at - now, this::resync);
        }

        private void resync() {
            mResyncDue = false;
            if (!isCurrent()) {
                return;
            }
            String url = "http://" + mTarget.address() + "/kv/blocks";
            mClient.send(HttpRequest.get(url).build())
                    .then(response -> response.loadBody(BLOCKS_BODY_BYTES))
                    .map(body -> JsonTree.read(body.getArray()))
                    .whenResult(this::onBlocks)
                    .whenException(
                            e ->
                                    mLog.write(
                                            Event.WATCH_FAILED,
                                            "target",
                                            mTarget.id(),
                                            "cause",
                                            e));
        }

        private void onBlocks(JsonNode tree) {
            long[] keys = keys(tree.path("keys")).toLongArray();
            long sequence = tree.path("sequence").asLong();
            mRouter.onResync(mTarget.id(), tree.path("incarnation").asLong(), sequence, keys);
            mLog.write(
                    Event.INDEX_RESYNCED,
                    "target",
                    mTarget.id(),
                    "blocks",
                    keys.length,
                    "sequence",
                    sequence);
        }
    }

    private static LongList keys(JsonNode list) {
        LongArrayList keys = new LongArrayList(list.size());
        for (JsonNode key : list) {
            keys.add(Long.parseUnsignedLong(key.asText(), 16));
        }
        return keys;
    }
}
