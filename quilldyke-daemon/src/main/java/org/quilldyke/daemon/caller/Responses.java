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
package org.quilldyke.daemon.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.util.Locale;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.daemon.json.JsonTree;

/** Builds the answers that don't come from a target. */
public final class Responses {
    /** The numbered result code. */
    public static final HttpHeader CODE = HttpHeaders.of("Quilldyke-Code");

    /** What became of the request: {@code not-run}, {@code ran} or {@code unknown}. */
    public static final HttpHeader OUTCOME = HttpHeaders.of("Quilldyke-Outcome");

    private static final HttpHeader RETRY_AFTER = HttpHeaders.of("Retry-After");
    private static final long MILLIS_PER_SECOND = 1000;

    private Responses() {}

    /** Returns a response with a JSON body. */
    public static HttpResponse json(int status, Object body) {
        return HttpResponse.ofCode(status)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(Json.encode(body))
                .build();
    }

    /** Returns a response with a JSON text. */
    public static HttpResponse ok(Outcome outcome, int status, String type, byte[] body) {
        return HttpResponse.ofCode(status)
                .withHeader(HttpHeaders.CONTENT_TYPE, type)
                .withHeader(CODE, ResultCode.OK.label())
                .withHeader(OUTCOME, outcome.label())
                .withBody(body)
                .build();
    }

    /** Returns the response that tells of a failure. */
    public static HttpResponse failure(QuilldykeException e) {
        HttpResponse.Builder response =
                HttpResponse.ofCode(e.code().httpStatus())
                        .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                        .withHeader(CODE, e.code().label())
                        .withHeader(OUTCOME, e.outcome().label());
        if (e.retryAfterMillis() > 0) {
            long seconds = (e.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            response.withHeader(RETRY_AFTER, Long.toString(seconds));
        }
        return response.withBody(Json.encode(error(e))).build();
    }

    /** Returns a failure in the form of the API's errors. */
    static ObjectNode error(QuilldykeException e) {
        ObjectNode body = JsonTree.object();
        ObjectNode error = body.putObject("error");
        error.put("message", e.getMessage());
        error.put("type", e.code().name().toLowerCase(Locale.ROOT));
        error.put("code", e.code().label());
        error.put("outcome", e.outcome().label());
        if (e.retryAfterMillis() > 0) {
            error.put("retry_after_ms", e.retryAfterMillis());
        }
        return body;
    }

    /** Returns a failure for any exception: one of ours as it is, any other as a fault. */
    public static QuilldykeException failureOf(Throwable e, Outcome outcome) {
        Throwable cause = e;
        while (cause != null) {
            if (cause instanceof QuilldykeException known) {
                return known;
            }
            cause = cause.getCause();
        }
        return QuilldykeException.of(ResultCode.INTERNAL, outcome, e.toString(), e);
    }
}
