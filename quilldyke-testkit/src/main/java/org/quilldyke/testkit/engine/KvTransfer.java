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
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.quilldyke.testkit.http.Json;
import org.quilldyke.testkit.http.StandInHost;

/**
 * Moves an engine's blocks to and from the store of kept KV cache.
 *
 * <p>Only blocks that the engine holds are exported, and only under the salt under which it
 * computed them; what is imported is asked for by the same salt and key, and its content is
 * compared with them.
 */
final class KvTransfer {
    private final StandInHost mHost;
    private final BlockCache mCache;
    private final EventFeed mFeed;

    KvTransfer(StandInHost host, BlockCache cache, EventFeed feed) {
        mHost = host;
        mCache = cache;
        mFeed = feed;
    }

    /** Serves {@code POST /kv/export}. */
    Promise<HttpResponse> export(JsonNode order) {
        String salt = order.path("salt").asText();
        List<Promise<Boolean>> writes = new ArrayList<>();
        for (String key : keys(order)) {
            if (salt.equals(mCache.saltOf(Long.parseUnsignedLong(key, 16)))) {
                HttpRequest request =
                        HttpRequest.put(url(order, key)).withBody(content(salt, key)).build();
                writes.add(
                        mHost.client()
                                .request(request)
                                .map(response -> response.getCode() == 200, e -> false));
            }
        }
        return answer(writes);
    }

    /** Serves {@code POST /kv/import}. */
    Promise<HttpResponse> importBlocks(JsonNode order) {
        String salt = order.path("salt").asText();
        List<Promise<Boolean>> reads = new ArrayList<>();
        for (String key : keys(order)) {
            reads.add(
                    mHost.client()
                            .request(HttpRequest.get(url(order, key)).build())
                            .then(response -> response.loadBody())
                            .map(
                                    body -> {
                                        boolean same = body.isContentEqual(content(salt, key));
                                        if (same) {
                                            store(salt, Long.parseUnsignedLong(key, 16));
                                        }
                                        return same;
                                    },
                                    e -> false));
        }
        return answer(reads);
    }

    private void store(String salt, long key) {
        mFeed.publish("STORED", mCache.store(salt, new long[] {key}));
        mFeed.publish("REMOVED", mCache.evict());
    }

    private static Promise<HttpResponse> answer(List<Promise<Boolean>> moves) {
        return Promises.toList(moves)
                .then(
                        done -> {
                            long moved = done.stream().filter(d -> d).count();
                            return Json.response(200, Map.of("blocks", moved));
                        });
    }

    private static List<String> keys(JsonNode order) {
        List<String> keys = new ArrayList<>();
        order.path("keys").forEach(key -> keys.add(key.asText()));
        return keys;
    }

    private static String url(JsonNode order, String key) {
        String salt = order.path("salt").asText();
        return "http://" + order.path("store").asText() + "/kv/" + salt + "/" + key;
    }

    private static byte[] content(String salt, String key) {
        return (salt + "/" + key).getBytes(StandardCharsets.US_ASCII);
    }
}
