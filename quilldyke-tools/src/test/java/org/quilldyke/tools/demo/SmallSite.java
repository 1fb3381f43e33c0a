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
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.quilldyke.QuilldykeException;
import org.quilldyke.control.Intent;
import org.quilldyke.daemon.QuilldykeInstance;
import org.quilldyke.daemon.caller.CallerHeaders;
import org.quilldyke.daemon.control.ReplicaStorage;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.tools.client.ApiClient;
import org.quilldyke.tools.client.OperatorClient;
import org.quilldyke.tools.client.ReceivedStream;

/** Three instances, two engines and a plain service, for end-to-end tests. */
final class SmallSite implements AutoCloseable {
    static final String TOKEN = "token-examiners";
    static final String OTHER_TOKEN = "token-surveyors";
    static final String LIMITED_TOKEN = "token-limited";

    final DemoSite mSite;
    final ApiClient mClient = ApiClient.open();
    private int mNumber;

    private SmallSite(DemoSite site) {
        mSite = site;
    }

    static SmallSite start(Path folder)
            throws IOException, QuilldykeException, InterruptedException {
        return start(DemoSite.plan(3, 3, folder));
    }

    static SmallSite start(Path folder, ReplicaStorage.Opener disks)
            throws IOException, QuilldykeException, InterruptedException {
        DemoSite site = DemoSite.plan(3, 3, folder);
        site.useDisks(disks);
        return start(site);
    }

    static SmallSite start(DemoSite site)
            throws IOException, QuilldykeException, InterruptedException {
        SmallSite small = new SmallSite(site);
        small.mSite.startInstances();
        await(() -> small.mSite.leader() != null);
        small.put("examiners", TOKEN, 0);
        small.put("surveyors", OTHER_TOKEN, 0);
        small.put("limited", LIMITED_TOKEN, 1);
        small.apply(new Intent.PutModel(DemoSite.MODEL, DemoSite.MODEL, "w1"));
        small.mSite.startEngines(2, "w1");
        small.mSite.startServices(1);
        await(() -> small.mSite.instances().stream().allMatch(QuilldykeInstance::isReady));
        await(() -> small.mSite.instances().stream().allMatch(i -> i.knownTargets() == 3));

        await(() -> small.mSite.instances().stream().allMatch(QuilldykeInstance::isTrusted));
        return small;
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > until) {
                throw new AssertionError("waited in vain");
            }
            Thread.sleep(10);
        }
    }

    String address(int instance) {
        return mSite.instances().get(instance).self().traffic();
    }

    OperatorClient operator(int instance) {
        return OperatorClient.at(mClient, address(instance), DemoSite.OPERATOR_TOKEN);
    }

    String apply(Intent intent) throws QuilldykeException {
        return apply(intent, 0);
    }

    String apply(Intent intent, int instance) throws QuilldykeException {
        String number = "n-" + (++mNumber);
        operator(instance).state(number, "id-" + mNumber, "tester", intent);
        OperatorClient.Reply reply = operator(instance).confirm(number);
        if (!reply.isOk()) {
            throw new AssertionError(reply.body());
        }
        return number;
    }

    ApiClient.Answer post(int instance, String path, String body, String... headers) {
        return mClient.send(
                        HttpMethod.POST,
                        "http://" + address(instance) + path,
                        headers(headers),
                        body.getBytes(StandardCharsets.UTF_8))
                .join();
    }

    CompletableFuture<ApiClient.Answer> hold(int instance, String key, String body) {
        return mClient.send(
                HttpMethod.POST,
                "http://" + address(instance) + "/services/" + DemoSite.SERVICE + "/holds",
                headers(
                        "Authorization",
                        "Bearer " + TOKEN,
                        "Idempotency-Key",
                        key,
                        "Quilldyke-Repeatable",
                        "false"),
                body.getBytes(StandardCharsets.UTF_8));
    }

    CompletableFuture<Void> stream(
            int instance, String prompt, int tokens, ReceivedStream stream, String... headers) {
        return mClient.stream(
                HttpMethod.POST,
                "http://" + address(instance) + "/v1/completions",
                headers(withToken(headers)),
                completion(prompt, tokens, true).getBytes(StandardCharsets.UTF_8),
                stream);
    }

    CompletableFuture<Void> resume(int instance, String token, ReceivedStream stream) {
        return mClient.stream(
                HttpMethod.GET,
                "http://" + address(instance) + "/v1/streams",
                headers("Authorization", "Bearer " + token, "Last-Event-ID", stream.lastEventId()),
                new byte[0],
                stream);
    }

    static String completion(String prompt, int tokens, boolean stream) {
        return Json.text(
                Map.of(
                        "model",
                        DemoSite.MODEL,
                        "prompt",
                        prompt,
                        "max_tokens",
                        tokens,
                        "stream",
                        stream));
    }

    @Override
    public void close() {
        mSite.stop();
        mClient.close();
    }

    private void put(String name, String token, int limit) throws QuilldykeException {
        apply(new Intent.PutOrganisation(name, List.of(CallerHeaders.sha256(token)), limit));
    }

    private static String[] withToken(String... headers) {
        String[] all = Arrays.copyOf(headers, headers.length + 2);
        all[headers.length] = "Authorization";
        all[headers.length + 1] = "Bearer " + TOKEN;
        return all;
    }

    private static Map<String, String> headers(String... pairs) {
        Map<String, String> headers = new HashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            headers.put(pairs[i], pairs[i + 1]);
        }
        return headers;
    }
}
