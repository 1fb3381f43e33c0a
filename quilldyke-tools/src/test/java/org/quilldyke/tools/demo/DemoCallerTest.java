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

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.quilldyke.tools.client.ApiClient;
import org.quilldyke.tools.client.ReceivedStream;

/** A caller once resumed a stream that was no longer held until it gave up. */
final class DemoCallerTest {
    private final AtomicInteger mRequests = new AtomicInteger();
    private final AtomicInteger mResumptions = new AtomicInteger();
    private HttpServer mInstance;
    private ApiClient mClient;

    @BeforeEach
    void start() throws IOException {
        mInstance =
                HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        mInstance.createContext("/v1/completions", this::complete);
        mInstance.createContext("/v1/streams", this::resume);
        mInstance.start();
        mClient = ApiClient.open();
    }

    @AfterEach
    void stop() {
        mClient.close();
        mInstance.stop(0);
    }

    @Test
    @Timeout(20)
    void requestIsSentAnewWhenItsStreamIsGone() throws Exception {
        String address = "127.0.0.1:" + mInstance.getAddress().getPort();
        DemoCaller caller = new DemoCaller(mClient, () -> List.of(address));

        ReceivedStream stream = caller.complete("token", "prompt", 2, new ReceivedStream());

        assertThat(stream.isDone()).isTrue();
        assertThat(stream.text()).isEqualTo("ab");
        assertThat(stream.chunks()).isEqualTo(2);
        assertThat(mRequests.get()).isEqualTo(2);
        assertThat(mResumptions.get()).isEqualTo(1);
    }

    /** The first stream ends after its first event. */
    private void complete(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        String events =
                mRequests.incrementAndGet() == 1
                        ? event("1", "x")
                        : event("1", "a") + event("2", "b") + "data: [DONE]\n\n";
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        answer(exchange, 200, events);
    }

    private void resume(HttpExchange exchange) throws IOException {
        mResumptions.incrementAndGet();
        exchange.getResponseHeaders().set("Quilldyke-Code", "QR2013");
        answer(exchange, 410, "QR2013");
    }

    private static void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static String event(String id, String text) {
        return "id: " + id + "\ndata: {\"choices\":[{\"text\":\"" + text + "\"}]}\n\n";
    }
}
