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
package org.quilldyke.tools.client;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.quilldyke.daemon.engine.Chunk;
import org.quilldyke.daemon.engine.IpNumbers;
import org.quilldyke.daemon.engine.SseReader;

/** A client of quilldyke's HTTP interface, on a thread of its own. */
public final class ApiClient implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(5);
    private static final int BODY_BYTES = 64 << 20;
    private static final String DONE = "[DONE]";

    private final Eventloop mReactor;
    private HttpClient mClient;

    private ApiClient(Eventloop reactor) {
        mReactor = reactor;
    }

    /** Returns a client; close it when done. */
    public static ApiClient open() {
        Eventloop reactor = Eventloop.builder().withThreadName("client").build();
        reactor.keepAlive(true);
        ApiClient client = new ApiClient(reactor);
        Thread thread = new Thread(reactor, "client");
        thread.setDaemon(true);
        thread.start();
        reactor.submit(
                        () -> {
                            client.mClient =
                                    HttpClient.builder(reactor, IpNumbers.create())
                                            .withConnectTimeout(Duration.ofSeconds(1))
                                            .withReadWriteTimeout(TIMEOUT)
                                            .withKeepAliveTimeout(KEEP_ALIVE)
                                            .build();
                        })
                .join();
        return client;
    }

    /** Sends a request and returns the whole answer; fails if there is none. */
    public CompletableFuture<Answer> send(
            HttpMethod method, String url, Map<String, String> headers, byte[] body) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        mReactor.execute(
                () ->
                        mClient.request(request(method, url, headers, body))
                                .then(ApiClient::whole)
                                .whenResult(answer::complete)
                                .whenException(answer::completeExceptionally));
        return answer;
    }

    /**
     * Sends a completion request and reads its events into {@code stream} as they come.
     *
     * @return completes when the events end in whatever way; {@code stream} tells how
     */
    public CompletableFuture<Void> stream(
            HttpMethod method,
            String url,
            Map<String, String> headers,
            byte[] body,
            ReceivedStream stream) {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        mReactor.execute(
                () ->
                        mClient.request(request(method, url, headers, body))
                                .then(response -> opened(response, stream))
                                .whenException(stream::onBroken)
                                .whenComplete(() -> ended.complete(null)));
        return ended;
    }

    @Override
    public void close() {
        mReactor.execute(
                () -> {
                    mReactor.keepAlive(false);
                    mReactor.breakEventloop();
                });
    }

    private static HttpRequest request(
            HttpMethod method, String url, Map<String, String> headers, byte[] body) {
        HttpRequest.Builder request = HttpRequest.builder(method, url);
        headers.forEach((name, value) -> request.withHeader(HttpHeaders.of(name), value));
        return request.withBody(body).build();
    }

    private static Promise<Answer> whole(HttpResponse response) {
        int status = response.getCode();
        String code = header(response, "Quilldyke-Code");
        String outcome = header(response, "Quilldyke-Outcome");
        String retryAfter = header(response, "Retry-After");
        return response.loadBody(BODY_BYTES)
                .map(
                        body ->
                                new Answer(
                                        status,
                                        code,
                                        outcome,
                                        retryAfter,
                                        body.getString(StandardCharsets.UTF_8)));
    }

    private static Promise<Void> opened(HttpResponse response, ReceivedStream stream) {
        if (response.getCode() != 200) {
            return whole(response).map(answer -> stream.onRefused(answer));
        }
        return follow(SseReader.of(response.takeBodyStream()), stream);
    }

    private static Promise<Void> follow(SseReader events, ReceivedStream stream) {
        return events.read()
                .then(
                        batch -> {
                            if (batch == null) {
                                return Promise.complete();
                            }
                            for (SseReader.SseEvent event : batch) {
                                take(event, stream);
                            }
                            if (stream.isCancelWanted()) {
                                events.close();
                                return Promise.complete();
                            }
                            return follow(events, stream);
                        });
    }

    private static void take(SseReader.SseEvent event, ReceivedStream stream) throws IOException {
        String data = new String(event.data(), StandardCharsets.UTF_8);
        if (data.equals(DONE)) {
            stream.onDone();
        } else if (data.startsWith("{\"error\"")) {
            stream.onError(data);
        } else {
            stream.onChunk(event.id(), Chunk.parse(0, event.data()).text());
        }
    }

    private static String header(HttpResponse response, String name) {
        HttpHeader header = HttpHeaders.of(name);
        String value = response.getHeader(header);
        return value == null ? "" : value;
    }

    /**
     * A whole answer.
     *
     * @param status HTTP status
     * @param code the numbered result code, empty if there was none
     * @param outcome {@code not-run}, {@code ran}, {@code unknown}, or empty
     * @param retryAfter seconds, or empty
     * @param body the body
     */
    public record Answer(int status, String code, String outcome, String retryAfter, String body) {}
}
