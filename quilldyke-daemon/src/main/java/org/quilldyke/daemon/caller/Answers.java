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
package org.quilldyke.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.bytebuf.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.quilldyke.QuilldykeException;
import org.quilldyke.daemon.engine.Chunk;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.daemon.json.JsonTree;

/** The JSON and event forms of completions that this instance makes itself. */
final class Answers {
    private static final byte[] ID = "id: ".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DATA = "\ndata: ".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] END = "\n\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

    private Answers() {}

    /** Returns the whole answer as one object. */
    static byte[] whole(CallerRequest request, RunRelay relay) throws QuilldykeException {
        ObjectNode out = JsonTree.object();
        out.put("id", request.id());
        out.put("object", request.chat() ? "chat.completion" : "text_completion");
        out.put("model", request.model().name());
        ObjectNode choice = out.putArray("choices").addObject();
        choice.put("index", 0);
        if (request.chat()) {
            choice.putObject("message")
                    .put("role", "assistant")
                    .put("content", relay.answer().text());
        } else {
            choice.put("text", relay.answer().text());
        }
        choice.put("finish_reason", relay.answer().finishReason());
        JsonNode usage = JsonTree.read(relay.answer().closing()).path("usage");
        if (usage.isObject()) {
            out.set("usage", usage);
        }
        return Json.encode(out);
    }

    /** Returns the closing chunk of an answer whose engine was lost after the last token. */
    static byte[] closingChunk(String id, EngineRequest request, String finishReason) {
        ObjectNode out = JsonTree.object();
        out.put("id", id);
        out.put("object", request.chat() ? "chat.completion.chunk" : "text_completion");
        out.put("model", request.model().name());
        ObjectNode choice = out.putArray("choices").addObject();
        choice.put("index", 0);
        if (request.chat()) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", finishReason);
        return Json.encode(out);
    }

    /** Returns a stored whole answer as the events of a stream. */
    static byte[] storedAsEvents(CallerRequest request, byte[] whole) throws QuilldykeException {
        ObjectNode out = (ObjectNode) JsonTree.read(whole);
        ObjectNode choice = (ObjectNode) out.path("choices").path(0);
        if (request.chat()) {
            out.put("object", "chat.completion.chunk");
            choice.set("delta", choice.remove("message"));
        }
        return ("data: " + Json.text(out) + "\n\ndata: [DONE]\n\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns chunks as events, followed by the end mark if the answer is whole. */
    static ByteBuf events(RunRelay relay, List<Chunk> chunks) {
        byte[][] ids = new byte[chunks.size()][];
        int size = relay.answer().isFinished() ? DONE.length : 0;
        for (int i = 0; i < ids.length; i++) {
            Chunk chunk = chunks.get(i);
            ids[i] = relay.eventId(chunk.position()).getBytes(StandardCharsets.UTF_8);
            size += ID.length + ids[i].length + DATA.length + chunk.data().length + END.length;
        }
        byte[] out = new byte[size];
        int at = 0;
        for (int i = 0; i < ids.length; i++) {
            at = put(out, at, ID);
            at = put(out, at, ids[i]);
            at = put(out, at, DATA);
            at = put(out, at, chunks.get(i).data());
            at = put(out, at, END);
        }
        if (relay.answer().isFinished()) {
            put(out, at, DONE);
        }
        return ByteBuf.wrapForReading(out);
    }

    /** Returns the event that ends a stream with an explicit error. */
    static ByteBuf errorEvent(QuilldykeException e) {
        String text = "event: error\ndata: " + Json.text(Responses.error(e)) + "\n\n";
        return ByteBuf.wrapForReading(text.getBytes(StandardCharsets.UTF_8));
    }

    private static int put(byte[] out, int at, byte[] bytes) {
        System.arraycopy(bytes, 0, out, at, bytes.length);
        return at + bytes.length;
    }
}
