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

import com.codahale.metrics.Gauge;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.quilldyke.Invariant;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.caller.RetryBudget;
import org.quilldyke.control.Configuration;
import org.quilldyke.control.ReplicaSettings;
import org.quilldyke.daemon.caller.Admission;
import org.quilldyke.daemon.caller.DrainForecast;
import org.quilldyke.daemon.caller.Responses;
import org.quilldyke.daemon.control.ControlClient;
import org.quilldyke.daemon.control.ControlLoop;
import org.quilldyke.daemon.control.ControlReplica;
import org.quilldyke.daemon.control.DataFolder;
import org.quilldyke.daemon.control.PlanDriver;
import org.quilldyke.daemon.control.ReplicaNode;
import org.quilldyke.daemon.control.ReplicaStorage;
import org.quilldyke.daemon.engine.EngineWatch;
import org.quilldyke.daemon.instance.CellNode;
import org.quilldyke.daemon.instance.Exchange;
import org.quilldyke.daemon.instance.InstanceServer;
import org.quilldyke.daemon.instance.PeerClients;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.daemon.platform.Metrics;
import org.quilldyke.daemon.routing.CellView;
import org.quilldyke.daemon.routing.SharedRouter;
import org.quilldyke.daemon.settings.Site;

/**
 * One running instance: the entry class of the daemon.
 *
 * <pre>{@code
 * QuilldykeInstance instance = QuilldykeInstance.start(site, "entry-1");
 * ...
 * instance.shutdown();
 * }</pre>
 */
public final class QuilldykeInstance {
    private static final int RETRY_RESERVE = 20;

    private final Site mSite;
    private final Site.Instance mSelf;
    private final ReplicaStorage.Opener mDisks;
    private final long mIncarnation = System.currentTimeMillis();
    private final LongSupplier mClock = () -> System.nanoTime() / 1_000_000;
    private final EventLog mLog;
    private final Metrics mMetrics = Metrics.create();
    private final Admission mAdmission;
    private final SharedRouter mRouter;
    private final Eventloop mControlReactor;
    private final CellNode mCell;
    private final PeerClients mPeers;
    private ControlClient mControlClient;
    private ControlReplica mReplica;
    private InstanceServer mInternal;
    private EngineWatch mWatch;
    private TrafficServers mTraffic;
    private volatile boolean mHalted;

    private QuilldykeInstance(Site site, Site.Instance self, ReplicaStorage.Opener disks) {
        mSite = site;
        mSelf = self;
        mDisks = disks;
        mLog = EventLog.of(self.id());
        mAdmission = Admission.create(site.limits().openRequests());
        mRouter = SharedRouter.create(site.weights());
        mControlReactor = Eventloop.builder().withThreadName(self.id() + "-control").build();
        mControlReactor.keepAlive(true);
        mCell = CellNode.create(site, self, mIncarnation, mControlReactor, mClock, mLog, mRouter);
        mPeers = PeerClients.open(site, self.id());
    }

    /**
     * Starts an instance; it gets ready by itself once it has heard the others.
     *
     * @param site the settings
     * @param id which of its instances to be
     * @throws QuilldykeException if the settings don't name it, an address can't be bound, or the
     *     data folder is damaged
     */
    public static QuilldykeInstance start(Site site, String id) throws QuilldykeException {
        return start(site, id, DataFolder::open);
    }

    /**
     * Starts an instance whose replica, if it has one, keeps its files as told.
     *
     * @param site the settings
     * @param id which of its instances to be
     * @param disks opens the data folder
     * @throws QuilldykeException as {@link #start(Site, String)}
     */
    public static QuilldykeInstance start(Site site, String id, ReplicaStorage.Opener disks)
            throws QuilldykeException {
        Site.Instance self = site.instance(id);
        if (self == null) {
            throw QuilldykeException.notRun(
                    ResultCode.SETTINGS_IMPOSSIBLE, "instances has no id " + id);
        }
        QuilldykeInstance instance = new QuilldykeInstance(site, self, disks);
        try {
            instance.start();
        } catch (QuilldykeException e) {
            instance.halt();
            throw e;
        }
        return instance;
    }

    /**
     * Shuts down without interrupting a request: readiness goes off first, then no new requests are
     * taken, then open ones finish; what is open after the drain time is told that it was cut.
     *
     * @return whether all open requests have finished in time
     */
    public boolean shutdown() {
        GracefulShutdown.Result result =
                new GracefulShutdown(mTraffic, mControlClient, mSite.timings(), mClock, mLog)
                        .run(() -> mControlReactor.execute(mCell::leave));
        halt();
        mLog.write(
                Event.STOPPED,
                "drained",
                result.isDrained(),
                "cut",
                result.cut(),
                "unsent",
                result.unsent(),
                "ms",
                result.millis());
        return result.isDrained();
    }

    /** Stops at once, as a killed process does. */
    public void halt() {
        if (mHalted) {
            return;
        }
        mHalted = true;
        if (mTraffic != null) {
            mTraffic.halt();
        }
        if (mInternal != null) {
            mInternal.close();
        }
        if (mWatch != null) {
            mWatch.close();
        }
        mPeers.close();
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        mControlReactor.execute(
                () -> {
                    mCell.stop();
                    try {
                        if (mReplica != null) {
                            mReplica.stop();
                        }
                    } catch (QuilldykeException e) {
                        mLog.fault(e, "halt");
                    }
                    mControlReactor.keepAlive(false);
                    mControlReactor.breakEventloop();
                    stopped.complete(null);
                });
        stopped.completeOnTimeout(null, 1, TimeUnit.SECONDS).join();
    }

    /** Returns the settings of this instance. */
    public Site.Instance self() {
        return mSelf;
    }

    /** Returns whether requests are served. */
    public boolean isReady() {
        return mCell.view().ready();
    }

    /** Returns whether this instance was stopped. */
    public boolean isHalted() {
        return mHalted;
    }

    /** Returns the number of live targets known here. */
    public int knownTargets() {
        return mCell.view().targets().size();
    }

    /** Returns the number of live engines that may get requests for a model. */
    public int usableEngines(String model) {
        CellView view = mCell.view();
        Configuration.Model known = view.configuration().models().get(model);
        return known == null ? 0 : view.enginesFor(known).size();
    }

    /** Returns whether this instance leads the control group. */
    public boolean isLeader() {
        return !mHalted && mReplica != null && mReplica.isLeader();
    }

    /** Returns whether this instance holds no replica, or one that counts and votes. */
    public boolean isTrusted() {
        return mReplica == null || mReplica.replica().isTrusted();
    }

    /** Returns the version of the configuration in force here. */
    public long configurationVersion() {
        return mCell.view().configuration().version();
    }

    /** Returns the number of open requests. */
    public int openRequests() {
        return mAdmission.open();
    }

    /** Returns the log, which counts its events. */
    public EventLog log() {
        return mLog;
    }

    /** Returns the metrics. */
    public Metrics metrics() {
        return mMetrics;
    }

    private void start() throws QuilldykeException {
        Thread control = new Thread(mControlReactor, mSelf.id() + "-control");
        control.setDaemon(true);
        control.start();
        List<String> replicas = new ArrayList<>();
        mSite.replicas().forEach(replica -> replicas.add(replica.id()));
        ControlClient client =
                ControlClient.create(
                        mSelf.id(),
                        replicas,
                        mPeers,
                        mControlReactor::execute,
                        mClock,
                        () -> mReplica);
        mControlClient = client;
        List<String> others = new ArrayList<>();
        mSite.others(mSelf.id()).forEach(other -> others.add(other.id()));
        Exchange exchange = Exchange.create(mCell, mPeers, mControlReactor::execute, others);
        if (mSelf.control()) {
            loadReplica(replicas);
        }
        onControl(() -> mCell.start(exchange, client, mReplica));
        startServers(client);
        registerGauges();
        mLog.write(
                Event.STARTED,
                "cell",
                mSite.cell(),
                "domain",
                mSelf.failureDomain(),
                "traffic",
                mSelf.traffic(),
                "roles",
                mSelf.roles());
    }

    private void loadReplica(List<String> replicas) throws QuilldykeException {
        ReplicaStorage folder = mDisks.open(Path.of(mSelf.dataFolder()));
        List<String> others = new ArrayList<>(replicas);
        others.remove(mSelf.id());
        ReplicaSettings settings = ReplicaSettings.of(mSelf.id(), others);
        onControl(
                () -> {
                    mReplica =
                            ControlReplica.load(
                                    new ReplicaNode.Environment(controlLoop(), mClock, mLog),
                                    folder,
                                    settings,
                                    new SplittableRandom(mIncarnation ^ mSelf.id().hashCode()),
                                    mPeers::deliver,
                                    mCell::onState,
                                    mCell);
                    PlanDriver.start(mControlReactor, mReplica, mCell, mLog, mClock);
                });
    }

    private ControlLoop controlLoop() {
        return new ControlLoop() {
            @Override
            public void execute(Runnable task) {
                mControlReactor.execute(task);
            }

            @Override
            public void schedule(long millis, Runnable task) {
                mControlReactor.delayBackground(millis, task::run);
            }
        };
    }

    private void startServers(ControlClient client) throws QuilldykeException {
        try {
            mInternal = InstanceServer.start(mSelf.internal(), mControlReactor::execute, mCell);
            mWatch =
                    EngineWatch.start(
                            mCell::view,
                            mRouter,
                            mLog,
                            mClock,
                            mSite.timings().loadPoll(),
                            mSelf.id() + "-watch");
            mTraffic =
                    TrafficServers.start(
                            mSite,
                            mSelf,
                            mIncarnation,
                            new TrafficServers.Shared(
                                    mCell,
                                    mControlReactor,
                                    mRouter,
                                    client,
                                    mAdmission,
                                    RetryBudget.create(mSite.limits().retryShare(), RETRY_RESERVE),
                                    DrainForecast.create(),
                                    mClock,
                                    mLog,
                                    mMetrics));
        } catch (IOException e) {
            throw QuilldykeException.of(
                    ResultCode.ADDRESS_IN_USE, Outcome.NOT_RUN, e.toString(), e);
        }
    }

    private void registerGauges() {
        mMetrics.registry().register("requests.open", (Gauge<Integer>) mAdmission::open);
        mMetrics.registry().register("index.blocks", (Gauge<Long>) mRouter::indexSize);
        mMetrics.registry().register("invariants.broken", (Gauge<Long>) Invariant::brokenCount);
        mMetrics.registry()
                .register("configuration.version", (Gauge<Long>) this::configurationVersion);
    }

    private void onControl(ControlAction action) throws QuilldykeException {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mControlReactor.execute(
                () -> {
                    try {
                        action.run();
                        done.complete(null);
                    } catch (QuilldykeException | RuntimeException e) {
                        done.completeExceptionally(e);
                    }
                });
        try {
            done.get();
        } catch (ExecutionException e) {
            throw Responses.failureOf(e.getCause(), Outcome.NOT_RUN);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw QuilldykeException.of(ResultCode.INTERNAL, Outcome.NOT_RUN, "interrupted", e);
        }
    }

    private interface ControlAction {
        void run() throws QuilldykeException;
    }
}
