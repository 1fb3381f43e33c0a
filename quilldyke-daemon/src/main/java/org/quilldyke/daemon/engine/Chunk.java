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
package org.quilldyke.daemon.engine;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * One chunk of an answer, as the engine sent it.
 *
 * @param position its place in the answer
 * @param data its JSON, passed on as it is
 * @param text the text in it
 * @param finishReason why the answer ends with it, or null if it goes on
 * @param cachedUnits prompt units found in the cache, -1 if the chunk doesn't say
 */
public record Chunk(int position, byte[] data, String text, String finishReason, int cachedUnits) {
    private static final JsonFactory FACTORY = new JsonFactory();

    /**
     * Reads a completion chunk or a chat completion chunk.
     *
     * @throws IOException if the data isn't JSON
     */
    public static Chunk parse(int position, byte[] data) throws IOException {
        String text = "";
        String finish = null;
        int cached = -1;
        try (JsonParser parser = FACTORY.createParser(data)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                if (token != JsonToken.FIELD_NAME) {
                    continue;
                }
                switch (parser.currentName()) {
                    case "text", "content" -> text = orEmpty(parser.nextTextValue());
                    case "finish_reason" -> finish = parser.nextTextValue();
                    case "cached_tokens" -> cached = parser.nextIntValue(-1);
                    default -> {
                        // Passed on unread.
                    }
                }
            }
        }
        return new Chunk(position, data, text, finish, cached);
    }

    private static String orEmpty(String text) {
        return text == null ? "" : text;
    }
}
