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
package org.quilldyke.tools.demo;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.quilldyke.daemon.settings.Addresses;

/** A caller that sends and reads bytes, for requests sent by halves and answers taken late. */
final class RawCaller implements AutoCloseable {
    /** Longer than any shutdown of the tests; a caller that waits so long got nothing. */
    private static final int READ_MILLIS = (int) TimeUnit.SECONDS.toMillis(15);

    private static final int CONNECT_MILLIS = 1000;
    private static final int SMALL_BUFFER_BYTES = 4096;

    private final Socket mSocket = new Socket();

    private RawCaller() {}

    static RawCaller connect(String address) throws IOException {
        RawCaller caller = new RawCaller();
        // Small, so that the system takes little of an answer that isn't read.
        caller.mSocket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        caller.mSocket.setSoTimeout(READ_MILLIS);
        caller.mSocket.connect(Addresses.parse(address), CONNECT_MILLIS);
        return caller;
    }

    /** Sends the head of a request with a body of the given length. */
    RawCaller head(String method, String path, String token, int length, String... headers)
            throws IOException {
        StringBuilder head = new StringBuilder();
        head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: x\r\n");
        head.append("Authorization: Bearer ").append(token).append("\r\n");
        for (int i = 0; i < headers.length; i += 2) {
            head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        return send(head.append("Content-Length: ").append(length).append("\r\n\r\n").toString());
    }

    RawCaller send(String bytes) throws IOException {
        mSocket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /** Returns all bytes until the connection's end, a reset being an end as well. */
    String untilEnd() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        byte[] buffer = new byte[1 << 16];
        try {
            InputStream in = mSocket.getInputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                bytes.write(buffer, 0, n);
            }
        } catch (SocketException e) {
            bytes.writeBytes("(reset)".getBytes(StandardCharsets.ISO_8859_1));
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the head of an answer. */
    String untilHead() throws IOException {
        StringBuilder head = new StringBuilder();
        InputStream in = mSocket.getInputStream();
        for (int c = in.read(); c >= 0; c = in.read()) {
            head.append((char) c);
            if (head.indexOf("\r\n\r\n") >= 0) {
                break;
            }
        }
        return head.toString();
    }

    /** Returns the body of an answer. */
    static String bodyOf(String answer) {
        int end = answer.indexOf("\r\n\r\n");
        return end < 0 ? "" : answer.substring(end + 4);
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
