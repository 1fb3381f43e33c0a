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
package org.quilldyke.gateway.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.control.ReplicaJson;
import org.quilldyke.daemon.json.JsonTree;
import org.quilldyke.manifest.FleetCommand;
import org.quilldyke.manifest.FleetState;

/** JSON encoding of log commands, of state snapshots and of a replica's identity. */
final class FleetJson {
    private static final String TYPE = "type";
    private static final String VERSION = "version";
    private static final String DOCUMENT = "document";

    private FleetJson() {}

    static byte[] encode(FleetCommand command) {
        ObjectNode tree = JsonTree.object().put(TYPE, command.getClass().getSimpleName());
        if (command instanceof FleetCommand.PublishManifest c) {
            tree.put(VERSION, c.version()).put(DOCUMENT, c.document());
        } else if (command instanceof FleetCommand.NameWeights c) {
            tree.put("model", c.model()).put(VERSION, c.version());
        } else if (command instanceof FleetCommand.TakeFence c) {
            tree.put("holder", c.holder());
        }
        return JsonTree.write(tree);
    }

    static FleetCommand decodeCommand(byte[] bytes) throws QuilldykeException {
        JsonNode tree = JsonTree.read(bytes);
        return switch (ReplicaJson.text(tree, TYPE)) {
            case "PublishManifest" ->
                    new FleetCommand.PublishManifest(number(tree, VERSION), bytes(tree, DOCUMENT));
            case "NameWeights" ->
                    new FleetCommand.NameWeights(
                            ReplicaJson.text(tree, "model"), number(tree, VERSION));
            case "TakeFence" -> new FleetCommand.TakeFence(ReplicaJson.text(tree, "holder"));
            default -> throw QuilldykeException.notRun(ResultCode.MALFORMED_BODY, TYPE);
        };
    }

    static byte[] encode(FleetState.Snapshot snapshot) {
        ObjectNode tree =
                JsonTree.object()
                        .put(VERSION, snapshot.version())
                        .put(DOCUMENT, snapshot.document())
                        .put("index", snapshot.lastChangeIndex());
        ObjectNode weights = tree.putObject("weights");
        snapshot.weights().forEach(weights::put);
        return JsonTree.write(tree);
    }

    static FleetState.Snapshot decodeSnapshot(byte[] bytes) throws QuilldykeException {
        JsonNode tree = JsonTree.read(bytes);
        TreeMap<String, Long> weights = new TreeMap<>();
        Iterator<Map.Entry<String, JsonNode>> fields = tree.path("weights").fields();
        while (fields.hasNext()) {
            Map.Entry<String, JsonNode> field = fields.next();
            weights.put(field.getKey(), number(tree.path("weights"), field.getKey()));
        }
        return new FleetState.Snapshot(
                number(tree, VERSION), bytes(tree, DOCUMENT), number(tree, "index"), weights);
    }

    static byte[] encode(ReplicaIdentity identity) {
        ObjectNode tree = JsonTree.object().put("id", identity.id());
        tree.set("initial", ReplicaJson.tree(identity.initialMembership()));
        return JsonTree.write(tree);
    }

    static ReplicaIdentity decodeIdentity(byte[] bytes) throws QuilldykeException {
        JsonNode tree = JsonTree.read(bytes);
        return new ReplicaIdentity(
                ReplicaJson.text(tree, "id"), ReplicaJson.membership(tree.path("initial")));
    }

    private static long number(JsonNode tree, String key) throws QuilldykeException {
        if (!tree.path(key).isIntegralNumber()) {
            throw QuilldykeException.notRun(ResultCode.MALFORMED_BODY, key);
        }
        return tree.path(key).asLong();
    }

    private static byte[] bytes(JsonNode tree, String key) throws QuilldykeException {
        try {
            byte[] bytes = tree.path(key).binaryValue();
            if (bytes != null) {
                return bytes;
            }
        } catch (IOException e) {
            throw QuilldykeException.notRun(ResultCode.MALFORMED_BODY, key + ": " + e);
        }
        throw QuilldykeException.notRun(ResultCode.MALFORMED_BODY, key);
    }
}
