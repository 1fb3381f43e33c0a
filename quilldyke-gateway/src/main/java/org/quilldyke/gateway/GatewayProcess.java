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
package org.quilldyke.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.caller.KeyLease;
import org.quilldyke.caller.LeaseClock;
import org.quilldyke.caller.RetryShare;
import org.quilldyke.caller.ServiceRetryBudget;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.gateway.caller.CallerServer;
import org.quilldyke.gateway.caller.EntryContext;
import org.quilldyke.gateway.caller.EntryDependencies;
import org.quilldyke.gateway.caller.PathStatus;
import org.quilldyke.gateway.control.ControlNode;
import org.quilldyke.gateway.dialect.Dialect;
import org.quilldyke.gateway.engine.EngineClient;
import org.quilldyke.gateway.engine.RefusalLog;
import org.quilldyke.gateway.instance.ControlLinks;
import org.quilldyke.gateway.instance.LimitFrames;
import org.quilldyke.gateway.instance.NettyLoop;
import org.quilldyke.gateway.instance.RegionBytes;
import org.quilldyke.gateway.instance.SessionServer;
import org.quilldyke.gateway.instance.proto.EntryFrame;
import org.quilldyke.gateway.instance.proto.Limits;
import org.quilldyke.gateway.instance.proto.PathReport;
import org.quilldyke.gateway.operator.ControlServer;
import org.quilldyke.gateway.operator.RedirectServer;
import org.quilldyke.gateway.platform.GatewayMetrics;
import org.quilldyke.gateway.platform.ProbeServer;
import org.quilldyke.gateway.relay.RelayServer;
import org.quilldyke.gateway.settings.GatewaySettings;
import org.quilldyke.instance.ControlLinkPlanner;
import org.quilldyke.rollout.VersionRouting;
import org.quilldyke.routing.AdvertisedLimit;
import org.quilldyke.routing.Location;
import org.quilldyke.routing.TargetSelector;
import org.quilldyke.routing.Topology;

/** A gateway process: a control thread, a traffic thread, and the servers of its role. */
public final class GatewayProcess {
    /**
     * Duration of the key lease as a fraction of the bound; the rest is for sending to a target.
     */
    private static final double KEY_LEASE_FRACTION = 0.7;

    /**
     * Fraction of the bound during which requests may be sent to older weights; the rest is for
     * their queueing there.
     */
    private static final double OLD_WEIGHTS_FRACTION = 0.75;

    /**
     * Time until the balancer has stopped new connections: two probes, a second apart, and a
     * margin.
     */
    private static final long OUT_OF_ROTATION_MILLIS = 2600;

    /** Margin before the end of the grace period for writing the last answers. */
    private static final long EXIT_MARGIN_MILLIS = 200;

    private static final long POLL_MILLIS = 50;
    private static final long SWEEP_MILLIS = 1000;

    /** Longest wait for a count from the traffic thread. */
    private static final long COUNT_LIMIT_MILLIS = 100;

    /** Count that the traffic thread did not return in time. */
    private static final int UNKNOWN = -1;

    /**
     * Longest wait for open calls of operators, who retry a call after a second without an answer.
     */
    private static final long LAST_CALLS_MILLIS = 1000;

    private static final long DISK_RETRY_MILLIS = 300;

    private final GatewaySettings mSettings;
    private final Dialect mDialect;
    private final EventLog mLog;
    private final LongSupplier mClock = GatewayProcess::now;
    private final LeaseClock mLeaseClock = LeaseClock.create();
    private final long mStartedAt;
    private final GatewayMetrics mMetrics = GatewayMetrics.create();
    private final RefusalLog mRefused;
    private final AtomicBoolean mDraining = new AtomicBoolean();
    private final NettyLoop mControl = new NettyLoop(Loops.create("control"));
    private final EventLoop mTraffic = Loops.create("traffic");
    private EntryContext mEntry;
    private CallerServer mCallers;
    private RelayServer mRelay;
    private ControlNode mNode;
    private ControlServer mCalls;
    private RedirectServer mRedirects;
    private ControlLinks mLinks;
    private SessionServer mSessions;

    private GatewayProcess(GatewaySettings settings, Dialect dialect, long startedAt) {
        mSettings = settings;
        mDialect = dialect;
        mStartedAt = startedAt;
        mLog = EventLog.of(settings.instance());
        mRefused = RefusalLog.create(mMetrics.registry(), mLog, mClock);
    }

    /** Returns the present time in monotonic milliseconds. */
    public static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private long leaseNow() {
        return mLeaseClock.now(now(), System.currentTimeMillis());
    }

    /**
     * Starts a process.
     *
     * @param settings the settings
     * @param dialect the wire formats of callers, targets and operators
     * @param startedAt the value of {@link #now} when the process started
     * @throws QuilldykeException if an address can't be bound or the data folder can't be read
     */
    public static GatewayProcess start(GatewaySettings settings, Dialect dialect, long startedAt)
            throws QuilldykeException {
        StartOrder.await(settings);
        GatewayProcess process = new GatewayProcess(settings, dialect, startedAt);
        if (settings.role() == GatewaySettings.Role.ENTRY) {
            process.startEntry();
        } else {
            process.startControl();
        }
        process.mLog.write(
                Event.STARTED,
                "role",
                settings.role(),
                "domain",
                settings.failureDomain(),
                "seeds",
                settings.seeds());
        process.logClassArchive();
        return process;
    }

    private void logClassArchive() {
        ClassArchive archive = ClassArchive.ofThisProcess();
        if (archive != ClassArchive.USED) {
            mLog.write(Event.NO_CLASS_ARCHIVE, "archive", archive);
        }
    }

    /** Applies changed settings; only the seeds may have changed. */
    public void reload(GatewaySettings settings) {
        mLog.write(Event.RELOADED, "seeds", settings.seeds());
        mControl.execute(
                () -> {
                    if (mNode != null) {
                        mNode.onSeeds(new HashSet<>(settings.seedAddresses()));
                    }
                    if (mRedirects != null) {
                        mRedirects.onSeeds(settings.seeds());
                    }
                    if (mLinks != null) {
                        mLinks.onSeeds(settings.seedAddresses());
                    }
                });
    }

    /**
     * Shuts down without interrupting a request; returns when the process may end.
     *
     * @param start when the shutdown was requested, in milliseconds of {@link #now}; this may be
     *     before the end of the start
     */
    public void shutdown(long start) {
        mDraining.set(true);
        int open = mEntry == null ? openCalls() : onTraffic(mCallers::busyConnections);
        mLog.write(Event.SHUTTING_DOWN, "role", mSettings.role(), "open", open);
        int cut = mEntry == null ? endControl(start) : endEntry(start);
        mLog.write(Event.STOPPED, "after", mClock.getAsLong() - start, "cut", cut);
    }

    /** Returns the number of calls that were aborted because they took too long. */
    private int endControl(long start) {
        if (mNode != null) {
            mControl.execute(mNode::transferLeadership);
        }
        pause(POLL_MILLIS);
        while (openCalls() > 0 && mClock.getAsLong() < start + LAST_CALLS_MILLIS) {
            pause(POLL_MILLIS);
        }
        return openCalls();
    }

    private int openCalls() {
        return mCalls == null ? 0 : mCalls.open();
    }

    /** Returns the number of requests that were aborted at the end of the grace period. */
    private int endEntry(long start) {
        long end = start + mSettings.timings().grace() - EXIT_MARGIN_MILLIS;
        mTraffic.execute(() -> mEntry.drain(start, end));
        long closeAt = Math.min(start + OUT_OF_ROTATION_MILLIS, end);
        pause(Math.max(0, closeAt - mClock.getAsLong()));
        mTraffic.execute(mCallers::closeListener);
        do {
            // Not after the end, when the process is killed and its last log lines are lost.
            pause(Math.min(POLL_MILLIS, Math.max(1, end - mClock.getAsLong())));
        } while (onTraffic(this::openAtEntry) != 0 && mClock.getAsLong() < end);
        int cut = onTraffic(mCallers::onShutdownDeadline);
        if (cut != 0) {
            pause(POLL_MILLIS);
        }
        return cut;
    }

    /** Stops immediately without notifying other processes, as a killed process does. */
    public void halt() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        mControl.execute(
                () -> {
                    try {
                        if (mSessions != null) {
                            mSessions.close();
                        }
                        if (mLinks != null) {
                            mLinks.close();
                        }
                        if (mNode != null) {
                            mNode.stop();
                        }
                    } catch (QuilldykeException e) {
                        mLog.fault(e, "halt");
                    }
                    stopped.complete(null);
                });
        stopped.completeOnTimeout(null, 2, TimeUnit.SECONDS).join();
        halt(mTraffic);
        halt(mControl.loop());
    }

    private void halt(EventLoop loop) {
        if (!Loops.halt(loop)) {
            mLog.write(Event.LOOP_STUCK);
        }
    }

    /** Returns a count taken on the traffic thread, {@link #UNKNOWN} if that thread is stuck. */
    private int onTraffic(Supplier<Integer> count) {
        CompletableFuture<Integer> counted = new CompletableFuture<>();
        mTraffic.execute(() -> counted.complete(count.get()));
        return counted.completeOnTimeout(UNKNOWN, COUNT_LIMIT_MILLIS, TimeUnit.MILLISECONDS).join();
    }

    /** Returns the number of callers' connections and of requests that are relayed for others. */
    private int openAtEntry() {
        return mCallers.closeIdle() + mRelay.open();
    }

    private void startEntry() throws QuilldykeException {
        GatewaySettings.Timings timings = mSettings.timings();
        TargetSelector targetSelector =
                TargetSelector.create(
                        Location.of(mSettings.failureDomain(), topology()),
                        Math.round(timings.convergence() * OLD_WEIGHTS_FRACTION),
                        VersionRouting.create(mSettings.rollout()),
                        new SplittableRandom(mSettings.instance().hashCode()));
        RetryShare retryShare = RetryShare.create(timings.retryWindow());
        ServiceRetryBudget retries =
                ServiceRetryBudget.shared(
                        timings.retryRatio(),
                        timings.retryFixed(),
                        timings.retryWindow(),
                        retryShare);
        KeyLease lease = KeyLease.ofMillis(Math.round(timings.revoke() * KEY_LEASE_FRACTION));
        mEntry =
                EntryContext.of(
                        new EntryDependencies(
                                mTraffic,
                                mClock,
                                this::leaseNow,
                                mDialect,
                                targetSelector,
                                retryShare,
                                retries,
                                lease,
                                timings.apply(),
                                mLog,
                                mMetrics));
        registerGauges();
        mCallers = CallerServer.start(mSettings.callers(), mEntry);
        mRelay = RelayServer.start(mSettings.relayAddress(), relayDependencies(targetSelector));
        mTraffic.execute(mEntry::startPathProbes);
        ProbeServer.start(mSettings.ready(), mTraffic, this::isReady, mMetrics.registry());
        startSubscriber();
    }

    private RelayServer.Dependencies relayDependencies(TargetSelector targetSelector) {
        return new RelayServer.Dependencies(
                mEntry.pool(),
                targetSelector,
                mClock,
                mEntry::isDraining,
                mEntry::onRelayedHead,
                mMetrics);
    }

    /** Connects the entry to control processes. */
    private void startSubscriber() {
        CrashTelling crashes = new CrashTelling(mEntry, mControl::execute, mClock, mLog);
        mTraffic.execute(() -> mEntry.setCrashListener(crashes));
        QuotaClient quotas = new QuotaClient(mControl, mTraffic, mClock);
        mTraffic.execute(() -> mEntry.setQuotaGate(quotas));
        OriginClient origins = new OriginClient(mControl, mTraffic, mClock);
        mTraffic.execute(() -> mEntry.streams().start(origins));
        EntrySubscriber subscriber =
                new EntrySubscriber(
                        mSettings,
                        mEntry,
                        mDialect.control(),
                        mClock,
                        mLog,
                        mRefused,
                        crashes,
                        quotas,
                        origins);
        mTraffic.execute(subscriber::recordLoads);
        mTraffic.execute(subscriber::recordRollouts);
        mTraffic.scheduleAtFixedRate(
                () -> {
                    mEntry.pool().closeIdle();
                    mEntry.relays().closeIdle();
                },
                SWEEP_MILLIS,
                SWEEP_MILLIS,
                TimeUnit.MILLISECONDS);
        RegionBytes regionBytes = RegionBytes.create(topology(), mSettings.failureDomain());
        regionBytes.register(mMetrics.registry());
        mControl.execute(
                () -> {
                    mLinks =
                            ControlLinks.start(
                                    mControl,
                                    mClock,
                                    this::leaseNow,
                                    mLog,
                                    planner(),
                                    regionBytes,
                                    mSettings.seedAddresses(),
                                    subscriber);
                    crashes.tellTo(mLinks::sendToAll);
                    quotas.setLinks(mLinks);
                    origins.setLinks(mLinks);
                    mTraffic.execute(() -> mEntry.setLimitConsumer(this::sendLimit));
                    mTraffic.execute(() -> mEntry.setPathStatusConsumer(this::sendPathStatus));
                });
    }

    private Topology topology() {
        return Topology.of(mSettings.regions());
    }

    private ControlLinkPlanner planner() {
        return ControlLinkPlanner.create(
                mSettings.failureDomain(),
                topology(),
                mSettings.toleratedLosses(),
                mSettings.instance().hashCode(),
                mClock.getAsLong());
    }

    private void sendLimit(AdvertisedLimit limit) {
        mControl.execute(
                () -> {
                    Limits limits = LimitFrames.encode(List.of(limit), mClock.getAsLong());
                    mLinks.sendToAll(EntryFrame.newBuilder().setLimits(limits).build());
                });
    }

    private void sendPathStatus(PathStatus status) {
        mControl.execute(
                () ->
                        mLinks.sendToAll(
                                EntryFrame.newBuilder()
                                        .setPaths(
                                                PathReport.newBuilder()
                                                        .setLost(status == PathStatus.PARTITIONED))
                                        .build()));
    }

    /** Registers gauges, which are read on the traffic thread. */
    private void registerGauges() {
        MetricRegistry registry = mMetrics.registry();
        registry.register(
                "paths.lost", (Gauge<Integer>) () -> mEntry.targetSelector().paths().lostCount());
        registry.register(
                "targets.known", (Gauge<Integer>) () -> mEntry.targetSelector().targets().size());
        registry.register("targets.connections", (Gauge<Integer>) mEntry.pool()::connections);
        registry.register("retries.sharers", (Gauge<Integer>) mEntry::retrySharers);
        registry.register("keys.lease-age.ms", (Gauge<Long>) () -> mEntry.confirmationAgeMillis());
    }

    private void startControl() throws QuilldykeException {
        if (mSettings.dataFolder().isEmpty()) {
            mRedirects = RedirectServer.start(mSettings.control(), mTraffic, mSettings.seeds());
            mLog.write(Event.NO_DISK, "seeds", mSettings.seeds());
            return;
        }
        EngineClient orders = EngineClient.create(mTraffic, mDialect.targets(), mClock, mRefused);
        mNode = startNode(orders);
        mNode.registerMetrics(mMetrics.registry());
        mSessions =
                SessionServer.start(
                        mSettings.internalAddress(mSettings.ip()),
                        mControl,
                        mNode,
                        mNode.regionBytes());
        mCalls =
                ControlServer.start(
                        mSettings.control(),
                        mTraffic,
                        mControl,
                        mNode,
                        mDialect.control(),
                        mMetrics.registry(),
                        mRefused);
    }

    /** Starts the node; retries while the disk can't be written. */
    private ControlNode startNode(EngineClient orders) throws QuilldykeException {
        while (true) {
            try {
                return tryStartNode(orders);
            } catch (QuilldykeException e) {
                if (e.code() != ResultCode.DISK_FAILED) {
                    throw e;
                }
                mLog.write(Event.DISK_FAILED, "detail", e.getMessage());
                pause(DISK_RETRY_MILLIS);
            }
        }
    }

    private ControlNode tryStartNode(EngineClient orders) throws QuilldykeException {
        CompletableFuture<ControlNode> started = new CompletableFuture<>();
        mControl.execute(
                () -> {
                    try {
                        started.complete(
                                ControlNode.start(
                                        mSettings,
                                        mControl,
                                        mClock,
                                        mLog,
                                        orders,
                                        mDialect.control(),
                                        mRefused,
                                        mStartedAt));
                    } catch (QuilldykeException | RuntimeException e) {
                        started.completeExceptionally(e);
                    }
                });
        return await(started);
    }

    /** Called on the traffic thread. */
    private boolean isReady() {
        return !mDraining.get() && mEntry.isConfigurationConfirmed();
    }

    private static ControlNode await(CompletableFuture<ControlNode> started)
            throws QuilldykeException {
        try {
            return started.get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof QuilldykeException known) {
                throw known;
            }
            throw QuilldykeException.of(
                    ResultCode.INTERNAL, Outcome.NOT_RUN, e.toString(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw QuilldykeException.of(ResultCode.INTERNAL, Outcome.NOT_RUN, "interrupted", e);
        }
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
