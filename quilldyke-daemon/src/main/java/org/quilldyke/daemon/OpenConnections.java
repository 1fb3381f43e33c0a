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
package org.quilldyke.daemon;

import io.activej.common.inspector.AbstractInspector;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import io.activej.http.MalformedHttpException;
import io.activej.http.PoolLabel;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * The connections of one traffic thread, and which of them owe an answer.
 *
 * <p>An answer is owed from the end of its request's head until its last byte is with the system.
 */
final class OpenConnections extends AbstractInspector<HttpServer.Inspector>
        implements HttpServer.Inspector {
    private final Map<HttpServerConnection, Integer> mAnswered = new IdentityHashMap<>();

    /** Returns the addresses of the callers who are owed an answer, one for each answer. */
    List<String> owed() {
        List<String> owed = new ArrayList<>();
        mAnswered.forEach(
                (connection, answered) -> {
                    if (isOpen(connection, answered) && !connection.isBodySent()) {
                        owed.add(connection.getRemoteAddress().getHostAddress());
                    }
                });
        return owed;
    }

    /**
     * Returns whether bytes of a request are on their way: of a head, or of a body that is read to
     * its end after the answer, since closing amid it would take the answer from its caller.
     */
    boolean isRequestComing() {
        for (Map.Entry<HttpServerConnection, Integer> entry : mAnswered.entrySet()) {
            HttpServerConnection connection = entry.getKey();
            if (isOpen(connection, entry.getValue())
                    ? connection.isBodySent()
                    : connection.getCurrentPool() == PoolLabel.READ_WRITE) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void onAccept(HttpServerConnection connection) {
        mAnswered.put(connection, 0);
    }

    @Override
    public void onHttpResponseComplete(HttpServerConnection connection) {
        mAnswered.merge(connection, 1, Integer::sum);
    }

    @Override
    public void onDisconnect(HttpServerConnection connection) {
        mAnswered.remove(connection);
    }

    @Override
    public void onHttpRequest(HttpRequest request) {}

    @Override
    public void onHttpResponse(HttpRequest request, HttpResponse response) {}

    @Override
    public void onServletException(HttpRequest request, Exception e) {}

    @Override
    public void onHttpError(HttpServerConnection connection, Exception e) {}

    @Override
    public void onMalformedHttpRequest(
            HttpServerConnection connection, MalformedHttpException e, byte[] bytes) {}

    private static boolean isOpen(HttpServerConnection connection, int answered) {
        return connection.getNumberOfRequests() > answered;
    }
}
