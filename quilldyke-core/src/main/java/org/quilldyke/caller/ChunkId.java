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
package org.quilldyke.caller;

/**
 * Identifies a chunk of an answer; engines send it as the id of each event.
 *
 * @param request the request
 * @param attempt the attempt, from 1
 * @param position the position of the chunk in the whole answer, from 0; a later attempt continues
 *     at the position where the previous one stopped
 */
public record ChunkId(String request, int attempt, int position) {
    /** Returns the text form, {@code request/attempt/position}. */
    public String format() {
        return request + "/" + attempt + "/" + position;
    }

    /** Parses the text form; returns null if {@code text} is not a chunk id. */
    public static ChunkId parse(String text) {
        int last = text.lastIndexOf('/');
        int middle = text.lastIndexOf('/', last - 1);
        if (middle <= 0) {
            return null;
        }
        try {
            int attempt = Integer.parseInt(text, middle + 1, last, 10);
            int position = Integer.parseInt(text, last + 1, text.length(), 10);
            return new ChunkId(text.substring(0, middle), attempt, position);
        } catch (NumberFormatException e) {
            // Ids in another format are treated as absent.
            return null;
        }
    }
}
