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

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.caller.AttemptState;
import org.quilldyke.daemon.json.JsonTree;
import org.quilldyke.engine.TargetRecord;

/**
 * Sends requests to targets; one on each traffic thread.
 *
 * <p>Failures come as {@link AttemptException}, which says how far the attempt had come.
 */
public final class EngineClient {
    /** The request's id, the same for all attempts. */
    public static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");

    /** The attempt's number. */
    public static final HttpHeader ATTEMPT = HttpHeaders.of("Quilldyke-Attempt");

    /** The incarnation that the request is meant for; any other refuses it. */
    public static final HttpHeader INCARNATION = HttpHeaders.of("Quilldyke-Incarnation");

    /** The weight version that the request is meant for; an engine with another refuses it. */
    public static final HttpHeader WEIGHTS = HttpHeaders.of("Quilldyke-Weights");

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1000);
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(20);
    private static final int ERROR_BODY_BYTES = 64 << 10;

    private final HttpClient mClient;

    private EngineClient(HttpClient client) {
        mClient = client;
    }

    /** Returns a client that lives on {@code reactor}. */
    public static EngineClient create(NioReactor reactor) {
        return new EngineClient(
                HttpClient.builder(reactor, IpNumbers.create())
                        .withConnectTimeout(CONNECT_TIMEOUT)
                        .withKeepAliveTimeout(KEEP_ALIVE)
                        .build());
    }

    /**
     * Sends a completion request.
     *
     * @param target where to
     * @param path the API's path
     * @param request the request's id
     * @param attempt the attempt's number
     * @param body the JSON body
     * @return the answer's events
     */
    public Promise<SseReader> complete(
            TargetRecord target, String path, String request, int attempt, byte[] body) {
        HttpRequest http =
                HttpRequest.post("http://" + target.address() + path)
                        .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                        .withHeader(REQUEST_ID, request)
                        .withHeader(ATTEMPT, Integer.toString(attempt))
                        .withHeader(INCARNATION, Long.toString(target.incarnation()))
                        .withHeader(WEIGHTS, target.weights())
                        .withBody(body)
                        .build();
        return send(http).then(EngineClient::events);
    }

    /** Resumes the events of an attempt at a position. */
    public Promise<SseReader> resume(
            TargetRecord target, String request, int attempt, int position, String salt) {
        String url =
                "http://%s/v1/requests/%s?attempt=%d&from=%d&salt=%s"
                        .formatted(target.address(), request, attempt, position, salt);
        return send(HttpRequest.get(url).build()).then(EngineClient::events);
    }

    /** Cancels an attempt, unless somebody else has resumed it. */
    public Promise<Void> cancel(TargetRecord target, String request, int attempt) {
        String url =
                "http://%s/v1/requests/%s/cancel?attempt=%d&if_unread=true"
                        .formatted(target.address(), request, attempt);
        return send(HttpRequest.post(url).build())
                .then(response -> response.loadBody(ERROR_BODY_BYTES).toVoid());
    }

    /** Sends any request; a malformed answer is a failure after which the request may have run. */
    public Promise<HttpResponse> send(HttpRequest request) {
        return mClient.request(request)
                .mapException(
                        e ->
                                isUnconnected(e)
                                        ? new AttemptException(
                                                AttemptState.UNREACHABLE, 0, e.toString())
                                        : new AttemptException(
                                                AttemptState.SENDING, 0, e.toString()))
                .then(EngineClient::checked);
    }

    private static Promise<HttpResponse> checked(HttpResponse response) {
        Optional<String> fault = AnswerHeadCheck.fault(response);
        if (fault.isEmpty()) {
            return Promise.of(response);
        }
        AttemptException malformed =
                new AttemptException(AttemptState.SENDING, 0, "malformed answer: " + fault.get());
        // Closes the connection, whose next bytes may belong to no answer.
        response.takeBodyStream().closeEx(malformed);
        return Promise.ofException(malformed);
    }

    private static Promise<SseReader> events(HttpResponse response) {
        if (response.getCode() == 200) {
            return Promise.of(SseReader.of(response.takeBodyStream()));
        }
        return refused(response);
    }

    /** Returns the failure that an error response stands for. */
    public static <T> Promise<T> refused(HttpResponse response) {
        int status = response.getCode();
        return response.loadBody(ERROR_BODY_BYTES)
                .then(
                        body -> {
                            String text = body.getString(StandardCharsets.UTF_8);
                            boolean notRun = saysNotRun(body.getArray());
                            return Promise.ofException(
                                    new AttemptException(
                                            notRun ? AttemptState.REFUSED : AttemptState.SENDING,
                                            status,
                                            "status " + status + " " + text));
                        });
    }

    private static boolean saysNotRun(byte[] body) {
        try {
            JsonNode tree = JsonTree.read(body);
            return Outcome.NOT_RUN.label().equals(tree.path("outcome").asText());
        } catch (QuilldykeException e) {
            // Lenient: a target that answers without JSON has not said that nothing ran.
            return false;
        }
    }

    private static boolean isUnconnected(Throwable e) {
        for (Throwable cause = e; cause != null; cause = cause.getCause()) {
            if (cause instanceof ConnectException) {
                return true;
            }
        }
        return false;
    }

    /** An attempt that failed. */
    public static final class AttemptException extends Exception {
        private static final int NOT_FOUND = 404;
        private static final int CONFLICT = 409;
        private static final int GONE = 410;

        private final AttemptState mState;
        private final int mStatus;

        AttemptException(AttemptState state, int status, String detail) {
            super(detail);
            mState = state;
            mStatus = status;
        }

        /**
         * Returns whether the failure of a resume tells that its run is lost: the target says that
         * it holds none, or nobody listens at its address. Any other says nothing of the run.
         */
        public boolean isRunLost() {
            return mState == AttemptState.UNREACHABLE
                    || mStatus == NOT_FOUND
                    || mStatus == CONFLICT
                    || mStatus == GONE;
        }

        /** Returns how far the attempt had come. */
        public AttemptState state() {
            return mState;
        }
    }
}
