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
package org.quilldyke.tools.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpMethod;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.quilldyke.QuilldykeException;
import org.quilldyke.control.Intent;
import org.quilldyke.daemon.QuilldykeInstance;
import org.quilldyke.daemon.caller.CallerHeaders;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.daemon.json.JsonTree;
import org.quilldyke.testkit.engine.InstantEngine;
import org.quilldyke.tools.client.ApiClient;
import org.quilldyke.tools.client.OperatorClient;
import org.quilldyke.tools.client.ReceivedStream;
import org.quilldyke.tools.demo.DemoSite;

/**
 * What one instance adds between callers and engines: time to the first chunk and requests a
 * second, through the relay and straight to the same engines, in turn.
 */
public final class RelayBench implements AutoCloseable {
    private static final int CLIENTS = 3;
    private static final int ENGINES = 2;
    private static final int ROUNDS = 5;
    private static final String TOKEN = "bench";

    private final DemoSite mSite;
    private final List<InstantEngine> mEngines = new ArrayList<>();
    private final List<String> mEngineAddresses = new ArrayList<>();
    private final List<ApiClient> mClients = new ArrayList<>();
    private final byte[] mBody;

    private RelayBench(DemoSite site, int promptChars) {
        mSite = site;
        mBody =
                Json.encode(
                        Map.of(
                                "model",
                                DemoSite.MODEL,
                                "prompt",
                                "x".repeat(promptChars),
                                "max_tokens",
                                8,
                                "stream",
                                true));
    }

    /**
     * Starts one instance and two engines that answer at once.
     *
     * @param folder for the instance's files
     * @param promptChars the length of each prompt
     */
    public static RelayBench start(Path folder, int promptChars)
            throws IOException, QuilldykeException, InterruptedException {
        RelayBench bench = new RelayBench(DemoSite.plan(1, 1, folder), promptChars);
        bench.start();
        return bench;
    }

    /** Measures both ways in turn and returns the figures with their medians. */
    public ObjectNode run(int requests, int concurrency) throws InterruptedException {
        String relay = mSite.instances().get(0).self().traffic();
        measure(List.of(relay), requests, concurrency);
        measure(mEngineAddresses, requests, concurrency);
        double[] added = new double[ROUNDS];
        double[] relayed = new double[ROUNDS];
        double[] ratio = new double[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            double direct = measure(mEngineAddresses, requests / 10, 1).medianMillis();
            double through = measure(List.of(relay), requests / 10, 1).medianMillis();
            added[i] = through - direct;
            Round loaded = measure(List.of(relay), requests, concurrency);
            Round straight = measure(mEngineAddresses, requests, concurrency);
            relayed[i] = loaded.perSecond();
            ratio[i] = loaded.perSecond() / straight.perSecond();
        }
        ObjectNode out = JsonTree.object();
        out.put("bench", "relay").put("requests", requests).put("concurrency", concurrency);
        out.put("body_bytes", mBody.length).put("rounds", ROUNDS);
        out.put("added_first_chunk_p50_ms", median(added));
        out.put("relayed_requests_a_second", median(relayed));
        out.put("relayed_to_direct_rate", median(ratio));
        return out;
    }

    @Override
    public void close() {
        mClients.forEach(ApiClient::close);
        mEngines.forEach(InstantEngine::kill);
        mSite.stop();
    }

    private void start() throws IOException, QuilldykeException, InterruptedException {
        mSite.startInstances();
        QuilldykeInstance instance = mSite.instances().get(0);
        for (int i = 0; i < CLIENTS; i++) {
            mClients.add(ApiClient.open());
        }
        while (!instance.isLeader()) {
            Thread.sleep(10);
        }
        String traffic = instance.self().traffic();
        OperatorClient operator =
                OperatorClient.at(mClients.get(0), traffic, DemoSite.OPERATOR_TOKEN);
        operator.state(
                "1",
                "1",
                "bench",
                new Intent.PutOrganisation("bench", List.of(CallerHeaders.sha256(TOKEN)), 0));
        operator.confirm("1");
        operator.state(
                "2", "2", "bench", new Intent.PutModel(DemoSite.MODEL, DemoSite.MODEL, "w1"));
        operator.confirm("2");
        for (int i = 0; i < ENGINES; i++) {
            String address = DemoSite.freeAddress();
            mEngineAddresses.add(address);
            mEngines.add(
                    InstantEngine.start(
                            "instant-" + i,
                            mSite.site().cell(),
                            DemoSite.MODEL,
                            address,
                            List.of(traffic),
                            8));
        }
        while (!instance.isReady() || instance.knownTargets() < ENGINES) {
            Thread.sleep(10);
        }
    }

    private Round measure(List<String> addresses, int requests, int concurrency) {
        Histogram histogram = new ConcurrentHistogram(3);
        AtomicInteger left = new AtomicInteger(requests);
        AtomicInteger failed = new AtomicInteger();
        long startedAt = System.nanoTime();
        List<CompletableFuture<Void>> lanes = new ArrayList<>();
        for (int i = 0; i < concurrency; i++) {
            String address = addresses.get(i % addresses.size());
            ApiClient client = mClients.get(i % mClients.size());
            lanes.add(lane(client, address, left, failed, histogram));
        }
        lanes.forEach(CompletableFuture::join);
        double seconds = (System.nanoTime() - startedAt) / 1e9;
        if (failed.get() > 0) {
            throw new IllegalStateException(failed.get() + " requests were not answered whole");
        }
        return new Round(histogram.getValueAtPercentile(50) / 1000.0, requests / seconds);
    }

    private CompletableFuture<Void> lane(
            ApiClient client,
            String address,
            AtomicInteger left,
            AtomicInteger failed,
            Histogram histogram) {
        if (left.getAndDecrement() <= 0) {
            return CompletableFuture.completedFuture(null);
        }
        ReceivedStream stream = new ReceivedStream();
        return client.stream(
                        HttpMethod.POST,
                        "http://" + address + "/v1/completions",
                        Map.of("Authorization", "Bearer " + TOKEN),
                        mBody,
                        stream)
                .thenCompose(
                        v -> {
                            if (!stream.isDone()) {
                                failed.incrementAndGet();
                            }
                            histogram.recordValue(Math.round(stream.firstChunkMillis() * 1000));
                            return lane(client, address, left, failed, histogram);
                        });
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return Math.round(sorted[sorted.length / 2] * 1000) / 1000.0;
    }

    private record Round(double medianMillis, double perSecond) {}
}
