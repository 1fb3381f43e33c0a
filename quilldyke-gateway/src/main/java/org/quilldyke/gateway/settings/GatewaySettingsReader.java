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
package org.quilldyke.gateway.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.json.JsonTree;
import org.quilldyke.daemon.settings.StrictJson;
import org.quilldyke.engine.SocketAddresses;
import org.quilldyke.quota.QuotaTolerance;
import org.quilldyke.rollout.RolloutTolerance;

/** Reads the settings of a gateway process; each error names the key's path and the reason. */
public final class GatewaySettingsReader {
    private static final int MAX_PORT = 65_535;

    private GatewaySettingsReader() {}

    /**
     * Reads and checks the settings.
     *
     * @param file the JSON file
     * @throws QuilldykeException with a code from 4001 to 4006
     */
    public static GatewaySettings read(Path file) throws QuilldykeException {
        byte[] text;
        try {
            text = Files.readAllBytes(file);
        } catch (IOException e) {
            throw StrictJson.refused(ResultCode.SETTINGS_UNREADABLE, file.toString(), e.toString());
        }
        return parse(text);
    }

    /**
     * Parses and checks the settings.
     *
     * @throws QuilldykeException as {@link #read}
     */
    public static GatewaySettings parse(byte[] text) throws QuilldykeException {
        GatewaySettings settings = decode(text);
        require(!settings.instance().isBlank(), "instance", "is empty");
        require(SocketAddresses.isIp(settings.ip()), "ip", "is no IPv4 address");
        require(
                isPort(settings.firstPort()) && isPort(settings.firstPort() + 1),
                "firstPort",
                "is out of range");
        checkAddress("callers", settings.callers());
        checkAddress("ready", settings.ready());
        checkAddress("control", settings.control());
        for (int i = 0; i < settings.seeds().size(); i++) {
            checkAddress("seeds[" + i + "]", settings.seeds().get(i));
        }
        checkDistinct(settings);
        require(settings.toleratedLosses() >= 0, "toleratedLosses", "is negative");
        checkRole(settings);
        checkTimings(settings.timings());
        checkQuotaTolerance(settings.quotaTolerance());
        checkRollout(settings.rollout());
        return settings;
    }

    private static GatewaySettings decode(byte[] text) throws QuilldykeException {
        SettingsObject in;
        try {
            in = SettingsObject.of(JsonTree.readStrictly(text));
        } catch (IOException e) {
            String reason = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            throw StrictJson.refused(ResultCode.SETTINGS_SYNTAX, "", reason);
        }
        GatewaySettings settings =
                new GatewaySettings(
                        in.text("instance"),
                        role(in),
                        in.text("failureDomain"),
                        in.text("callers"),
                        in.text("ready"),
                        in.text("control"),
                        in.text("ip"),
                        in.smallInteger("firstPort"),
                        in.texts("seeds"),
                        in.flag("firstStart"),
                        in.text("dataFolder"),
                        in.smallInteger("toleratedLosses"),
                        timings(in.object("timings")),
                        quotaTolerance(in.object("quotaTolerance")),
                        rollout(in.object("rollout")),
                        in.textsByKey("regions"));
        in.end();
        return settings;
    }

    private static QuotaTolerance quotaTolerance(SettingsObject in) throws QuilldykeException {
        QuotaTolerance tolerance =
                new QuotaTolerance(
                        in.integer("windowMillis"), in.number("overrun"), in.number("slack"));
        in.end();
        return tolerance;
    }

    private static RolloutTolerance rollout(SettingsObject in) throws QuilldykeException {
        RolloutTolerance tolerance =
                new RolloutTolerance(
                        in.number("maxShare"), in.number("slack"), in.integer("rollbackMillis"));
        in.end();
        return tolerance;
    }

    private static GatewaySettings.Role role(SettingsObject in) throws QuilldykeException {
        String name = in.text("role");
        for (GatewaySettings.Role role : GatewaySettings.Role.values()) {
            if (role.key().equals(name)) {
                return role;
            }
        }
        throw in.wrong("role", "a role: " + name);
    }

    private static GatewaySettings.Timings timings(SettingsObject in) throws QuilldykeException {
        GatewaySettings.Timings timings =
                new GatewaySettings.Timings(
                        in.integer("targetReport"),
                        in.integer("apply"),
                        in.integer("revoke"),
                        in.integer("grace"),
                        in.integer("orderLease"),
                        in.integer("convergence"),
                        in.integer("retryWindow"),
                        in.number("retryRatio"),
                        in.number("retryFixed"));
        in.end();
        return timings;
    }

    private static void checkRole(GatewaySettings settings) throws QuilldykeException {
        boolean entry = settings.role() == GatewaySettings.Role.ENTRY;
        require(!entry || !settings.callers().isEmpty(), "callers", "is empty at an entry");
        require(entry || !settings.control().isEmpty(), "control", "is empty at a control process");
    }

    private static void checkTimings(GatewaySettings.Timings t) throws QuilldykeException {
        requirePositive("targetReport", t.targetReport());
        requirePositive("apply", t.apply());
        requirePositive("revoke", t.revoke());
        requirePositive("grace", t.grace());
        requirePositive("convergence", t.convergence());
        requirePositive("retryWindow", t.retryWindow());
        require(t.orderLease() >= 0, "timings.orderLease", "is negative");
        require(t.retryRatio() >= 0, "timings.retryRatio", "is negative");
        require(t.retryFixed() >= 0, "timings.retryFixed", "is negative");
    }

    private static void checkQuotaTolerance(QuotaTolerance tolerance) throws QuilldykeException {
        require(tolerance.windowMillis() > 0, "quotaTolerance.windowMillis", "is not positive");
        require(tolerance.overrun() >= 0, "quotaTolerance.overrun", "is negative");
        require(tolerance.slack() >= 0, "quotaTolerance.slack", "is negative");
    }

    private static void checkRollout(RolloutTolerance rollout) throws QuilldykeException {
        require(
                rollout.maxShare() >= 0 && rollout.maxShare() <= 1,
                "rollout.maxShare",
                "is not between 0 and 1");
        require(rollout.slack() >= 0, "rollout.slack", "is negative");
        require(rollout.rollbackMillis() >= 0, "rollout.rollbackMillis", "is negative");
    }

    private static void checkAddress(String path, String address) throws QuilldykeException {
        if (address.isEmpty()) {
            return;
        }
        require(SocketAddresses.isIpAndPort(address), path, "is not IP:port: " + address);
    }

    /** A duplicate address can't be bound; a duplicate seed would have two votes. */
    private static void checkDistinct(GatewaySettings settings) throws QuilldykeException {
        Set<String> own = new HashSet<>();
        for (String address : List.of(settings.callers(), settings.ready(), settings.control())) {
            require(
                    address.isEmpty() || own.add(address),
                    "callers, ready, control",
                    "name an address twice: " + address);
        }
        Set<String> seeds = new HashSet<>();
        for (int i = 0; i < settings.seeds().size(); i++) {
            String seed = settings.seeds().get(i);
            require(seeds.add(seed), "seeds[" + i + "]", "is named before: " + seed);
        }
    }

    private static boolean isPort(int port) {
        return port > 0 && port <= MAX_PORT;
    }

    private static void requirePositive(String key, long value) throws QuilldykeException {
        require(value > 0, "timings." + key, "is not positive: " + value);
    }

    private static void require(boolean holds, String path, String reason)
            throws QuilldykeException {
        if (!holds) {
            throw StrictJson.refused(ResultCode.SETTINGS_IMPOSSIBLE, path, reason);
        }
    }
}
