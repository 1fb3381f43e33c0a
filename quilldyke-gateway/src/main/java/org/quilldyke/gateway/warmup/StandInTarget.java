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

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.gateway.dialect.SampleCalls;

/** A target on loopback that answers as the samples say. */
final class StandInTarget implements AutoCloseable {
    private static final int BACKLOG = 20;
    private static final String LENGTH = "content-length:";

    private final ServerSocket mServer;
    private final SampleCalls mSamples;
    private final EventLog mLog;

    private StandInTarget(ServerSocket server, SampleCalls samples, EventLog log) {
        mServer = server;
        mSamples = samples;
        mLog = log;
    }

    /** Starts to listen on a free port. */
    static StandInTarget start(String ip, SampleCalls samples, EventLog log) throws IOException {
        ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getByName(ip));
        StandInTarget target = new StandInTarget(server, samples, log);
        startThread(target::accept);
        return target;
    }

    String address() {
        return mServer.getInetAddress().getHostAddress() + ":" + mServer.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                startThread(() -> serve(socket));
            } catch (IOException e) {
                if (!mServer.isClosed()) {
                    mLog.fault(e, "stand-in target");
                }
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (String call = readCall(in); !call.isEmpty(); call = readCall(in)) {
                out.write(mSamples.answer(call).getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
        } catch (IOException e) {
            // The rehearsal ends with its connections open; nothing hangs on their last bytes.
            mLog.write(Event.WATCH_FAILED, "detail", e.toString());
        }
    }

    /** Returns a call's head, once its body has been read too; empty at the end. */
    private static String readCall(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        int next = in.read();
        while (next >= 0) {
            head.append((char) next);
            if (next == '\n' && head.length() >= 4 && isEnded(head)) {
                in.readNBytes(bodyLength(head.toString()));
                return head.toString();
            }
            next = in.read();
        }
        return "";
    }

    private static boolean isEnded(StringBuilder head) {
        return head.substring(head.length() - 4).equals("\r\n\r\n");
    }

    private static int bodyLength(String head) {
        return head.lines()
                .map(line -> line.toLowerCase(Locale.ROOT))
                .filter(line -> line.startsWith(LENGTH))
                .mapToInt(line -> Integer.parseInt(line.substring(LENGTH.length()).trim()))
                .findFirst()
                .orElse(0);
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "stand-in target");
        thread.setDaemon(true);
        thread.start();
    }
}
