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
package org.quilldyke.daemon.platform;

import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.quilldyke.daemon.routing.CellView;

/** Serves {@code /healthz}, {@code /readyz} and {@code /metrics} to the platform. */
public final class PlatformServlet {
    private final Supplier<CellView> mView;
    private final Metrics mMetrics;
    private final ObjectMapper mMapper =
            new ObjectMapper()
                    .registerModule(
                            new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

    private PlatformServlet(Supplier<CellView> view, Metrics metrics) {
        mView = view;
        mMetrics = metrics;
    }

    /** Returns a servlet on {@code reactor}. */
    public static AsyncServlet create(Reactor reactor, Supplier<CellView> view, Metrics metrics) {
        PlatformServlet servlet = new PlatformServlet(view, metrics);
        return RoutingServlet.builder(reactor)
                .with(HttpMethod.GET, "/healthz", r -> text(200, "alive"))
                .with(HttpMethod.GET, "/readyz", r -> servlet.ready())
                .with(HttpMethod.GET, "/metrics", r -> servlet.metrics())
                .build();
    }

    private Promise<HttpResponse> ready() {
        CellView view = mView.get();
        return view.ready()
                ? text(200, "ready")
                : text(503, view.leaving() ? "leaving" : view.standing().name());
    }

    private Promise<HttpResponse> metrics() {
        try {
            return HttpResponse.ok200()
                    .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                    .withBody(mMapper.writeValueAsBytes(mMetrics.registry()))
                    .toPromise();
        } catch (JsonProcessingException e) {
            return text(500, e.toString());
        }
    }

    private static Promise<HttpResponse> text(int status, String text) {
        return HttpResponse.ofCode(status).withPlainText(text + "\n").toPromise();
    }
}
