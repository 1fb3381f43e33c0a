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
package org.quilldyke.tools.demo;

import io.activej.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.tools.client.ApiClient;
import org.quilldyke.tools.client.ReceivedStream;

/**
 * A caller behind the platform's balancer, which hands each connection to a ready instance.
 *
 * <p>After a broken connection, or one that its instance ended, it resumes with {@code
 * Last-Event-ID}; a request that was refused as not run, or broke off before its first event, is
 * sent again. So is one whose stream is no longer held anywhere, since its engine and the instance
 * that relayed from it were lost together.
 */
final class DemoCaller {
    private static final int MAX_CONNECTIONS = 50;
    private static final long PAUSE_MILLIS = 100;

    private final ApiClient mClient;
    private final Supplier<List<String>> mReady;
    private final AtomicInteger mNext = new AtomicInteger();
    private final AtomicInteger mReconnects = new AtomicInteger();

    DemoCaller(ApiClient client, Supplier<List<String>> ready) {
        mClient = client;
        mReady = ready;
    }

    /** Sends a streamed completion and returns what came, when it is whole or given up. */
    ReceivedStream complete(String token, String prompt, int tokens, ReceivedStream stream)
            throws InterruptedException {
        byte[] body =
                Json.encode(
                        Map.of(
                                "model",
                                DemoSite.MODEL,
                                "prompt",
                                prompt,
                                "max_tokens",
                                tokens,
                                "stream",
                                true));
        for (int i = 0; i < MAX_CONNECTIONS && !stream.isDone(); i++) {
            if (i > 0) {
                mReconnects.incrementAndGet();
                Thread.sleep(PAUSE_MILLIS);
            }
            String instance = pick();
            Map<String, String> headers = new HashMap<>();
            headers.put("Authorization", "Bearer " + token);
            if (stream.lastEventId().isEmpty()) {
                String url = "http://" + instance + "/v1/completions";
                mClient.stream(HttpMethod.POST, url, headers, body, stream).join();
            } else {
                headers.put("Last-Event-ID", stream.lastEventId());
                String url = "http://" + instance + "/v1/streams";
                mClient.stream(HttpMethod.GET, url, headers, new byte[0], stream).join();
            }
            if (stream.isGone()) {
                stream.startAnew();
            }
            if (stream.isCutByShutdown()) {
                stream.goOn();
            }
            if (!stream.error().isEmpty()) {
                break;
            }
        }
        return stream;
    }

    /** Sends a call to the plain service that must not be repeated. */
    CompletableFuture<ApiClient.Answer> hold(String token, String key, String content) {
        Map<String, String> headers =
                Map.of(
                        "Authorization",
                        "Bearer " + token,
                        "Idempotency-Key",
                        key,
                        "Quilldyke-Repeatable",
                        "false");
        String url = "http://" + pick() + "/services/" + DemoSite.SERVICE + "/holds";
        return mClient.send(
                HttpMethod.POST, url, headers, content.getBytes(StandardCharsets.UTF_8));
    }

    int reconnects() {
        return mReconnects.get();
    }

    private String pick() {
        List<String> ready = mReady.get();
        return ready.get(Math.floorMod(mNext.getAndIncrement(), ready.size()));
    }
}
