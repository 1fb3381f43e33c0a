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
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.control.ReplicaJson;
import org.quilldyke.daemon.json.JsonTree;
import org.quilldyke.engine.ServedVersion;
import org.quilldyke.engine.VersionHistory;
import org.quilldyke.engine.VersionStanding;
import org.quilldyke.manifest.FleetCommand;
import org.quilldyke.manifest.FleetState;
import org.quilldyke.rollout.Rollout;
import org.quilldyke.rollout.RolloutPhase;
import org.quilldyke.rollout.ServiceVersions;

/** JSON encoding of log commands, of state snapshots and of a replica's identity. */
final class FleetJson {
    private static final String TYPE = "type";
    private static final String VERSION = "version";
    private static final String DOCUMENT = "document";
    private static final String INDEX = "index";
    private static final String SERVICE = "service";
    private static final String DURATION = "durationMillis";
    private static final String PHASE = "phase";
    private static final String RETIRED = "retired";
    private static final String ROLLOUTS = "rollouts";
    private static final String SERVED = "servedVersions";
    private static final String STANDING = "standing";
    private static final String COMPLETE = "servedVersionsComplete";

    private FleetJson() {}

    static byte[] encode(FleetCommand command) {
        ObjectNode tree = JsonTree.object().put(TYPE, command.getClass().getSimpleName());
        if (command instanceof FleetCommand.PublishManifest c) {
            tree.put(VERSION, c.version()).put(DOCUMENT, c.document());
        } else if (command instanceof FleetCommand.NameWeights c) {
            tree.put("model", c.model()).put(VERSION, c.version());
        } else if (command instanceof FleetCommand.TakeFence c) {
            tree.put("holder", c.holder());
        } else if (command instanceof FleetCommand.StartRollout c) {
            tree.put(SERVICE, c.service())
                    .put(VERSION, c.version())
                    .put(DURATION, c.durationMillis());
        } else if (command instanceof FleetCommand.SetRolloutPhase c) {
            tree.put(SERVICE, c.service()).put(INDEX, c.index()).put(PHASE, c.phase().name());
            c.retired().forEach(tree.putArray(RETIRED)::add);
        } else if (command instanceof FleetCommand.RecordVersions c) {
            tree.put(COMPLETE, c.completes());
            encode(c.changes(), tree.putArray(SERVED));
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
            case "StartRollout" ->
                    new FleetCommand.StartRollout(
                            ReplicaJson.text(tree, SERVICE),
                            ReplicaJson.text(tree, VERSION),
                            number(tree, DURATION));
            case "SetRolloutPhase" ->
                    new FleetCommand.SetRolloutPhase(
                            ReplicaJson.text(tree, SERVICE),
                            number(tree, INDEX),
                            phase(tree),
                            retired(tree));
            case "RecordVersions" ->
                    new FleetCommand.RecordVersions(
                            servedVersions(tree), tree.path(COMPLETE).asBoolean());
            default -> throw QuilldykeException.notRun(ResultCode.MALFORMED_BODY, TYPE);
        };
    }

    static byte[] encode(FleetState.Snapshot snapshot) {
        ObjectNode tree =
                JsonTree.object()
                        .put(VERSION, snapshot.version())
                        .put(DOCUMENT, snapshot.document())
                        .put(INDEX, snapshot.lastChangeIndex());
        ObjectNode weights = tree.putObject("weights");
        snapshot.weights().forEach(weights::put);
        if (!snapshot.versions().isEmpty()) {
            ArrayNode rollouts = tree.putArray(ROLLOUTS);
            snapshot.versions()
                    .values()
                    .forEach(versions -> encode(versions, rollouts.addObject()));
        }
        if (!snapshot.versionHistory().equals(VersionHistory.NONE)) {
            tree.put(COMPLETE, snapshot.versionHistory().isComplete());
            encode(snapshot.versionHistory().served(), tree.putArray(SERVED));
        }
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
        // Snapshots of earlier program versions have no rollouts and no served versions.
        TreeMap<String, ServiceVersions> versions = new TreeMap<>();
        for (JsonNode item : tree.path(ROLLOUTS)) {
            ServiceVersions decoded = serviceVersions(item);
            versions.put(decoded.rollout().service(), decoded);
        }
        return new FleetState.Snapshot(
                number(tree, VERSION),
                bytes(tree, DOCUMENT),
                number(tree, INDEX),
                weights,
                versions,
                VersionHistory.of(tree.path(COMPLETE).asBoolean(), servedVersions(tree)));
    }

    private static void encode(List<ServedVersion> versions, ArrayNode out) {
        for (ServedVersion served : versions) {
            out.addObject()
                    .put(SERVICE, served.service())
                    .put(VERSION, served.version())
                    .put(STANDING, served.standing().name());
        }
    }

    private static List<ServedVersion> servedVersions(JsonNode tree) throws QuilldykeException {
        List<ServedVersion> versions = new ArrayList<>();
        for (JsonNode item : tree.path(SERVED)) {
            versions.add(
                    new ServedVersion(
                            ReplicaJson.text(item, SERVICE),
                            ReplicaJson.text(item, VERSION),
                            standing(item)));
        }
        return versions;
    }

    private static VersionStanding standing(JsonNode tree) throws QuilldykeException {
        String name = ReplicaJson.text(tree, STANDING);
        for (VersionStanding standing : VersionStanding.values()) {
            if (standing.name().equals(name)) {
                return standing;
            }
        }
        throw QuilldykeException.notRun(ResultCode.MALFORMED_BODY, STANDING + ": " + name);
    }

    private static void encode(ServiceVersions versions, ObjectNode out) {
        Rollout rollout = versions.rollout();
        out.put(SERVICE, rollout.service())
                .put(VERSION, rollout.version())
                .put(DURATION, rollout.durationMillis())
                .put(INDEX, rollout.index())
                .put(PHASE, rollout.phase().name());
        versions.retired().forEach(out.putArray(RETIRED)::add);
    }

    private static ServiceVersions serviceVersions(JsonNode tree) throws QuilldykeException {
        Rollout rollout =
                new Rollout(
                        ReplicaJson.text(tree, SERVICE),
                        ReplicaJson.text(tree, VERSION),
                        number(tree, DURATION),
                        number(tree, INDEX),
                        phase(tree));
        return new ServiceVersions(rollout, retired(tree));
    }

    private static RolloutPhase phase(JsonNode tree) throws QuilldykeException {
        String name = ReplicaJson.text(tree, PHASE);
        for (RolloutPhase phase : RolloutPhase.values()) {
            if (phase.name().equals(name)) {
                return phase;
            }
        }
        throw QuilldykeException.notRun(ResultCode.MALFORMED_BODY, PHASE + ": " + name);
    }

    private static List<String> retired(JsonNode tree) throws QuilldykeException {
        List<String> versions = new ArrayList<>();
        for (JsonNode item : tree.path(RETIRED)) {
            if (!item.isTextual()) {
                throw QuilldykeException.notRun(ResultCode.MALFORMED_BODY, RETIRED);
            }
            versions.add(item.asText());
        }
        return versions;
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
