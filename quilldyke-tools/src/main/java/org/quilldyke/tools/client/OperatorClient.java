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
package org.quilldyke.tools.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpMethod;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.control.Intent;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.daemon.json.JsonTree;

/** An operator's client: states intents, confirms plans, asks for status, at any instance. */
public final class OperatorClient {
    private final ApiClient mClient;
    private final String mAddress;
    private final Map<String, String> mHeaders;

    private OperatorClient(ApiClient client, String address, String token) {
        mClient = client;
        mAddress = address;
        mHeaders = Map.of("Authorization", "Bearer " + token);
    }

    /**
     * Returns a client.
     *
     * @param client sends the requests
     * @param address an instance's traffic address, {@code IP:port}
     * @param token the operators' token
     */
    public static OperatorClient at(ApiClient client, String address, String token) {
        return new OperatorClient(client, address, token);
    }

    /**
     * States an intent; safe to send again with the same id.
     *
     * @param number the operator's number
     * @param intentId the same for each resend
     * @param operator who states it
     * @param intent what is wanted
     * @throws QuilldykeException if the instance can't be reached
     */
    public Reply state(String number, String intentId, String operator, Intent intent)
            throws QuilldykeException {
        ObjectNode body = JsonTree.object();
        body.put("number", number).put("intentId", intentId).put("operator", operator);
        body.set("intent", JsonTree.read(Json.encodeAs(Intent.class, intent)));
        return call(HttpMethod.POST, "/operator/intents", Json.encode(body));
    }

    /** Confirms a plan; safe to send again. */
    public Reply confirm(String number) throws QuilldykeException {
        return call(HttpMethod.POST, "/operator/plans/" + number + "/confirm", new byte[0]);
    }

    /** Returns a plan as the control group has it. */
    public Reply plan(String number) throws QuilldykeException {
        return call(HttpMethod.GET, "/operator/plans/" + number, new byte[0]);
    }

    /** Returns the instance's status. */
    public Reply status() throws QuilldykeException {
        return call(HttpMethod.GET, "/operator/status", new byte[0]);
    }

    /**
     * Orders a rollout at a control process; safe to send again.
     *
     * @param seconds the time within which it is to be completed or reverted
     */
    public Reply startRollout(String service, String version, double seconds)
            throws QuilldykeException {
        ObjectNode body = JsonTree.object();
        body.put("service", service).put("version", version).put("durationSeconds", seconds);
        return call(HttpMethod.POST, "/operator/rollouts", JsonTree.write(body));
    }

    /** Returns the latest rollout of a service, from a control process. */
    public Reply rollout(String service) throws QuilldykeException {
        String name = URLEncoder.encode(service, StandardCharsets.UTF_8).replace("+", "%20");
        return call(HttpMethod.GET, "/operator/rollouts/" + name, new byte[0]);
    }

    /** Returns the live targets. */
    public Reply targets() throws QuilldykeException {
        return call(HttpMethod.GET, "/operator/targets", new byte[0]);
    }

    private Reply call(HttpMethod method, String path, byte[] body) throws QuilldykeException {
        try {
            ApiClient.Answer answer =
                    mClient.send(method, "http://" + mAddress + path, mHeaders, body).join();
            return new Reply(
                    answer.status(), JsonTree.read(answer.body().getBytes(StandardCharsets.UTF_8)));
        } catch (CompletionException e) {
            throw QuilldykeException.of(
                    ResultCode.NOT_READY, Outcome.UNKNOWN, "no answer from " + mAddress, e);
        }
    }

    /**
     * An instance's reply.
     *
     * @param status HTTP status
     * @param body its JSON
     */
    public record Reply(int status, JsonNode body) {
        /** Returns whether the request was accepted. */
        public boolean isOk() {
            return status == 200;
        }
    }
}
