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
package org.quilldyke.daemon.engine;

import static com.google.common.truth.Truth.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers of targets that no grammar of HTTP/1.1 allows. */
class EngineClientTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String BODY = "broken";
    private static final String LENGTH = "Content-Length: 6\r\n\r\n" + BODY;
    private static final String CHUNKS = "\r\n\r\n6\r\n" + BODY + "\r\n0\r\n\r\n";
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final long LIMIT_MILLIS = 2000;

    /** Guards against a status that is a part of what the target sent. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "001", "099", "99", "600", "999", "1000", "0200", "+20", "2x0"})
    void invalidStatusIsAFailure(String status) throws Exception {
        assertThat(send("HTTP/1.1 " + status + " OK\r\n" + LENGTH)).startsWith("failed");
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/2.0", "HTTP/9.9", "HTTP/0.9", "http/1.1", " HTTP/1.1", "ICY"})
    void invalidVersionIsAFailure(String version) throws Exception {
        assertThat(send(version + " 200 OK\r\n" + LENGTH)).startsWith("failed");
    }

    /** Guards against fields that are ignored because of a blank or control byte in their names. */
    @ParameterizedTest
    @ValueSource(strings = {"X Field: 1", "X-Field : 1", "X\u0001Field: 1", "X-Field", ": 1"})
    void invalidFieldNameIsAFailure(String line) throws Exception {
        assertThat(send(OK + line + "\r\n" + LENGTH)).startsWith("failed");
    }

    @Test
    void lengthWithBlankInItsNameIsAFailure() throws Exception {
        assertThat(send(OK + LENGTH.replace('-', ' '))).startsWith("failed");
    }

    /** Guards against chunks that are taken for the body. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: xchunked",
                "Transfer-Encoding : chunked",
                "Transfer-Encoding: chunked, chunked",
                "Transfer-Encoding: chunked;q=1",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip"
            })
    void unknownTransferCodingIsAFailure(String line) throws Exception {
        assertThat(send(OK + line + CHUNKS)).startsWith("failed");
    }

    @ParameterizedTest
    @ValueSource(strings = {LENGTH, "Transfer-Encoding: chunked" + CHUNKS, "\r\n" + BODY})
    void soundAnswerIsRead(String rest) throws Exception {
        assertThat(send(OK + rest)).isEqualTo("200 " + BODY);
    }

    /** Returns the status and body of an answer, or how it failed. */
    private static String send(String answer) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            Thread thread = new Thread(() -> serve(server, answer));
            thread.setDaemon(true);
            thread.start();
            Eventloop reactor = Eventloop.builder().withCurrentThread().build();
            EngineClient client = EngineClient.create(reactor);
            String url = "http://127.0.0.1:" + server.getLocalPort() + "/x";
            String[] result = {"no answer"};
            reactor.post(
                    () ->
                            client.send(HttpRequest.get(url).build())
                                    .then(EngineClientTest::read)
                                    .then(Promise::of, e -> Promise.of("failed: " + e))
                                    .whenResult(
                                            text -> {
                                                result[0] = text;
                                                reactor.breakEventloop();
                                            }));
            reactor.schedule(reactor.currentTimeMillis() + LIMIT_MILLIS, reactor::breakEventloop);
            reactor.run();
            return result[0];
        }
    }

    private static Promise<String> read(HttpResponse response) {
        return response.loadBody(MAX_BODY_BYTES)
                .map(body -> response.getCode() + " " + body.getString(StandardCharsets.UTF_8));
    }

    private static void serve(ServerSocket server, String answer) {
        try (Socket socket = server.accept()) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String line;
            do {
                line = in.readLine();
            } while (line != null && !line.isEmpty());
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }
}
