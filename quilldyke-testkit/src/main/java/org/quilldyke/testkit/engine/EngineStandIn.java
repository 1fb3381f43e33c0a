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
package org.quilldyke.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.quilldyke.engine.BlockChain;
import org.quilldyke.engine.ChatTemplate;
import org.quilldyke.engine.TargetRecord;
import org.quilldyke.testkit.http.Announcer;
import org.quilldyke.testkit.http.Json;
import org.quilldyke.testkit.http.StandInHost;

/**
 * A model engine that answers by {@link WordModel}.
 *
 * <p>Speaks what docs/ENGINE-PROTOCOL.md describes: completions, resume, cancel, cache events,
 * load, orders. Faults are set by {@code POST /faults} or by the methods of this class.
 */
public final class EngineStandIn {
    private static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");
    private static final HttpHeader ATTEMPT = HttpHeaders.of("Quilldyke-Attempt");
    private static final HttpHeader INCARNATION = HttpHeaders.of("Quilldyke-Incarnation");
    private static final HttpHeader WEIGHTS = HttpHeaders.of("Quilldyke-Weights");
    private static final int BODY_LIMIT = 64 << 20;
    private static final int LOAD_MILLIS = 300;

    /** The thread of an engine that was killed sets nothing any more. */
    private static final int SET_MILLIS = 1000;

    private final EngineSettings mSettings;
    private final long mIncarnation;
    private final StandInHost mHost;
    private final EngineFaults mFaults = new EngineFaults();
    private final Map<String, Integer> mRunsByKey = new ConcurrentHashMap<>();
    private final Map<String, String> mSaltByRequest = new ConcurrentHashMap<>();
    private BlockCache mCache;
    private EventFeed mFeed;
    private EngineScheduler mScheduler;
    private KvTransfer mTransfer;
    private Announcer mAnnouncer;
    private volatile String mWeights;
    private volatile boolean mLeaving;
    private volatile boolean mLoading;
    private long mFencing;
    private volatile int mOrdersRefused;
    private volatile long mLastAcceptedAt;

    private EngineStandIn(EngineSettings settings, long incarnation) {
        mSettings = settings;
        mIncarnation = incarnation;
        mWeights = settings.weights();
        mHost = StandInHost.at(settings.id(), settings.address());
    }

    /**
     * Starts an engine.
     *
     * @param settings what it is
     * @param incarnation larger than that of any earlier engine with this id
     * @throws IOException if its address can't be bound
     */
    public static EngineStandIn start(EngineSettings settings, long incarnation)
            throws IOException {
        EngineStandIn engine = new EngineStandIn(settings, incarnation);
        engine.start();
        return engine;
    }

    /** Stops at once: connections break, the cache is lost. */
    public void kill() {
        mHost.kill();
    }

    /** Announces that no new work is wanted. */
    public void leave() {
        mHost.reactor()
                .execute(
                        () -> {
                            mLeaving = true;
                            mAnnouncer.announceNow();
                        });
    }

    /** Breaks each answer's connection once it has sent {@code tokens} more tokens. */
    public void breakStreamsAfter(int tokens) {
        set(() -> mFaults.mBreakAfterTokens = tokens);
    }

    /** Stops or continues all work. */
    public void freeze(boolean frozen) {
        set(() -> mFaults.mFrozen = frozen);
    }

    /** Refuses new requests unrun, or accepts them again. */
    public void refuse(boolean refuse) {
        set(() -> mFaults.mRefuse = refuse);
    }

    /** Refuses to go on with runs that it holds, or does so again. */
    public void refuseResumes(boolean refuse) {
        set(() -> mFaults.mRefuseResumes = refuse);
    }

    /** Breaks the connections of all answers under way; their runs go on. */
    public void breakStreams() {
        set(() -> mFaults.mBreaks++);
    }

    /** Announces nothing any more, so that its lease lapses. */
    public void stopAnnouncing() {
        set(() -> mAnnouncer.stop());
    }

    /** Writes a wrong request into the ids of answers, or stops doing so. */
    public void crossIds(boolean cross) {
        set(() -> mFaults.mCrossIds = cross);
    }

    /** Sets a fault; it is in force when this returns, unless the engine has been killed. */
    private void set(Runnable fault) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mHost.reactor()
                .execute(
                        () -> {
                            fault.run();
                            done.complete(null);
                        });
        if (!mHost.reactor().inReactorThread()) {
            done.completeOnTimeout(null, SET_MILLIS, TimeUnit.MILLISECONDS).join();
        }
    }

    /** Returns the target's id. */
    public String id() {
        return mSettings.id();
    }

    /** Returns the settings it was started with. */
    public EngineSettings settings() {
        return mSettings;
    }

    /** Returns the number of requests it is running or has queued. */
    public int open() throws IOException {
        int[] open = new int[1];
        mHost.call(
                () -> {
                    var report = mScheduler.report(mIncarnation);
                    open[0] = report.running() + report.waiting();
                });
        return open[0];
    }

    /** Returns how often each request was accepted, by request id. */
    public Map<String, Integer> runs() {
        return Map.copyOf(mRunsByKey);
    }

    /** Returns the cache salt that came with each request, by request id. */
    public Map<String, String> salts() {
        return Map.copyOf(mSaltByRequest);
    }

    /** Returns prompt units computed so far. */
    public long computedUnits() {
        return mScheduler.computedUnits();
    }

    /** Returns prompt units found in the cache so far. */
    public long cachedUnits() {
        return mScheduler.cachedUnits();
    }

    /** Returns the weight version that is loaded. */
    public String weights() {
        return mWeights;
    }

    /** Returns when it last accepted a request, in nanoseconds of this process's clock. */
    public long lastAcceptedAt() {
        return mLastAcceptedAt;
    }

    /** Returns how many orders were refused for their old fencing number. */
    public int ordersRefused() {
        return mOrdersRefused;
    }

    private void start() throws IOException {
        mCache = new BlockCache(mSettings.cacheBlocks());
        mFeed =
                new EventFeed(
                        mHost.reactor(),
                        mSettings.eventLagMillis(),
                        mSettings.eventLossPerMille(),
                        new Random(mSettings.id().hashCode()));
        mScheduler = new EngineScheduler(mHost.reactor(), mSettings, mCache, mFeed, mFaults);
        mTransfer = new KvTransfer(mHost, mCache, mFeed);
        mHost.start(servlet());
        mHost.call(
                () -> {
                    mScheduler.start();
                    mAnnouncer = Announcer.start(mHost, mSettings.instances(), this::record);
                });
    }

    private TargetRecord record() {
        return new TargetRecord(
                mSettings.id(),
                TargetRecord.Kind.ENGINE,
                mSettings.cell(),
                mSettings.service(),
                mHost.address(),
                mSettings.failureDomain(),
                mIncarnation,
                0,
                mSettings.model(),
                mWeights,
                mSettings.slots(),
                mSettings.prefillUnitsPerMilli(),
                mSettings.checksFencing(),
                mLeaving || mLoading);
    }

    private AsyncServlet servlet() {
        return RoutingServlet.builder(mHost.reactor())
                .with(HttpMethod.POST, "/v1/completions", r -> complete(r, false))
                .with(HttpMethod.POST, "/v1/chat/completions", r -> complete(r, true))
                .with(HttpMethod.GET, "/v1/requests/:id", this::resume)
                .with(HttpMethod.POST, "/v1/requests/:id/cancel", this::cancel)
                .with(HttpMethod.GET, "/kv/events", r -> stream(mFeed.subscribe()))
                .with(HttpMethod.GET, "/kv/blocks", r -> blocks())
                .with(HttpMethod.POST, "/kv/export", r -> transfer(r, mTransfer::export))
                .with(HttpMethod.POST, "/kv/import", r -> transfer(r, mTransfer::importBlocks))
                .with(HttpMethod.GET, "/load", r -> load())
                .with(HttpMethod.POST, "/orders", r -> r.loadBody(BODY_LIMIT).then(this::order))
                .with(HttpMethod.POST, "/faults", r -> r.loadBody(BODY_LIMIT).then(this::fault))
                .build();
    }

    private Promise<HttpResponse> complete(HttpRequest request, boolean chat) {
        return request.loadBody(BODY_LIMIT).then(body -> accept(request, body, chat));
    }

    private Promise<HttpResponse> accept(HttpRequest request, ByteBuf buf, boolean chat) {
        String id = request.getHeader(REQUEST_ID);
        JsonNode body;
        try {
            body = Json.parse(buf.getArray());
        } catch (IOException e) {
            return Json.refusal(400, "malformed");
        }
        if (id == null) {
            return Json.refusal(400, "no request id");
        }
        if (!Long.toString(mIncarnation).equals(request.getHeader(INCARNATION))) {
            return Json.refusal(409, "another incarnation");
        }
        if (!mWeights.equals(request.getHeader(WEIGHTS))) {
            return Json.refusal(409, "other weights");
        }
        if (mLeaving || mLoading || mFaults.mRefuse) {
            return Json.refusal(503, "not accepting");
        }
        int attempt = Integer.parseInt(request.getHeader(ATTEMPT));
        if (mScheduler.find(id, attempt) != null) {
            return Json.refusal(409, "attempt known");
        }
        EngineRun run = newRun(id, attempt, body, chat);
        mScheduler.accept(run);
        mLastAcceptedAt = System.nanoTime();
        mRunsByKey.merge(id, 1, Integer::sum);
        mSaltByRequest.put(id, run.mSalt);
        return stream(streamOf(run, run.mStartPosition));
    }

    private EngineRun newRun(String id, int attempt, JsonNode body, boolean chat) {
        byte[] prompt = promptOf(body, chat).getBytes(StandardCharsets.UTF_8);
        String salt = body.path("cache_salt").asText("");
        long seed = salt.isEmpty() ? 0 : Long.parseUnsignedLong(salt, 16);
        return new EngineRun(
                id,
                attempt,
                salt,
                prompt,
                BlockChain.of(seed, prompt).keys(),
                body.path("priority").asInt(3),
                body.path("max_tokens").asInt(16),
                body.path("start_position").asInt(0),
                chat);
    }

    private static String promptOf(JsonNode body, boolean chat) {
        if (!chat) {
            return body.path("prompt").asText("");
        }
        List<ChatTemplate.Message> messages = new ArrayList<>();
        for (JsonNode message : body.path("messages")) {
            messages.add(
                    new ChatTemplate.Message(
                            message.path("role").asText(), message.path("content").asText()));
        }
        return ChatTemplate.render(messages, body.path("continue_final_message").asBoolean(false));
    }

    private ChannelSupplier<ByteBuf> streamOf(EngineRun run, int position) {
        EngineRun shown = mFaults.mCrossIds ? crossed(run) : run;
        RunStream stream = new RunStream(shown, mSettings.model(), position, () -> run.mReaders--);
        int[] left = {mFaults.mBreakAfterTokens};
        int breaks = mFaults.mBreaks;
        return stream.mapAsync(
                buf -> {
                    if (left[0]-- == 0 || breaks != mFaults.mBreaks) {
                        buf.recycle();
                        return Promise.ofException(new IOException("fault: stream broken"));
                    }
                    return Promise.of(buf);
                });
    }

    private static EngineRun crossed(EngineRun run) {
        EngineRun other =
                new EngineRun(
                        "someone-elses-request",
                        run.mAttempt,
                        run.mSalt,
                        run.mPrompt,
                        run.mKeys,
                        run.mPriority,
                        1,
                        run.mStartPosition,
                        run.mChat);
        other.decode();
        return other;
    }

    private Promise<HttpResponse> resume(HttpRequest request) {
        EngineRun run =
                mScheduler.find(
                        request.getPathParameter("id"),
                        Integer.parseInt(request.getQueryParameter("attempt")));
        String salt = request.getQueryParameter("salt");
        if (run == null || run.mCancelled || !run.mSalt.equals(salt)) {
            return Json.refusal(404, "no such run");
        }
        if (mFaults.mRefuseResumes) {
            return Json.refusal(503, "not now");
        }
        int from = Integer.parseInt(request.getQueryParameter("from"));
        return stream(streamOf(run, from));
    }

    private Promise<HttpResponse> cancel(HttpRequest request) {
        EngineRun run =
                mScheduler.find(
                        request.getPathParameter("id"),
                        Integer.parseInt(request.getQueryParameter("attempt")));
        boolean onlyIfUnread = "true".equals(request.getQueryParameter("if_unread"));
        if (run != null && !run.mDone && !(onlyIfUnread && run.mReaders > 0)) {
            run.cancel();
        }
        return Json.response(200, Map.of("known", run != null));
    }

    private static Promise<HttpResponse> stream(ChannelSupplier<ByteBuf> events) {
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
                .withBodyStream(events)
                .toPromise();
    }

    private Promise<HttpResponse> blocks() {
        ObjectNode body = Json.object();
        body.put("incarnation", mIncarnation).put("sequence", mFeed.sequence());
        var list = body.putArray("keys");
        mCache.keys().forEach(key -> list.add(Long.toHexString(key)));
        return Json.response(200, body);
    }

    private static Promise<HttpResponse> transfer(
            HttpRequest request, Function<JsonNode, Promise<HttpResponse>> action) {
        return request.loadBody(BODY_LIMIT)
                .map(body -> Json.parse(body.getArray()))
                .then(order -> action.apply(order));
    }

    private Promise<HttpResponse> load() {
        var report = mScheduler.report(mIncarnation);
        SettablePromise<HttpResponse> late = new SettablePromise<>();
        mHost.reactor()
                .delayBackground(
                        mSettings.eventLagMillis(),
                        () -> Json.response(200, report).whenResult(late::set));
        return late;
    }

    private Promise<HttpResponse> order(ByteBuf buf) throws IOException {
        JsonNode order = Json.parse(buf.getArray());
        long fencing = order.path("fencing").asLong();
        if (mSettings.checksFencing() && fencing < mFencing) {
            mOrdersRefused++;
            return Json.refusal(409, "old fencing number");
        }
        mFencing = Math.max(mFencing, fencing);
        String weights = order.path("weights").asText();
        if (!mLoading && !weights.equals(mWeights)) {
            mLoading = true;
            mAnnouncer.announceNow();
            loadWhenIdle(weights);
        }
        return Json.response(200, Map.of("accepted", fencing));
    }

    private void loadWhenIdle(String weights) {
        if (!mScheduler.isIdle()) {
            mHost.reactor().delayBackground(20, () -> loadWhenIdle(weights));
            return;
        }
        if (mSettings.weightStore().isEmpty()) {
            mHost.reactor().delayBackground(LOAD_MILLIS, () -> loaded(weights));
            return;
        }
        String url =
                "http://"
                        + mSettings.weightStore()
                        + "/weights/"
                        + mSettings.model()
                        + "/"
                        + weights;
        mHost.client()
                .request(HttpRequest.get(url).build())
                .whenResult(() -> loaded(weights))
                .whenException(
                        e ->
                                mHost.reactor()
                                        .delayBackground(LOAD_MILLIS, () -> loadWhenIdle(weights)));
    }

    private void loaded(String weights) {
        mWeights = weights;
        mLoading = false;
        mCache.clear();
        mFeed.publish("CLEARED", List.of());
        mAnnouncer.announceNow();
    }

    private Promise<HttpResponse> fault(ByteBuf buf) throws IOException {
        JsonNode fault = Json.parse(buf.getArray());
        mFaults.mBreakAfterTokens = fault.path("break_after").asInt(mFaults.mBreakAfterTokens);
        mFaults.mFrozen = fault.path("frozen").asBoolean(mFaults.mFrozen);
        mFaults.mRefuse = fault.path("refuse").asBoolean(mFaults.mRefuse);
        mFaults.mCrossIds = fault.path("cross_ids").asBoolean(mFaults.mCrossIds);
        return Json.response(200, Map.of("set", true));
    }
}
