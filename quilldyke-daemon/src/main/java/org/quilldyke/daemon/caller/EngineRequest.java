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

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quilldyke.control.Configuration;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.engine.CacheScope;
import org.quilldyke.engine.TargetRecord;

/**
 * A request as engines get it.
 *
 * @param number its number in this process
 * @param organisation whose it is
 * @param model the model
 * @param path the API's path
 * @param body the caller's JSON, or null where an answer is only resumed
 * @param chat whether it is a chat completion
 * @param maxTokens the length of the answer at most
 * @param urgency from 0, most urgent, to 7
 * @param deadlineAt when the answer is of no more use
 * @param repeatable whether another run is allowed
 */
record EngineRequest(
        long number,
        String organisation,
        Configuration.Model model,
        String path,
        ObjectNode body,
        boolean chat,
        int maxTokens,
        int urgency,
        long deadlineAt,
        boolean repeatable) {

    private static final int USUAL_URGENCY = 3;

    /** Returns the engines' form of a caller's request. */
    static EngineRequest of(CallerRequest r) {
        return new EngineRequest(
                r.number(),
                r.organisation().name(),
                r.model(),
                r.path(),
                r.body(),
                r.chat(),
                r.maxTokens(),
                r.urgency(),
                r.deadlineAt(),
                r.repeatable());
    }

    /** Returns a request that can be resumed where it runs, but not run again. */
    static EngineRequest resumeOnly(long number, String organisation, Configuration.Model model) {
        return new EngineRequest(
                number, organisation, model, "", null, false, 0, 0, Long.MAX_VALUE, false);
    }

    /** Returns the bounds of reuse for a prompt. */
    static CacheScope scope(String organisation, String model, String weights) {
        return new CacheScope(organisation, model, weights, "");
    }

    /** Returns whether engines let it go ahead of requests of the usual urgency. */
    boolean isUrgent() {
        return urgency < USUAL_URGENCY;
    }

    /** Returns the cache salt for engines with the given weights. */
    String saltFor(String weights) {
        return scope(organisation, model.name(), weights).salt();
    }

    /**
     * Returns the body of an attempt.
     *
     * @param target who gets it
     * @param text what earlier attempts have answered; the engine goes on after it
     * @param position the tokens in it
     */
    byte[] bodyFor(TargetRecord target, String text, int position) {
        ObjectNode out = body.deepCopy();
        out.put("stream", true);
        out.putObject("stream_options").put("include_usage", true);
        out.put("cache_salt", saltFor(target.weights()));
        out.put("priority", urgency);
        out.remove("max_completion_tokens");
        out.put("max_tokens", maxTokens - position);
        if (position > 0) {
            out.put("start_position", position);
            if (chat) {
                ((ArrayNode) out.get("messages"))
                        .addObject()
                        .put("role", "assistant")
                        .put("content", text);
                out.put("continue_final_message", true);
                out.put("add_generation_prompt", false);
            } else {
                out.put("prompt", out.path("prompt").asText() + text);
            }
        }
        return Json.encode(out);
    }
}
