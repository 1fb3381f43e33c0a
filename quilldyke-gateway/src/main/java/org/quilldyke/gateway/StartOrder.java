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
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.quilldyke.gateway.settings.GatewaySettings;

/**
 * Which of two processes of one machine starts first.
 *
 * <p>After a loss of all, entries wait for control processes. Where both stand on one small
 * machine, the entry lets the other one go first: together on a core they took 0.5 s to a control
 * process that listens, which alone takes 0.3 s.
 */
final class StartOrder {
    /** A control process that isn't up by then has more in its way than this entry. */
    private static final long MAX_MILLIS = 450;

    private static final int STEP_MILLIS = 30;

    /** Within this it meets its peers and one of them is elected; this entry couldn't serve yet. */
    private static final long ELECTION_MILLIS = 250;

    private StartOrder() {}

    /** Waits a little, at an entry, for a control process of its machine that is to start too. */
    static void await(GatewaySettings settings) {
        if (settings.role() != GatewaySettings.Role.ENTRY || settings.firstStart()) {
            return;
        }
        String control = settings.internalAddress(settings.ip());
        if (!settings.seedAddresses().contains(control)) {
            return;
        }
        if (isListening(settings.ip(), settings.firstPort())) {
            return;
        }
        long until = GatewayProcess.now() + MAX_MILLIS;
        while (GatewayProcess.now() < until && !isListening(settings.ip(), settings.firstPort())) {
            pause(STEP_MILLIS);
        }
        pause(ELECTION_MILLIS);
    }

    private static boolean isListening(String ip, int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), STEP_MILLIS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
