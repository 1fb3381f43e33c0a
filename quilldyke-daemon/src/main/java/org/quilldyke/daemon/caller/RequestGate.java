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

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quilldyke.daemon.log.EventLog;

/**
 * What all requests of one traffic thread pass: it knows the open ones, and what a shutdown still
 * lets in.
 *
 * <p>Lives on the traffic thread but for {@link #enter}.
 */
public final class RequestGate {
    private final EventLog mLog;
    private final Set<OpenRequest> mOpen = new LinkedHashSet<>();
    private volatile Phase mPhase = Phase.SERVING;

    private RequestGate(EventLog log) {
        mLog = log;
    }

    /** Returns an open gate. */
    public static RequestGate create(EventLog log) {
        return new RequestGate(log);
    }

    /** Enters a phase of the shutdown; may be called on any thread. */
    public void enter(Phase phase) {
        mPhase = phase;
    }

    /** Returns a servlet whose requests are known here until their answers are made. */
    public AsyncServlet known(AsyncServlet servlet) {
        return request -> {
            if (mPhase == Phase.ENDING) {
                return Promise.of(ending(Responses.failure(OpenRequest.refusal()), false));
            }
            OpenRequest open = OpenRequest.attach(request, mLog, mOpen::remove);
            mOpen.add(open);
            return open.answeredBy(servlet.serve(request))
                    .map(
                            response ->
                                    mPhase == Phase.SERVING
                                            ? response
                                            : ending(response, open.isStreamed()));
        };
    }

    /** Returns a servlet that takes no new requests once the instance refuses them. */
    public AsyncServlet refusable(AsyncServlet servlet) {
        return request -> {
            if (mPhase == Phase.REFUSING) {
                return Promise.of(Responses.failure(OpenRequest.refusal()));
            }
            OpenRequest.of(request).runsOnlyOwned();
            return servlet.serve(request);
        };
    }

    /** Cuts all open requests and returns their number. */
    public int cutAll() {
        List<OpenRequest> open = new ArrayList<>(mOpen);
        open.forEach(OpenRequest::cut);
        return open.size();
    }

    /** Returns the response as the last one of its connection. */
    private static HttpResponse ending(HttpResponse response, boolean stream) {
        HttpResponse.Builder last = HttpResponse.ofCode(response.getCode());
        for (Map.Entry<HttpHeader, HttpHeaderValue> header : response.getHeaders()) {
            last.withHeader(header.getKey(), header.getValue());
        }
        last.withHeader(HttpHeaders.CONNECTION, "close");
        return stream
                ? last.withBodyStream(response.takeBodyStream()).build()
                : last.withBody(response.takeBody()).build();
    }

    /** How far a shutdown has come. */
    public enum Phase {
        /** There is none. */
        SERVING,
        /** Requests are taken; connections end with their answers. */
        LEAVING,
        /** Callers' requests are refused. */
        REFUSING,
        /** All requests are refused. */
        ENDING
    }
}
