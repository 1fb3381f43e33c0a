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
package org.quilldyke.gateway.warmup;

import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.gateway.GatewayProcess;
import org.quilldyke.gateway.dialect.Dialect;
import org.quilldyke.gateway.dialect.SampleCalls;
import org.quilldyke.gateway.settings.GatewaySettings;
import org.quilldyke.gateway.settings.GatewaySettingsReader;
import org.quilldyke.quota.QuotaTolerance;
import org.quilldyke.rollout.RolloutTolerance;

/**
 * Plays a start with its first requests on loopback, so that the Java machine can write an archive
 * of the classes that they load ({@code -XX:ArchiveClassesAtExit}).
 *
 * <p>Two entries find no control process yet; three control processes start with empty disks, take
 * a manifest and a target's report; requests are answered; all are killed and start again with
 * their disks. What isn't rehearsed is loaded from the jars at its first use, later by some 0.5 ms
 * a class on three quarters of a core.
 */
public final class WarmUp {
    private static final String IP_PREFIX = "127.0.0.";
    private static final int LOWEST_PORT = 12_000;
    private static final int HIGHEST_PORT = 32_000;
    private static final int PORT_TRIES = 100;
    private static final Random PORTS = new Random();
    private static final int TRIES = 3;
    private static final int CONTROL_PROCESSES = 3;
    private static final int ENTRIES = 2;
    private static final long GRACE_MILLIS = 8000;
    private static final int SOCKET_TIMEOUT_MILLIS = 3000;

    /** A sample that isn't taken for this long is left out: the archive lacks its classes then. */
    private static final long SAMPLE_MILLIS = 5000;

    private static final long RETRY_MILLIS = 50;

    /** Within this, watchers have asked the target twice and entries were told what others do. */
    private static final long SETTLE_MILLIS = 1200;

    private final Dialect mDialect;
    private final SampleCalls mSamples;
    private final Path mFolder;
    private final int mInternalPort = freePort();
    private final int mControlPort = freePort();
    private final int mCallerPort = freePort();
    private final int mReadyPort = freePort();
    private final List<GatewayProcess> mProcesses = new ArrayList<>();
    private int mServed;

    private WarmUp(Dialect dialect, SampleCalls samples, Path folder) throws IOException {
        mDialect = dialect;
        mSamples = samples;
        mFolder = folder;
    }

    /**
     * Plays all of it.
     *
     * @param dialect how callers, targets and operators speak
     * @param samples messages in their words
     * @return how many of the samples were answered with success, both times they were sent
     * @throws QuilldykeException if the processes can't be started
     */
    public static int run(Dialect dialect, SampleCalls samples) throws QuilldykeException {
        for (int i = 1; ; i++) {
            try {
                return tryRun(dialect, samples);
            } catch (QuilldykeException e) {
                // A port may have been taken since it was found free.
                if (e.code() != ResultCode.ADDRESS_IN_USE || i == TRIES) {
                    throw e;
                }
            }
        }
    }

    private static int tryRun(Dialect dialect, SampleCalls samples) throws QuilldykeException {
        try {
            Path folder = Files.createTempDirectory("quilldyke-warm-up");
            WarmUp warmUp = new WarmUp(dialect, samples, folder);
            warmUp.play();
            delete(folder);
            return warmUp.mServed;
        } catch (IOException e) {
            throw QuilldykeException.of(ResultCode.INTERNAL, Outcome.NOT_RUN, e.toString(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw QuilldykeException.of(ResultCode.INTERNAL, Outcome.NOT_RUN, "interrupted", e);
        }
    }

    private void play() throws IOException, InterruptedException, QuilldykeException {
        EventLog log = EventLog.of("warm-up");
        try (StandInTarget target = StandInTarget.start(IP_PREFIX + 1, mSamples, log)) {
            for (boolean first : new boolean[] {true, false}) {
                startAll(first);
                for (String call : mSamples.controlCalls(target.address())) {
                    send(IP_PREFIX + 1, mControlPort, call);
                }
                for (String request : mSamples.requests()) {
                    send(IP_PREFIX + 1, mCallerPort, request);
                }
                TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
                haltAll();
            }
        } finally {
            haltAll();
        }
    }

    private void haltAll() {
        mProcesses.forEach(GatewayProcess::halt);
        mProcesses.clear();
    }

    private void startAll(boolean first) throws IOException, QuilldykeException {
        for (int machine = 1; machine <= ENTRIES; machine++) {
            start(GatewaySettings.Role.ENTRY, machine, first);
        }
        for (int machine = 1; machine <= CONTROL_PROCESSES; machine++) {
            start(GatewaySettings.Role.CONTROL, machine, first);
        }
    }

    /** Starts a process from a file of settings, as it is done in earnest. */
    private void start(GatewaySettings.Role role, int machine, boolean first)
            throws IOException, QuilldykeException {
        Path file = mFolder.resolve(role + "-" + machine + ".json");
        Files.writeString(file, Json.text(settings(role, machine, first)));
        mProcesses.add(
                GatewayProcess.start(
                        GatewaySettingsReader.read(file), mDialect, GatewayProcess.now()));
    }

    /** Sends a call, again until it is answered with success. */
    private void send(String ip, int port, String call) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SAMPLE_MILLIS);
        while (System.nanoTime() < until) {
            if (isServed(ip, port, call)) {
                mServed++;
                return;
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        }
    }

    private static boolean isServed(String ip, int port, String call) {
        try (Socket socket = new Socket(ip, port)) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            socket.getOutputStream().write(call.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            byte[] answer = socket.getInputStream().readAllBytes();
            return new String(answer, StandardCharsets.ISO_8859_1).startsWith("HTTP/1.1 2");
        } catch (IOException e) {
            // Not listening yet, or slow: it is sent again until its time is over.
            return false;
        }
    }

    private GatewaySettings settings(GatewaySettings.Role role, int machine, boolean first) {
        boolean entry = role == GatewaySettings.Role.ENTRY;
        String ip = IP_PREFIX + machine;
        List<String> seeds = new ArrayList<>();
        for (int i = 1; i <= CONTROL_PROCESSES; i++) {
            seeds.add(IP_PREFIX + i + ":" + mControlPort);
        }
        return new GatewaySettings(
                "warm-up-" + machine,
                role,
                "domain-" + machine,
                entry ? ip + ":" + mCallerPort : "",
                entry ? ip + ":" + mReadyPort : "",
                entry ? "" : ip + ":" + mControlPort,
                ip,
                mInternalPort,
                seeds,
                first,
                entry ? "" : mFolder.resolve("data-" + machine).toString(),
                1,
                new GatewaySettings.Timings(
                        1000, 2500, 5000, GRACE_MILLIS, 3000, 10_000, 10_000, 0.2, 10),
                new QuotaTolerance(8000, 0.1, 0),
                RolloutTolerance.NO_ROLLOUTS,
                Map.of());
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /**
     * Returns a port that nobody listens on. It is below those that the system gives to outgoing
     * connections: one of them once had the port before the process that was to listen on it.
     */
    private static int freePort() throws IOException {
        for (int i = 0; i < PORT_TRIES; i++) {
            int port = LOWEST_PORT + PORTS.nextInt(HIGHEST_PORT - LOWEST_PORT);
            try (ServerSocket socket = new ServerSocket(port)) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // In use; another one is tried.
            }
        }
        throw new IOException("no free port in " + PORT_TRIES + " tries");
    }
}
