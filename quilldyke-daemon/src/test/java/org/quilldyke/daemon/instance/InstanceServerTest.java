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
package org.quilldyke.daemon.instance;

import java.net.InetAddress;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;

/**
 * An instance that was started again right after its end could not bind its address: the end of the
 * one before didn't wait until its socket was closed.
 */
class InstanceServerTest {
    private static final String IP = "127.0.93.1";
    private static final int STARTS = 200;

    @Test
    void addressIsFreeOnceTheServerIsClosed() throws Exception {
        String address = IP + ":" + freePort();
        for (int i = 0; i < STARTS; i++) {
            InstanceServer.start(address, Runnable::run, null).close();
        }
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(IP))) {
            return socket.getLocalPort();
        }
    }
}
