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

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.daemon.json.JsonTree;
import org.quilldyke.engine.BlockChain;
import org.quilldyke.engine.CacheScope;
import org.quilldyke.testkit.engine.EngineSettings;
import org.quilldyke.testkit.engine.EngineStandIn;
import org.quilldyke.testkit.store.KvStoreStandIn;
import org.quilldyke.testkit.store.WeightStoreStandIn;
import org.quilldyke.tools.client.ApiClient;

/** The stores, and engines that export to, import from and load weights from them. */
class StoreStandInTest {
    private static final CacheScope SCOPE = new CacheScope("hall", "lm", "w1", "");

    @Test
    void blocksAreExportedAndImportedUnderTheirScopeOnly() throws Exception {
        String storeAt = DemoSite.freeAddress();
        KvStoreStandIn store = KvStoreStandIn.start(storeAt);
        EngineStandIn first = engine("e1", DemoSite.freeAddress(), true);
        EngineStandIn second = engine("e2", DemoSite.freeAddress(), true);
        try (ApiClient client = ApiClient.open()) {
            List<String> keys = new ArrayList<>();
            for (long key : BlockChain.of(SCOPE, new byte[9000]).keys()) {
                keys.add(Long.toHexString(key));
            }

            var none = post(client, first, "/kv/export", transfer("other", storeAt, keys));
            var out = post(client, first, "/kv/export", transfer(SCOPE.salt(), storeAt, keys));
            var in = post(client, second, "/kv/import", transfer(SCOPE.salt(), storeAt, keys));
            var foreign = post(client, second, "/kv/import", transfer("feed", storeAt, keys));

            assertThat(none.path("blocks").asInt()).isEqualTo(0);
            assertThat(out.path("blocks").asInt()).isEqualTo(0);
            run(client, first);
            out = post(client, first, "/kv/export", transfer(SCOPE.salt(), storeAt, keys));
            in = post(client, second, "/kv/import", transfer(SCOPE.salt(), storeAt, keys));
            foreign = post(client, second, "/kv/import", transfer("feed", storeAt, keys));
            assertThat(out.path("blocks").asInt()).isEqualTo(2);
            assertThat(in.path("blocks").asInt()).isEqualTo(2);
            assertThat(foreign.path("blocks").asInt()).isEqualTo(0);
            assertThat(store.size()).isEqualTo(2);
        } finally {
            first.kill();
            second.kill();
            store.kill();
        }
    }

    @Test
    void moreThanTwoReadersSlowEachOtherDown() throws Exception {
        String address = DemoSite.freeAddress();
        WeightStoreStandIn store = WeightStoreStandIn.start(address, 200);
        try (ApiClient client = ApiClient.open()) {
            long two = read(client, address, 2);
            long six = read(client, address, 6);

            assertThat(store.mostAtOnce()).isEqualTo(6);
            assertThat(six).isGreaterThan(2 * two);
        } finally {
            store.kill();
        }
    }

    @Test
    void oldOrdersAreRefusedByThoseWhoCheckThem() throws Exception {
        EngineStandIn checks = engine("e1", DemoSite.freeAddress(), true);
        EngineStandIn ignores = engine("e2", DemoSite.freeAddress(), false);
        try (ApiClient client = ApiClient.open()) {
            for (EngineStandIn engine : List.of(checks, ignores)) {
                post(client, engine, "/orders", Json.encode(order(9)));
                post(client, engine, "/orders", Json.encode(order(8)));
                post(client, engine, "/orders", Json.encode(order(9)));
            }

            assertThat(checks.ordersRefused()).isEqualTo(1);
            assertThat(ignores.ordersRefused()).isEqualTo(0);
        } finally {
            checks.kill();
            ignores.kill();
        }
    }

    private static Map<String, Object> order(long fencing) {
        return Map.of("fencing", fencing, "number", "n", "weights", "w1");
    }

    private static long read(ApiClient client, String address, int readers) {
        long startedAt = System.nanoTime();
        List<CompletableFuture<ApiClient.Answer>> reads = new ArrayList<>();
        for (int i = 0; i < readers; i++) {
            reads.add(
                    client.send(
                            HttpMethod.GET,
                            "http://" + address + "/weights/lm/w2",
                            Map.of(),
                            new byte[0]));
        }
        reads.forEach(CompletableFuture::join);
        return System.nanoTime() - startedAt;
    }

    private static void run(ApiClient client, EngineStandIn engine) throws Exception {
        byte[] body =
                Json.encode(
                        Map.of(
                                "prompt",
                                new String(new byte[9000], StandardCharsets.UTF_8),
                                "max_tokens",
                                1,
                                "cache_salt",
                                SCOPE.salt()));
        Map<String, String> headers =
                Map.of(
                        "X-Request-Id", "r1",
                        "Quilldyke-Attempt", "1",
                        "Quilldyke-Incarnation", "7",
                        "Quilldyke-Weights", "w1");
        String url = "http://" + engine.settings().address() + "/v1/completions";
        ApiClient.Answer answer = client.send(HttpMethod.POST, url, headers, body).join();
        assertThat(answer.body()).contains("[DONE]");
    }

    private static JsonNode post(ApiClient client, EngineStandIn engine, String path, byte[] body)
            throws Exception {
        String url = "http://" + engine.settings().address() + path;
        ApiClient.Answer answer = client.send(HttpMethod.POST, url, Map.of(), body).join();
        return JsonTree.read(answer.body().getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] transfer(String salt, String store, List<String> keys) {
        return Json.encode(Map.of("salt", salt, "store", store, "keys", keys));
    }

    private static EngineStandIn engine(String id, String address, boolean checksFencing)
            throws Exception {
        return EngineStandIn.start(
                new EngineSettings(
                        id,
                        "c",
                        "lm",
                        address,
                        "d",
                        List.of(),
                        "lm",
                        "w1",
                        4,
                        1000,
                        1,
                        100,
                        checksFencing,
                        10,
                        0,
                        ""),
                7);
    }
}
