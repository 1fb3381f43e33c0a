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
package org.quilldyke.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;

/**
 * Reads settings strictly.
 *
 * <p>An unknown key, a missing value, a wrong type or an impossible combination is refused with the
 * key's path: a typing mistake must not become a default.
 */
public final class SettingsReader {
    private static final String HASH = "[0-9a-f]{64}";
    private static final String OCTET = "(25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";
    private static final String ADDRESS = OCTET + "(\\." + OCTET + "){3}:\\d{1,5}";
    private static final int MAX_PORT = 65_535;

    private SettingsReader() {}

    /**
     * Reads and checks a site's settings.
     *
     * @param file the JSON file
     * @throws QuilldykeException with a code from 4001 to 4006 that says what is wrong and where
     */
    public static Site read(Path file) throws QuilldykeException {
        byte[] text;
        try {
            text = Files.readAllBytes(file);
        } catch (IOException e) {
            throw StrictJson.refused(ResultCode.SETTINGS_UNREADABLE, file.toString(), e.toString());
        }
        return parse(text);
    }

    /**
     * Parses and checks a site's settings.
     *
     * @throws QuilldykeException as {@link #read}
     */
    public static Site parse(byte[] text) throws QuilldykeException {
        Site site = StrictJson.parse(text, Site.class);
        check(site);
        return site;
    }

    private static void check(Site site) throws QuilldykeException {
        require(!site.cell().isBlank(), "cell", "is empty");
        require(site.operatorTokenHash().matches(HASH), "operatorTokenHash", "is no SHA-256");
        require(!site.instances().isEmpty(), "instances", "is empty");
        Set<String> ids = new HashSet<>();
        Set<String> addresses = new HashSet<>();
        Set<String> folders = new HashSet<>();
        for (int i = 0; i < site.instances().size(); i++) {
            Site.Instance instance = site.instances().get(i);
            String at = "instances[" + i + "].";
            require(!instance.id().isBlank(), at + "id", "is empty");
            require(!instance.id().contains("/"), at + "id", "contains a slash");
            require(ids.add(instance.id()), at + "id", "is used twice");
            checkAddress(instance.traffic(), at + "traffic", addresses);
            checkAddress(instance.platform(), at + "platform", addresses);
            checkAddress(instance.internal(), at + "internal", addresses);
            require(!instance.roles().isEmpty(), at + "roles", "is empty");
            boolean folder = !instance.dataFolder().isBlank();
            require(folder || !instance.control(), at + "dataFolder", "is empty on a replica");
            require(
                    !folder || folders.add(instance.dataFolder()),
                    at + "dataFolder",
                    "is used twice");
        }
        int replicas = site.replicas().size();
        require(replicas % 2 == 1, "instances", "has " + replicas + " replicas, not an odd number");
        checkLimits(site.limits());
        checkTimings(site.timings());
    }

    private static void checkAddress(String address, String path, Set<String> seen)
            throws QuilldykeException {
        require(address.matches(ADDRESS), path, "is not IP:port");
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        require(port > 0 && port <= MAX_PORT, path, "has a port out of range");
        require(seen.add(address), path, "is used twice: " + address);
    }

    private static void checkLimits(Site.Limits limits) throws QuilldykeException {
        requirePositive("limits.bodyBytes", limits.bodyBytes());
        requirePositive("limits.answerBytes", limits.answerBytes());
        requirePositive("limits.openRequests", limits.openRequests());
        requirePositive("limits.trafficThreads", limits.trafficThreads());
        requirePositive("limits.attempts", limits.attempts());
        require(
                limits.retryShare() >= 0 && limits.retryShare() <= 1,
                "limits.retryShare",
                "is not between 0 and 1");
    }

    private static void checkTimings(Site.Timings t) throws QuilldykeException {
        for (int value :
                List.of(t.targetLease(), t.exchange(), t.suspicion(), t.leaderLease(), t.stall())) {
            requirePositive("timings", value);
        }
        for (int value :
                List.of(t.firstToken(), t.drain(), t.loadPoll(), t.claimRun(), t.claimKeep())) {
            requirePositive("timings", value);
        }
        require(t.resumeGrace() >= 0, "timings.resumeGrace", "is negative");
        require(t.readyGrace() >= 0, "timings.readyGrace", "is negative");
        require(
                t.suspicion() > 2 * t.exchange(),
                "timings.suspicion",
                "is not more than twice timings.exchange");
        require(
                t.targetLease() > 2 * t.exchange(),
                "timings.targetLease",
                "is not more than twice timings.exchange");
        require(
                t.claimKeep() > t.claimRun(),
                "timings.claimKeep",
                "is not more than timings.claimRun");
    }

    private static void requirePositive(String path, long value) throws QuilldykeException {
        require(value > 0, path, "is not positive: " + value);
    }

    private static void require(boolean holds, String path, String reason)
            throws QuilldykeException {
        if (!holds) {
            throw StrictJson.refused(ResultCode.SETTINGS_IMPOSSIBLE, path, reason);
        }
    }
}
