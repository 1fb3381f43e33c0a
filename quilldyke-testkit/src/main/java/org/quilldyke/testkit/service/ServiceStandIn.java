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
package org.quilldyke.testkit.service;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.quilldyke.engine.TargetRecord;
import org.quilldyke.testkit.http.Announcer;
import org.quilldyke.testkit.http.Json;
import org.quilldyke.testkit.http.StandInHost;

/** A plain service that records each run, by the idempotency key or else by the request id. */
public final class ServiceStandIn {
    private static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");
    private static final HttpHeader KEY = HttpHeaders.of("Idempotency-Key");

    private final String mId;
    private final String mCell;
    private final String mService;
    private final String mFailureDomain;
    private final long mIncarnation;
    private final StandInHost mHost;
    private final List<String> mInstances;
    private final Map<String, Integer> mRuns = new ConcurrentHashMap<>();
    private volatile int mDelayMillis = 5;
    private volatile boolean mDropAnswers;

    private ServiceStandIn(
            String id,
            String cell,
            String service,
            String address,
            String failureDomain,
            List<String> instances,
            long incarnation) {
        mId = id;
        mCell = cell;
        mService = service;
        mFailureDomain = failureDomain;
        mIncarnation = incarnation;
        mInstances = instances;
        mHost = StandInHost.at(id, address);
    }

    /**
     * Starts a service.
     *
     * @param id the target's id
     * @param cell its cell
     * @param service the service's name
     * @param address where it listens, {@code IP:port}
     * @param failureDomain where it stands
     * @param instances the entry instances at which it announces itself
     * @param incarnation larger than that of any earlier one with this id
     * @throws IOException if its address can't be bound
     */
    public static ServiceStandIn start(
            String id,
            String cell,
            String service,
            String address,
            String failureDomain,
            List<String> instances,
            long incarnation)
            throws IOException {
        ServiceStandIn standIn =
                new ServiceStandIn(
                        id, cell, service, address, failureDomain, instances, incarnation);
        standIn.mHost.start(standIn::serve);
        standIn.mHost.call(() -> Announcer.start(standIn.mHost, instances, standIn::record));
        return standIn;
    }

    /** Returns how often each call ran, by idempotency key or request id. */
    public Map<String, Integer> runs() {
        return Map.copyOf(mRuns);
    }

    /** Sets how long each call takes. */
    public void delay(int millis) {
        mDelayMillis = millis;
    }

    /** Runs calls but breaks the connection in place of answering, or stops doing so. */
    public void dropAnswers(boolean drop) {
        mDropAnswers = drop;
    }

    /** Stops at once. */
    public void kill() {
        mHost.kill();
    }

    private TargetRecord record() {
        return new TargetRecord(
                mId,
                TargetRecord.Kind.SERVICE,
                mCell,
                mService,
                mHost.address(),
                mFailureDomain,
                mIncarnation,
                0,
                "",
                "",
                64,
                0,
                false,
                false);
    }

    private Promise<HttpResponse> serve(HttpRequest request) {
        return request.loadBody().then(body -> run(request, body));
    }

    private Promise<HttpResponse> run(HttpRequest request, ByteBuf body) {
        String key = request.getHeader(KEY);
        String id = key != null ? key : request.getHeader(REQUEST_ID);
        int run = mRuns.merge(id == null ? "" : id, 1, Integer::sum);
        String path = request.getPath();
        int length = body.readRemaining();
        SettablePromise<HttpResponse> late = new SettablePromise<>();
        mHost.reactor()
                .delayBackground(
                        mDelayMillis,
                        () -> {
                            if (mDropAnswers) {
                                late.set(brokenAnswer());
                                return;
                            }
                            Json.response(200, Map.of("path", path, "length", length, "run", run))
                                    .whenResult(late::set);
                        });
        return late;
    }

    private static HttpResponse brokenAnswer() {
        return HttpResponse.ok200()
                .withBodyStream(ChannelSuppliers.ofException(new IOException("fault: dropped")))
                .build();
    }
}
