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
package org.quilldyke.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.gateway.dialect.Dialect;
import org.quilldyke.gateway.settings.GatewaySettings;

/**
 * Runs an entry and a control process on loopback for a moment, so that the Java machine can write
 * an archive of the classes that a start loads ({@code -XX:ArchiveClassesAtExit}).
 */
public final class WarmUp {
    private static final String LOOPBACK = "127.0.0.1";
    private static final long RUN_MILLIS = 2500;

    private WarmUp() {}

    /**
     * Starts both, waits and stops them.
     *
     * @throws QuilldykeException if they can't be started
     */
    public static void run(Dialect dialect) throws QuilldykeException {
        try {
            Path folder = Files.createTempDirectory("quilldyke-warm-up");
            int internal = freePort();
            int control = freePort();
            GatewayProcess first =
                    GatewayProcess.start(
                            settings(GatewaySettings.Role.CONTROL, internal, control, folder),
                            dialect);
            GatewayProcess second =
                    GatewayProcess.start(
                            settings(GatewaySettings.Role.ENTRY, internal, control, folder),
                            dialect);
            TimeUnit.MILLISECONDS.sleep(RUN_MILLIS);
            second.halt();
            first.halt();
            delete(folder);
        } catch (IOException e) {
            throw QuilldykeException.of(ResultCode.INTERNAL, Outcome.NOT_RUN, e.toString(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    private static GatewaySettings settings(
            GatewaySettings.Role role, int internal, int control, Path folder) throws IOException {
        boolean entry = role == GatewaySettings.Role.ENTRY;
        String controlAddress = LOOPBACK + ":" + control;
        return new GatewaySettings(
                "warm-up",
                role,
                "here",
                entry ? LOOPBACK + ":" + freePort() : "",
                entry ? LOOPBACK + ":" + freePort() : "",
                entry ? "" : controlAddress,
                LOOPBACK,
                internal,
                List.of(controlAddress),
                true,
                folder.toString(),
                1,
                new GatewaySettings.Timings(1000, 5000, 8000, 3000, 10_000, 10_000, 0.2, 10));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            return socket.getLocalPort();
        }
    }
}
