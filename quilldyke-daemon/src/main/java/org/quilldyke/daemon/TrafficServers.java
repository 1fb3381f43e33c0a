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

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.net.PrimaryServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.caller.RetryBudget;
import org.quilldyke.daemon.caller.Admission;
import org.quilldyke.daemon.caller.CompletionServlet;
import org.quilldyke.daemon.caller.DrainForecast;
import org.quilldyke.daemon.caller.RequestGate;
import org.quilldyke.daemon.caller.Responses;
import org.quilldyke.daemon.caller.TrafficContext;
import org.quilldyke.daemon.control.ControlClient;
import org.quilldyke.daemon.engine.EngineClient;
import org.quilldyke.daemon.instance.CellNode;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.daemon.operator.OperatorServlet;
import org.quilldyke.daemon.platform.Metrics;
import org.quilldyke.daemon.platform.PlatformServlet;
import org.quilldyke.daemon.routing.SharedRouter;
import org.quilldyke.daemon.service.ServiceRelay;
import org.quilldyke.daemon.settings.Addresses;
import org.quilldyke.daemon.settings.Site;
import org.quilldyke.engine.TargetRecord;
import org.quilldyke.instance.TargetTable;

/** The HTTP servers of one instance and the threads that they run on. */
final class TrafficServers {
    /** The server's own bound; the limit of the settings is checked where a refusal has a code. */
    private static final int SERVER_BODY_BYTES = 1 << 30;

    private static final int ANNOUNCE_BYTES = 64 << 10;

    /** After this a traffic thread counts as stuck, in milliseconds; one turn takes far less. */
    private static final long TURN_MILLIS = 1000;

    private final Site mSite;
    private final Site.Instance mSelf;
    private final long mIncarnation;
    private final Shared mShared;
    private final List<Eventloop> mReactors = new ArrayList<>();
    private final List<Worker> mWorkers = new ArrayList<>();
    private PrimaryServer mPrimary;

    private TrafficServers(Site site, Site.Instance self, long incarnation, Shared shared) {
        mSite = site;
        mSelf = self;
        mIncarnation = incarnation;
        mShared = shared;
    }

    /**
     * Starts the threads and servers.
     *
     * @throws IOException if an address can't be bound
     */
    static TrafficServers start(Site site, Site.Instance self, long incarnation, Shared shared)
            throws IOException {
        TrafficServers servers = new TrafficServers(site, self, incarnation, shared);
        servers.start();
        return servers;
    }

    /** Notes when the instance has to end, so that what lasts longer is refused. */
    void endsAt(long time) {
        mShared.drain().onShutdown(time);
    }

    /** Enters a phase of the shutdown. */
    void enter(RequestGate.Phase phase) {
        mWorkers.forEach(worker -> worker.gate().enter(phase));
    }

    /** Returns the addresses of the callers who are owed an answer, one for each answer. */
    List<String> owed() {
        List<String> owed = new ArrayList<>();
        for (Worker worker : mWorkers) {
            // A stuck thread is no drained one.
            owed.addAll(worker.call(worker.connections()::owed, List.of("stuck")));
        }
        return owed;
    }

    /** Returns whether a request's head is on its way. */
    boolean isRequestComing() {
        boolean coming = false;
        for (Worker worker : mWorkers) {
            coming |= worker.call(worker.connections()::isRequestComing, false);
        }
        return coming;
    }

    /** Ends all open requests with an answer that says so, and returns their number. */
    int cutOpen() {
        int cut = 0;
        for (Worker worker : mWorkers) {
            cut += worker.call(worker.gate()::cutAll, 0);
        }
        return cut;
    }

    /** Takes no connections any more. */
    void closeListener() {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        Eventloop reactor = (Eventloop) mPrimary.getReactor();
        reactor.execute(() -> mPrimary.close().whenComplete(() -> closed.complete(null)));
        closed.completeOnTimeout(null, TURN_MILLIS, TimeUnit.MILLISECONDS).join();
    }

    /** Closes all sockets and stops the threads. */
    void halt() {
        for (Eventloop reactor : mReactors) {
            CompletableFuture<Void> stopped = new CompletableFuture<>();
            reactor.execute(
                    () -> {
                        closeChannels(reactor);
                        reactor.keepAlive(false);
                        reactor.breakEventloop();
                        stopped.complete(null);
                    });
            stopped.completeOnTimeout(null, 1, TimeUnit.SECONDS).join();
        }
    }

    private void start() throws IOException {
        List<HttpServer> workers = new ArrayList<>();
        for (int i = 0; i < mSite.limits().trafficThreads(); i++) {
            Eventloop reactor = newThread(mSelf.id() + "-traffic-" + i);
            Worker worker =
                    new Worker(reactor, RequestGate.create(mShared.log()), new OpenConnections());
            mWorkers.add(worker);
            workers.add(
                    HttpServer.builder(reactor, servlet(worker, i))
                            .withMaxBodySize(SERVER_BODY_BYTES)
                            .withInspector(worker.connections())
                            .withHttpErrorFormatter(this::formatError)
                            .build());
        }
        Eventloop platform = newThread(mSelf.id() + "-platform");
        HttpServer health =
                HttpServer.builder(
                                platform,
                                PlatformServlet.create(
                                        platform, mShared.cell()::view, mShared.metrics()))
                        .withListenAddress(Addresses.parse(mSelf.platform()))
                        .build();
        mPrimary =
                PrimaryServer.builder(platform, workers)
                        .withListenAddress(Addresses.parse(mSelf.traffic()))
                        .build();
        onReactor(
                platform,
                () -> {
                    health.listen();
                    mPrimary.listen();
                });
    }

    private AsyncServlet servlet(Worker worker, int thread) {
        Eventloop reactor = worker.reactor();
        RequestGate gate = worker.gate();
        TrafficContext context =
                new TrafficContext(
                        reactor,
                        EngineClient.create(reactor),
                        mShared.cell()::view,
                        mShared.router(),
                        mShared.control(),
                        mShared.admission(),
                        mShared.budget(),
                        mShared.drain(),
                        mSite,
                        mShared.clock(),
                        System::currentTimeMillis,
                        mShared.log(),
                        mShared.metrics());
        CompletionServlet completions =
                CompletionServlet.create(context, mSelf.id(), mIncarnation, thread);
        ServiceRelay services =
                ServiceRelay.create(
                        context,
                        mSelf.id() + "-s" + thread + "-" + Long.toString(mIncarnation, 36) + "-");
        OperatorServlet operators =
                OperatorServlet.create(
                        mSite,
                        mShared.cell(),
                        mShared.cellReactor(),
                        mShared.control(),
                        System::currentTimeMillis,
                        mShared.log());
        RoutingServlet routes =
                RoutingServlet.builder(reactor)
                        .with(
                                HttpMethod.POST,
                                "/v1/completions",
                                gate.refusable(completions::complete))
                        .with(
                                HttpMethod.POST,
                                "/v1/chat/completions",
                                gate.refusable(completions::complete))
                        .with(HttpMethod.GET, "/v1/streams", gate.refusable(completions::resume))
                        .with("/services/:service/*", gate.refusable(services::serve))
                        .with(HttpMethod.POST, "/targets/announce", this::announce)
                        .with(HttpMethod.POST, "/operator/intents", operators::state)
                        .with(
                                HttpMethod.POST,
                                "/operator/plans/:number/confirm",
                                operators::confirm)
                        .with(HttpMethod.GET, "/operator/plans/:number", operators::plan)
                        .with(HttpMethod.GET, "/operator/status", operators::status)
                        .with(HttpMethod.GET, "/operator/targets", operators::targets)
                        .with("/*", r -> Promise.of(Responses.failure(unknownPath(r))))
                        .build();
        return gate.known(routes);
    }

    private Promise<HttpResponse> announce(HttpRequest request) {
        return request.loadBody(ANNOUNCE_BYTES)
                .map(body -> Json.decode(body.getArray(), TargetRecord.class))
                .then(
                        record -> {
                            CompletableFuture<TargetTable.Change> change =
                                    new CompletableFuture<>();
                            mShared.cellReactor()
                                    .execute(
                                            () -> change.complete(mShared.cell().announce(record)));
                            return Promise.ofFuture(change);
                        })
                .map(
                        change ->
                                Responses.json(
                                        200,
                                        Map.of(
                                                "change",
                                                change.name(),
                                                "lease_ms",
                                                mSite.timings().targetLease())))
                .then(
                        Promise::of,
                        e ->
                                Promise.of(
                                        Responses.failure(
                                                Responses.failureOf(e, Outcome.NOT_RUN))));
    }

    private Promise<HttpResponse> formatError(Exception e) {
        mShared.log().fault(e, "http");
        return Promise.of(Responses.failure(Responses.failureOf(e, Outcome.UNKNOWN)));
    }

    private static QuilldykeException unknownPath(HttpRequest request) {
        return QuilldykeException.notRun(ResultCode.UNKNOWN_PATH, request.getPath());
    }

    private Eventloop newThread(String name) {
        Eventloop reactor = Eventloop.builder().withThreadName(name).build();
        reactor.keepAlive(true);
        Thread thread = new Thread(reactor, name);
        thread.setDaemon(true);
        thread.start();
        mReactors.add(reactor);
        return reactor;
    }

    private void closeChannels(Eventloop reactor) {
        reactor.getSelector()
                .keys()
                .forEach(
                        key -> {
                            try {
                                key.channel().close();
                            } catch (IOException e) {
                                mShared.log().fault(e, "halt");
                            }
                        });
    }

    private static void onReactor(Eventloop reactor, ListenAction action) throws IOException {
        CompletableFuture<Void> done = new CompletableFuture<>();
        reactor.execute(
                () -> {
                    try {
                        action.run();
                        done.complete(null);
                    } catch (IOException | RuntimeException e) {
                        done.completeExceptionally(e);
                    }
                });
        try {
            done.get();
        } catch (ExecutionException e) {
            throw new IOException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private interface ListenAction {
        void run() throws IOException;
    }

    /** One traffic thread. */
    private record Worker(Eventloop reactor, RequestGate gate, OpenConnections connections) {
        /** Returns what {@code action} returns on the thread, {@code otherwise} if it is stuck. */
        <T> T call(Supplier<T> action, T otherwise) {
            CompletableFuture<T> result = new CompletableFuture<>();
            reactor.execute(() -> result.complete(action.get()));
            return result.completeOnTimeout(otherwise, TURN_MILLIS, TimeUnit.MILLISECONDS).join();
        }
    }

    /** What all traffic threads share. */
    record Shared(
            CellNode cell,
            Eventloop cellReactor,
            SharedRouter router,
            ControlClient control,
            Admission admission,
            RetryBudget budget,
            DrainForecast drain,
            LongSupplier clock,
            EventLog log,
            Metrics metrics) {}
}
