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
package org.quilldyke.testkit.store;

import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.quilldyke.testkit.http.Json;
import org.quilldyke.testkit.http.StandInHost;

/**
 * A store of kept KV cache blocks: {@code PUT} and {@code GET /kv/SALT/KEY}.
 *
 * <p>A block is kept under the salt of its scope and its key, so that what one organisation or
 * weight version kept is never found under another's.
 */
public final class KvStoreStandIn {
    private static final int BLOCK_BYTES = 1 << 20;

    private final StandInHost mHost;
    private final Map<String, byte[]> mBlocks = new ConcurrentHashMap<>();
    private final AtomicLong mFound = new AtomicLong();
    private final AtomicLong mMissed = new AtomicLong();

    private KvStoreStandIn(StandInHost host) {
        mHost = host;
    }

    /**
     * Starts an empty store.
     *
     * @param address where it listens, {@code IP:port}
     * @throws IOException if the address can't be bound
     */
    public static KvStoreStandIn start(String address) throws IOException {
        KvStoreStandIn store = new KvStoreStandIn(StandInHost.at("kv-store", address));
        store.mHost.start(
                RoutingServlet.builder(store.mHost.reactor())
                        .with(HttpMethod.PUT, "/kv/:salt/:key", store::put)
                        .with(HttpMethod.GET, "/kv/:salt/:key", store::get)
                        .build());
        return store;
    }

    /** Returns the number of blocks kept. */
    public int size() {
        return mBlocks.size();
    }

    /** Returns how many reads found their block. */
    public long found() {
        return mFound.get();
    }

    /** Returns how many reads found nothing. */
    public long missed() {
        return mMissed.get();
    }

    /** Stops at once. */
    public void kill() {
        mHost.kill();
    }

    private Promise<HttpResponse> put(HttpRequest request) {
        return request.loadBody(BLOCK_BYTES)
                .then(
                        body -> {
                            mBlocks.put(name(request), body.getArray());
                            return Json.response(200, Map.of("kept", true));
                        });
    }

    private Promise<HttpResponse> get(HttpRequest request) {
        byte[] block = mBlocks.get(name(request));
        if (block == null) {
            mMissed.incrementAndGet();
            return Json.refusal(404, "no such block");
        }
        mFound.incrementAndGet();
        return HttpResponse.ok200().withBody(block).toPromise();
    }

    private static String name(HttpRequest request) {
        return request.getPathParameter("salt") + "/" + request.getPathParameter("key");
    }
}
