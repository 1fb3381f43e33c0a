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
package org.quilldyke.testkit.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Short forms for the stand-ins' JSON. */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Returns a new, empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Returns the tree of a text.
     *
     * @throws IOException if the text isn't JSON
     */
    public static JsonNode parse(byte[] text) throws IOException {
        return MAPPER.readTree(text);
    }

    /** Returns the text of any value. */
    public static byte[] bytes(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the text of any value, on one line. */
    public static String text(Object value) {
        return new String(bytes(value), StandardCharsets.UTF_8);
    }

    /** Returns a response with a JSON body. */
    public static Promise<HttpResponse> response(int status, Object body) {
        return HttpResponse.ofCode(status)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(bytes(body))
                .toPromise();
    }

    /** Returns a refusal that says that nothing ran. */
    public static Promise<HttpResponse> refusal(int status, String reason) {
        ObjectNode body = object();
        body.put("reason", reason).put("outcome", "not-run");
        return response(status, body);
    }
}
