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

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.quilldyke.caller.ChunkId;
import org.quilldyke.engine.LoadReport;
import org.quilldyke.engine.TargetRecord;
import org.quilldyke.testkit.http.Announcer;
import org.quilldyke.testkit.http.Json;
import org.quilldyke.testkit.http.StandInHost;

/** An engine that answers each request at once with the same few tokens, to measure relays with. */
public final class InstantEngine {
    private static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");
    private static final HttpHeader ATTEMPT = HttpHeaders.of("Quilldyke-Attempt");
    private static final int BODY_LIMIT = 64 << 20;

    private final StandInHost mHost;
    private final TargetRecord mRecord;
    private final int mTokens;

    private InstantEngine(StandInHost host, TargetRecord record, int tokens) {
        mHost = host;
        mRecord = record;
        mTokens = tokens;
    }

    /**
     * Starts an engine.
     *
     * @param id the target's id
     * @param cell its cell
     * @param model its model and service
     * @param address where it listens, {@code IP:port}
     * @param instances where it announces itself
     * @param tokens the length of each answer
     * @throws IOException if its address can't be bound
     */
    public static InstantEngine start(
            String id,
            String cell,
            String model,
            String address,
            List<String> instances,
            int tokens)
            throws IOException {
        StandInHost host = StandInHost.at(id, address);
        TargetRecord record =
                new TargetRecord(
                        id,
                        TargetRecord.Kind.ENGINE,
                        cell,
                        model,
                        address,
                        "local",
                        System.currentTimeMillis(),
                        0,
                        model,
                        "w1",
                        4096,
                        100_000,
                        true,
                        false);
        InstantEngine engine = new InstantEngine(host, record, tokens);
        host.start(engine.servlet());
        host.call(() -> Announcer.start(host, instances, () -> record));
        return engine;
    }

    /** Stops at once. */
    public void kill() {
        mHost.kill();
    }

    private AsyncServlet servlet() {
        return RoutingServlet.builder(mHost.reactor())
                .with(HttpMethod.POST, "/v1/completions", this::complete)
                .with(
                        HttpMethod.GET,
                        "/load",
                        r -> Json.response(200, new LoadReport(mRecord.incarnation(), 0, 0, 0, 0)))
                .with(
                        HttpMethod.GET,
                        "/kv/blocks",
                        r ->
                                Json.response(
                                        200,
                                        Map.of(
                                                "incarnation",
                                                mRecord.incarnation(),
                                                "sequence",
                                                0,
                                                "keys",
                                                List.of())))
                .with(HttpMethod.GET, "/kv/events", r -> Json.refusal(503, "none"))
                .build();
    }

    private Promise<HttpResponse> complete(HttpRequest request) {
        String id = request.getHeader(REQUEST_ID);
        String attempt = request.getHeader(ATTEMPT);
        return request.loadBody(BODY_LIMIT)
                .map(
                        body ->
                                HttpResponse.ok200()
                                        .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
                                        .withBodyStream(
                                                ChannelSuppliers.ofValue(
                                                        events(
                                                                id == null ? "direct" : id,
                                                                attempt == null
                                                                        ? 1
                                                                        : Integer.parseInt(
                                                                                attempt))))
                                        .build());
    }

    private ByteBuf events(String id, int attempt) {
        StringBuilder out = new StringBuilder();
        for (int i = 0; i <= mTokens; i++) {
            String finish = i == mTokens ? "\"length\"" : "null";
            out.append("id: ").append(new ChunkId(id, attempt, i).format());
            out.append("\ndata: {\"id\":\"").append(id);
            out.append("\",\"object\":\"text_completion\",\"model\":\"m\",\"choices\":[{");
            out.append("\"index\":0,\"text\":\"word \",\"finish_reason\":").append(finish);
            out.append("}]}\n\n");
        }
        out.append("data: [DONE]\n\n");
        return ByteBuf.wrapForReading(out.toString().getBytes(StandardCharsets.UTF_8));
    }
}
