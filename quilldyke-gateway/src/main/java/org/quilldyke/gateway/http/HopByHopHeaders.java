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
package org.quilldyke.gateway.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The headers that are never forwarded: those that apply to one connection only (RFC 9110, 7.6.1),
 * and the content length and expectation, which are handled separately for each connection.
 */
public final class HopByHopHeaders {
    private static final Set<String> NAMES =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length",
                    "expect");

    private HopByHopHeaders() {}

    /**
     * Returns the headers that are forwarded.
     *
     * @param headers those of the received message
     * @param isExcluded selects the names of others that aren't forwarded
     */
    public static HttpHeaders endToEnd(HttpHeaders headers, Predicate<String> isExcluded) {
        HttpHeaders endToEnd = new DefaultHttpHeaders();
        Set<String> hopByHop = hopByHopNames(headers);
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey();
            if (!hopByHop.contains(name.toLowerCase(Locale.ROOT)) && !isExcluded.test(name)) {
                endToEnd.add(name, header.getValue());
            }
        }
        return endToEnd;
    }

    /** Returns the names of a message's hop-by-hop headers, in lower case. */
    private static Set<String> hopByHopNames(HttpHeaders headers) {
        List<String> connectionValues = headers.getAll(HttpHeaderNames.CONNECTION);
        if (connectionValues.isEmpty()) {
            return NAMES;
        }
        Set<String> names = new HashSet<>(NAMES);
        for (String line : connectionValues) {
            for (String name : line.split(",")) {
                names.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return names;
    }
}
