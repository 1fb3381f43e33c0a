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
package org.quilldyke.gateway.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.json.JsonTree;
import org.quilldyke.gateway.dialect.ControlCall;
import org.quilldyke.rollout.Rollout;

/**
 * The product's own operator interface for rollouts, beside that of a {@link
 * org.quilldyke.gateway.dialect.ControlDialect}: {@code POST /operator/rollouts} and {@code GET
 * /operator/rollouts/SERVICE}.
 */
final class RolloutCalls {
    private static final String ROLLOUTS = "/operator/rollouts";
    private static final String ROLLOUT = ROLLOUTS + "/";
    private static final double MAX_SECONDS = 86_400;
    private static final double MILLIS_PER_SECOND = 1000;

    private RolloutCalls() {}

    /** Returns whether a path is one of this interface. */
    static boolean isFor(String path) {
        return path.equals(ROLLOUTS) || path.startsWith(ROLLOUT);
    }

    /**
     * Reads a call.
     *
     * @throws QuilldykeException {@link ResultCode#UNKNOWN_PATH} if there is no such call, {@link
     *     ResultCode#MALFORMED_BODY} if an order can't be understood
     */
    static ControlCall read(String method, String path, byte[] body) throws QuilldykeException {
        if (method.equals("POST") && path.equals(ROLLOUTS)) {
            return order(JsonTree.read(body));
        } else if (method.equals("GET") && path.length() > ROLLOUT.length()) {
            return new ControlCall.ReadRollout(decoded(path.substring(ROLLOUT.length())));
        }
        throw QuilldykeException.notRun(ResultCode.UNKNOWN_PATH, method + " " + path);
    }

    /** Returns the body that describes a rollout. */
    static byte[] status(Rollout rollout) {
        return JsonTree.write(
                JsonTree.object()
                        .put("service", rollout.service())
                        .put("version", rollout.version())
                        .put("phase", rollout.phase().name().toLowerCase(Locale.ROOT))
                        .put("durationSeconds", rollout.durationMillis() / MILLIS_PER_SECOND));
    }

    private static ControlCall order(JsonNode tree) throws QuilldykeException {
        double seconds = tree.path("durationSeconds").asDouble();
        // A comparison with a number that isn't one is false.
        if (!(seconds > 0 && seconds <= MAX_SECONDS)) {
            throw QuilldykeException.notRun(ResultCode.MALFORMED_BODY, "durationSeconds");
        }
        long millis = Math.max(1, Math.round(seconds * MILLIS_PER_SECOND));
        return new ControlCall.StartRollout(text(tree, "service"), text(tree, "version"), millis);
    }

    private static String text(JsonNode tree, String key) throws QuilldykeException {
        JsonNode value = tree.path(key);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw QuilldykeException.notRun(ResultCode.MALFORMED_BODY, key);
        }
        return value.asText();
    }

    /** Decodes percent-encoded characters; in a path, a plus sign stands for itself. */
    private static String decoded(String name) throws QuilldykeException {
        try {
            return URLDecoder.decode(name.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw QuilldykeException.of(
                    ResultCode.MALFORMED_BODY, Outcome.NOT_RUN, "service: " + e.getMessage(), e);
        }
    }
}
