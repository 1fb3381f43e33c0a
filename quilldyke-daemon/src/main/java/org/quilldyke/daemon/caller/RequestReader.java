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
import io.activej.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.control.Configuration;
import org.quilldyke.daemon.json.JsonTree;
import org.quilldyke.engine.ChatTemplate;

/** Reads completion requests and refuses what can't be served, each with its code. */
final class RequestReader {
    private static final int DEFAULT_TOKENS = 16;
    private static final int MAX_TOKENS = 1 << 20;

    private final String mIdPrefix;
    private final AtomicLong mNumbers = new AtomicLong();

    private RequestReader(String idPrefix) {
        mIdPrefix = idPrefix;
    }

    /**
     * Returns a reader.
     *
     * @param instance this instance
     * @param incarnation its incarnation; with the instance it makes the ids unique
     */
    static RequestReader create(String instance, long incarnation) {
        return new RequestReader(instance + "-" + Long.toString(incarnation, 36) + "-");
    }

    /** Returns a new request number. */
    long nextNumber() {
        return mNumbers.incrementAndGet();
    }

    /** Returns the id of the request with a number. */
    String idOf(long number) {
        return mIdPrefix + number;
    }

    /** Reads a request; {@code now} starts its deadline. */
    CallerRequest read(HttpRequest request, byte[] bytes, Configuration configuration, long now)
            throws QuilldykeException {
        Configuration.Organisation organisation =
                CallerHeaders.organisation(request, configuration);
        JsonNode tree = JsonTree.read(bytes);
        if (!(tree instanceof ObjectNode body)) {
            throw malformed("not an object");
        }
        Configuration.Model model = model(body, configuration);
        boolean chat = request.getPath().endsWith("/chat/completions");
        if (body.path("n").asInt(1) != 1) {
            throw malformed("n must be 1");
        }
        long number = nextNumber();
        return new CallerRequest(
                idOf(number),
                number,
                organisation,
                model,
                request.getPath(),
                body,
                chat,
                prompt(body, chat).getBytes(StandardCharsets.UTF_8),
                maxTokens(body),
                flag(body, "stream"),
                CallerHeaders.urgency(request),
                CallerHeaders.deadlineAt(request, now),
                CallerHeaders.repeatable(request, true),
                CallerHeaders.key(request),
                CallerHeaders.sha256(bytes));
    }

    private static Configuration.Model model(ObjectNode body, Configuration configuration)
            throws QuilldykeException {
        JsonNode name = body.path("model");
        if (!name.isTextual()) {
            throw malformed("model must be a string");
        }
        Configuration.Model model = configuration.models().get(name.asText());
        if (model == null) {
            throw QuilldykeException.notRun(ResultCode.UNKNOWN_MODEL, name.asText());
        }
        return model;
    }

    private static String prompt(ObjectNode body, boolean chat) throws QuilldykeException {
        if (chat) {
            return ChatTemplate.render(messages(body), false);
        }
        if (!body.path("prompt").isTextual()) {
            throw malformed("prompt must be a string");
        }
        return body.path("prompt").asText();
    }

    private static List<ChatTemplate.Message> messages(ObjectNode body) throws QuilldykeException {
        JsonNode list = body.path("messages");
        if (!list.isArray() || list.isEmpty()) {
            throw malformed("messages must be a list with an entry");
        }
        List<ChatTemplate.Message> messages = new ArrayList<>();
        for (JsonNode message : list) {
            JsonNode role = message.path("role");
            JsonNode content = message.path("content");
            if (!role.isTextual() || !content.isTextual()) {
                throw malformed("a message needs role and content as strings");
            }
            messages.add(new ChatTemplate.Message(role.asText(), content.asText()));
        }
        return messages;
    }

    private static int maxTokens(ObjectNode body) throws QuilldykeException {
        String name = body.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
        JsonNode value = body.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return DEFAULT_TOKENS;
        }
        if (!value.isInt() || value.asInt() < 1 || value.asInt() > MAX_TOKENS) {
            throw malformed(name + " must be a whole number from 1 to " + MAX_TOKENS);
        }
        return value.asInt();
    }

    private static boolean flag(ObjectNode body, String name) throws QuilldykeException {
        JsonNode value = body.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return false;
        }
        if (!value.isBoolean()) {
            throw malformed(name + " must be true or false");
        }
        return value.asBoolean();
    }

    private static QuilldykeException malformed(String detail) {
        return QuilldykeException.notRun(ResultCode.MALFORMED_BODY, detail);
    }
}
