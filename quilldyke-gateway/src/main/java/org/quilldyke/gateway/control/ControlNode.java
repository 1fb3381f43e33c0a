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
package org.quilldyke.gateway.control;

import com.codahale.metrics.MetricRegistry;
import io.grpc.stub.StreamObserver;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.control.Membership;
import org.quilldyke.control.PeerMessage;
import org.quilldyke.control.Replica;
import org.quilldyke.control.ReplicaSettings;
import org.quilldyke.daemon.control.DataFolder;
import org.quilldyke.daemon.control.ReplicaNode;
import org.quilldyke.daemon.instance.Wire;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.gateway.dialect.ControlCall;
import org.quilldyke.gateway.dialect.ControlDialect;
import org.quilldyke.gateway.engine.EngineClient;
import org.quilldyke.gateway.engine.RefusalLog;
import org.quilldyke.gateway.instance.Compression;
import org.quilldyke.gateway.instance.NettyLoop;
import org.quilldyke.gateway.instance.Peers;
import org.quilldyke.gateway.instance.RegionBytes;
import org.quilldyke.gateway.instance.SessionServer;
import org.quilldyke.gateway.instance.proto.ControlFrame;
import org.quilldyke.gateway.instance.proto.Loading;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.gateway.instance.proto.Targets;
import org.quilldyke.gateway.settings.GatewaySettings;
import org.quilldyke.manifest.FleetState;
import org.quilldyke.manifest.Manifest;
import org.quilldyke.manifest.Service;
import org.quilldyke.rollout.Rollout;
import org.quilldyke.rollout.RolloutPlanner;
import org.quilldyke.weights.EngineFleet;

/**
 * A control process: its replica, its links to other control processes and its entry sessions.
 * Confined to the control thread.
 */
public final class ControlNode implements SessionServer.Handler, ReplicaNode.Listener {
    /** Raft timing for latencies of some milliseconds, and for processors that may pause. */
    private static final long HEARTBEAT_MILLIS = 80;

    private static final long ELECTION_TIMEOUT_MILLIS = 450;
    private static final long LEADER_LEASE_MILLIS = 220;

    private static final long TICK_MILLIS = 50;

    /** A restart loses the cache changes of this time: one or two long prompts of an engine. */
    private static final long CACHE_SAVE_INTERVAL_MILLIS = 300;

    /**
     * Without contact to a leader for this long, a process cannot tell which targets are
     * unresponsive.
     */
    private static final long LEADER_CONTACT_TIMEOUT_MILLIS = 1500;

    private final NettyLoop mLoop;
    private final LongSupplier mClock;
    private final EventLog mLog;
    private final String mAddress;
    private final Peers mPeers;
    private final EntrySessions mEntries;
    private final FleetStateMachine mStateMachine;
    private final ReplicaGroup mGroup;
    private final ReadConfirmations mReadConfirmations;
    private final Proposals mProposals;
    private final WarmStartData mWarmStart;
    private final AckedBroadcasts mBroadcasts;
    private final TargetReplication mTargets;
    private final CrashReplication mCrashes;
    private final LimitReplication mLimits;
    private final QuotaService mQuotas;
    private final RolloutController mRollouts;
    private final RolloutOrders mRolloutOrders;
    private final FleetOrders mFleetOrders;
    private final OriginReplication mOrigins;
    private final VersionRecorder mVersions;
    private final boolean mPermitsRollouts;
    private final MembershipManager mMembership;
    private final WeightsController mWeights;
    private final CacheEventWatcher mCacheWatcher;
    private final CacheUpdateBatch mCacheUpdates = new CacheUpdateBatch();
    private final ControlDialect mDialect;
    private final int mRequiredVoters;
    private volatile Set<String> mSeeds;
    private long mCachesSavedAt;
    private boolean mPublishScheduled;
    private boolean mStopped;

    private ControlNode(
            GatewaySettings settings,
            NettyLoop loop,
            LongSupplier clock,
            EventLog log,
            EngineClient engineClient,
            ControlDialect dialect,
            RefusalLog rejectedReports,
            long startedAt)
            throws QuilldykeException {
        mLoop = loop;
        mClock = clock;
        mLog = log;
        mAddress = settings.internalAddress(settings.ip());
        mRequiredVoters = 2 * settings.toleratedLosses() + 1;
        mPeers = Peers.of(settings, loop, clock, log);
        mEntries = EntrySessions.of(settings, mPeers, clock, log);
        mStateMachine = new FleetStateMachine(this::onState);
        SplittableRandom random = new SplittableRandom(System.nanoTime() ^ mAddress.hashCode());
        DataFolder folder = DataFolder.open(Path.of(settings.dataFolder()));
        mWarmStart = WarmStartData.open(folder, loop, log, rejectedReports, mAddress);
        ReplicaIdentity.Opened opened =
                ReplicaIdentity.open(folder, settings, mAddress, random, log);
        mGroup = new ReplicaGroup(opened.identity().id(), mPeers);
        Replica replica =
                Replica.restore(
                        settingsOf(opened.identity(), settings.toleratedLosses()),
                        opened.durableState(),
                        random,
                        startedAt,
                        clock.getAsLong());
        mGroup.createNode(
                new ReplicaNode.Environment(loop, clock, log),
                folder,
                opened.durableState(),
                replica,
                mStateMachine,
                this);
        EntryCount entryCount = new EntryCount(mGroup, mEntries::entryCount);
        mReadConfirmations = new ReadConfirmations(mGroup, mPeers, entryCount, clock);
        mProposals = new Proposals(mGroup, mPeers, loop, clock);
        mBroadcasts = new AckedBroadcasts(mPeers::sendToAll, clock, settings.toleratedLosses());
        mTargets = createTargetReplication(settings.timings().targetReport(), rejectedReports);
        mCrashes = createCrashReplication(settings.timings().targetReport());
        mLimits = new LimitReplication(mPeers::sendToAll, mEntries::onLimits, clock);
        mQuotas =
                new QuotaService(
                        mGroup,
                        this::isCurrent,
                        mPeers::send,
                        mAddress,
                        settings.quotaTolerance(),
                        clock,
                        log);
        mPermitsRollouts = settings.rollout().permitsRollouts();
        mRollouts = createRolloutController(settings);
        mRolloutOrders =
                new RolloutOrders(mReadConfirmations, mProposals, this::publishedState, log);
        mFleetOrders = new FleetOrders(mReadConfirmations, mProposals, mStateMachine::state, log);
        mOrigins = connectEntries(entryCount);
        mVersions = new VersionRecorder(mGroup::leads, this::isCurrent, mProposals::propose, log);
        mMembership =
                new MembershipManager(mGroup, mPeers, mAddress, clock, settings.toleratedLosses());
        mWeights = createWeightsController(engineClient, settings.timings().orderLease());
        mDialect = dialect;
        mCacheWatcher =
                new CacheEventWatcher(engineClient, loop, log, mPeers.bytes(), mCacheUpdates::add);
        onState(mStateMachine.state());
    }

    private WeightsController createWeightsController(
            EngineClient engineClient, long orderLeaseMillis) {
        return new WeightsController(
                new WeightsController.Dependencies(
                        mGroup,
                        mProposals,
                        mTargets,
                        engineClient,
                        mLoop,
                        mClock,
                        mLog,
                        this::publishLoading,
                        orderLeaseMillis));
    }

    private RolloutController createRolloutController(GatewaySettings settings) {
        return new RolloutController(
                new RolloutController.Dependencies(
                        RolloutPlanner.create(settings.rollout())::decide,
                        mGroup,
                        mProposals::propose,
                        mTargets::reports,
                        mEntries::openRequests,
                        mPeers::send,
                        mPeers::sendToAll,
                        mEntries::onCanaryFractions,
                        mClock),
                settings.rollout(),
                settings.timings().targetReport(),
                mLog);
    }

    private OriginReplication connectEntries(EntryCount entryCount) {
        OriginReplication origins =
                new OriginReplication(
                        mPeers::sendToAll,
                        mReadConfirmations::confirm,
                        mStateMachine::state,
                        OriginJournal.open(mWarmStart, mClock.getAsLong()),
                        mClock);
        mEntries.connect(
                mReadConfirmations::confirm,
                entryCount::count,
                mTargets,
                mCrashes,
                mLimits,
                mQuotas,
                mRollouts,
                origins);
        return origins;
    }

    private TargetReplication createTargetReplication(
            long reportMillis, RefusalLog rejectedReports) {
        return new TargetReplication(
                mPeers::sendToAll,
                mBroadcasts,
                mEntries::onTargets,
                mClock,
                mLog,
                mWarmStart,
                rejectedReports,
                reportMillis);
    }

    private CrashReplication createCrashReplication(long reportMillis) {
        return new CrashReplication(
                mPeers::sendToAll, mEntries::onCrashes, mClock, mLog, mWarmStart, reportMillis);
    }

    /**
     * Starts the control process; called on the control thread.
     *
     * @param settings the settings
     * @param loop the control thread
     * @param clock monotonic milliseconds
     * @param log the event log
     * @param engineClient sends requests to engines
     * @param dialect parses manifests
     * @param rejectedReports records invalid reports on targets
     * @param startedAt when the process started, in milliseconds of {@code clock}
     * @throws QuilldykeException if the data folder can't be read
     */
    public static ControlNode start(
            GatewaySettings settings,
            NettyLoop loop,
            LongSupplier clock,
            EventLog log,
            EngineClient engineClient,
            ControlDialect dialect,
            RefusalLog rejectedReports,
            long startedAt)
            throws QuilldykeException {
        ControlNode node =
                new ControlNode(
                        settings,
                        loop,
                        clock,
                        log,
                        engineClient,
                        dialect,
                        rejectedReports,
                        startedAt);
        node.mLog.write(
                Event.IDENTITY,
                "id",
                node.mGroup.selfId(),
                "members",
                node.mGroup.node().replica().membership().all().size(),
                "last",
                node.mGroup.node().replica().lastIndex());
        node.onSeeds(Set.copyOf(settings.seedAddresses()));
        node.mPeers.onUp(node::onPeerConnected);
        node.mEntries.onCacheUpdates(node.mWarmStart.caches());
        node.mGroup.node().start();
        node.tick();
        return node;
    }

    /** Returns the Raft settings of a replica. */
    static ReplicaSettings settingsOf(ReplicaIdentity identity, int toleratedLosses) {
        return ReplicaSettings.of(identity.id(), identity.initialMembership())
                .withTimes(HEARTBEAT_MILLIS, ELECTION_TIMEOUT_MILLIS, LEADER_LEASE_MILLIS)
                .withToleratedLosses(toleratedLosses);
    }

    /** Replaces the seed addresses after the settings have changed. */
    public void onSeeds(Set<String> seeds) {
        mSeeds = Set.copyOf(seeds);
    }

    /** Transfers leadership without waiting for the transfer. */
    public void transferLeadership() {
        mGroup.node().transferLeadership();
    }

    /** Stops without notifying other processes, and closes the files. */
    public void stop() throws QuilldykeException {
        mStopped = true;
        mPeers.close();
        mWarmStart.close();
        mGroup.node().stop();
    }

    /** See {@link FleetOrders#publish}. */
    public CompletableFuture<Void> publish(long version, byte[] document) {
        return mFleetOrders.publish(version, document);
    }

    /** See {@link FleetOrders#nameWeights}. */
    public CompletableFuture<Void> nameWeights(String model, long version) {
        return mFleetOrders.nameWeights(model, version);
    }

    /** See {@link FleetOrders#readManifest}. */
    public CompletableFuture<byte[]> readManifest() {
        return mFleetOrders.readManifest();
    }

    /** Returns whether operators may order rollouts; callable on any thread. */
    public boolean permitsRollouts() {
        return mPermitsRollouts;
    }

    /** Registers the metrics of rollouts and regions, if there are any; callable on any thread. */
    public void registerMetrics(MetricRegistry registry) {
        regionBytes().register(registry);
        mRollouts.registerMetrics(registry);
    }

    /** Returns the counters of bytes to other regions; callable on any thread. */
    public RegionBytes regionBytes() {
        return mPeers.bytes();
    }

    /** Orders a rollout; completes when the order is committed. */
    public CompletableFuture<Void> startRollout(ControlCall.StartRollout call) {
        return mRolloutOrders.start(call);
    }

    /** Returns the latest rollout of a service, after a linearizable read. */
    public CompletableFuture<Rollout> readRollout(String service) {
        return mRolloutOrders.read(service);
    }

    /**
     * Handles a target's report.
     *
     * @return whether it may be acknowledged: this process is in contact with a leader, and enough
     *     other processes have stored what must not be lost
     * @throws QuilldykeException {@link ResultCode#REPORT_SERVICE} if no service has its name,
     *     {@link ResultCode#REPORT_INVALID} if it omits the weights of a target that is known to
     *     hold some
     */
    public CompletableFuture<Boolean> onReport(ControlCall.Report call) throws QuilldykeException {
        CompletableFuture<Boolean> delivered =
                mTargets.onReport(call.report(), call.tellsWeights());
        mCrashes.onTargetReport(call.report());
        return delivered.thenApply(isDelivered -> isDelivered && hasRecentLeader());
    }

    /** Handles a target's leave notice; returns whether it may be acknowledged. */
    public CompletableFuture<Boolean> onLeave(String target) {
        return mTargets.onLeave(target).thenApply(delivered -> delivered && hasRecentLeader());
    }

    /** Returns whether this process was in contact with a leader recently. */
    public boolean hasRecentLeader() {
        long seenAt = mGroup.node().leaderSeenAt();
        return !mGroup.node().leader().isEmpty()
                && mClock.getAsLong() - seenAt < LEADER_CONTACT_TIMEOUT_MILLIS;
    }

    @Override
    public void onPeerFrame(PeerFrame frame) {
        if (mStopped) {
            return;
        }
        switch (frame.getKindCase()) {
            case REPLICA -> onReplica(frame);
            case JOIN -> mMembership.onJoin(frame.getJoin());
            case PROPOSAL -> mProposals.onProposal(frame.getAddress(), frame.getProposal());
            case RESULT -> mProposals.onResult(frame.getResult());
            case CONFIRM -> mReadConfirmations.onConfirm(frame.getAddress(), frame.getConfirm());
            case CONFIRMED -> mReadConfirmations.onConfirmed(frame.getConfirmed());
            case TARGETS -> onTargets(frame.getAddress(), frame.getTargets());
            case TAKEN -> mBroadcasts.onAck(frame.getAddress(), frame.getTaken().getNumber());
            case LOADING -> onLoading(frame.getLoading());
            case LOADS -> mEntries.onLoads(frame.getAddress(), frame.getLoads());
            case CRASHES -> mCrashes.onPeerReport(frame.getCrashes());
            case LIMITS -> mLimits.onPeerReport(frame.getLimits());
            case STREAM_ORIGINS -> mOrigins.onPeerReport(frame.getStreamOrigins());
            case CACHES -> mEntries.onCacheUpdates(frame.getCaches().getCachesList());
            case QUOTA_PULL -> mQuotas.onPull(frame.getAddress(), frame.getQuotaPull());
            case QUOTA_GRANT -> mQuotas.onGrant(frame.getQuotaGrant());
            case ROLLOUT_REPORTS -> mRollouts.onPeerReports(frame.getRolloutReports());
            case CANARY_FRACTIONS ->
                    mRollouts.onPeerFractions(frame.getAddress(), frame.getCanaryFractions());
            default -> {
                // Only shows that the peer is alive.
            }
        }
        mPeers.connect(Set.of(frame.getAddress()));
    }

    @Override
    public SessionServer.EntrySession onSubscriber(StreamObserver<ControlFrame> out) {
        return mEntries.open(out);
    }

    @Override
    public void onLeadership(boolean leads) {
        mWeights.onLeadership(leads);
        if (leads) {
            // The full contents first, since the leader sends only changes from here on.
            mEntries.cacheContents().forEach(mCacheUpdates::add);
            mQuotas.onElected(mGroup.node().replica().term());
        }
    }

    @Override
    public void onMembership(Membership membership) {
        mLog.write(
                Event.MEMBERSHIP,
                "voters",
                membership.voters().stream().map(Membership.Member::id).toList(),
                "standbys",
                membership.standbys().stream().map(Membership.Member::id).toList(),
                "needed",
                mRequiredVoters);
    }

    private void onTargets(String from, Targets targets) {
        mTargets.onTargets(targets);
        if (targets.getNumber() != 0) {
            mPeers.send(from, AckedBroadcasts.ackFrame(targets.getNumber()));
        }
    }

    private void onReplica(PeerFrame frame) {
        if (!frame.getReplica().getTo().equals(mGroup.selfId())) {
            return;
        }
        try {
            PeerMessage message = Wire.decode(frame.getReplica());
            mGroup.learnAddress(frame.getReplica().getFrom(), frame.getAddress());
            mGroup.node().receive(frame.getReplica().getFrom(), message);
            mLoop.execute(mReadConfirmations::advance);
        } catch (QuilldykeException e) {
            mLog.write(Event.INVARIANT, "from", frame.getAddress(), "detail", e.getMessage());
        }
    }

    private void onLoading(Loading loading) {
        if (loading.hasWeights()) {
            mTargets.onWeights(
                    loading.getTarget(),
                    loading.getWeights().getModel(),
                    loading.getWeights().getVersion());
        }
        mEntries.onLoading(loading);
    }

    private void publishLoading(Loading loading) {
        mPeers.sendToAll(PeerFrame.newBuilder().setLoading(loading));
        mEntries.onLoading(loading);
    }

    private void onPeerConnected(String address) {
        mPeers.send(address, PeerFrame.newBuilder().setTargets(mTargets.snapshotForPeers()));
        mPeers.send(address, PeerFrame.newBuilder().setLimits(mLimits.snapshot()));
        mPeers.send(address, PeerFrame.newBuilder().setStreamOrigins(mOrigins.snapshot()));
        mCrashes.snapshotForPeers()
                .ifPresent(
                        crashes ->
                                mPeers.send(address, PeerFrame.newBuilder().setCrashes(crashes)));
    }

    /** Sends the pending cache updates to all peers and entries. */
    private void publishCacheUpdates() {
        mCacheUpdates
                .takeDue(mClock.getAsLong())
                .ifPresent(
                        updates -> {
                            mPeers.sendToAll(PeerFrame.newBuilder().setCaches(updates));
                            mEntries.onCacheUpdates(updates.getCachesList());
                        });
    }

    private void onState(FleetState state) {
        mEntries.onState(state);
        if (!mPublishScheduled) {
            mPublishScheduled = true;
            mLoop.execute(this::publishState);
        }
    }

    /** Returns whether all parts have learned of all that the leader has committed. */
    private boolean isCurrent() {
        return !mPublishScheduled && mGroup.node().isCurrent();
    }

    /** Returns the state after all parts have learned of it. */
    private FleetState publishedState() {
        publishState();
        return mStateMachine.state();
    }

    /** Runs once for all log entries that are applied together. */
    private void publishState() {
        if (!mPublishScheduled) {
            return;
        }
        mPublishScheduled = false;
        FleetState state = mStateMachine.state();
        mRollouts.onState(state);
        mVersions.onState(state);
        mEntries.publishState();
        if (!state.hasManifest()) {
            return;
        }
        try {
            Manifest manifest = mDialect.readManifest(Compression.expand(state.document()));
            mCacheWatcher.onManifest(manifest);
            mQuotas.onQuotas(manifest.quotas());
            Set<String> services =
                    manifest.services().stream().map(Service::name).collect(Collectors.toSet());
            mTargets.onServices(services);
            mRolloutOrders.onServices(services);
        } catch (QuilldykeException e) {
            mLog.write(Event.INVARIANT, "detail", e.getMessage());
        }
    }

    private void tick() {
        if (mStopped) {
            return;
        }
        mLoop.schedule(TICK_MILLIS, this::tick);
        mReadConfirmations.advance();
        mMembership.tick(mSeeds);
        mTargets.tick(hasRecentLeader());
        mCrashes.tick();
        mEntries.tick();
        mQuotas.tick(mPeers.known().size());
        mRollouts.tick();
        publishCacheUpdates();
        List<TargetReport> targets = mTargets.reports();
        mOrigins.tick();
        mVersions.tick(mStateMachine.state(), targets, mClock.getAsLong());
        mCacheWatcher.tick(mGroup.leads(), targets);
        if (mClock.getAsLong() - mCachesSavedAt >= CACHE_SAVE_INTERVAL_MILLIS) {
            mCachesSavedAt = mClock.getAsLong();
            mWarmStart.saveCaches(mEntries.cacheContents());
        }
        mWeights.tick(
                mStateMachine.state().weights(),
                () ->
                        new EngineFleet(
                                targets, mCacheWatcher.unresponsive(), mEntries.openRequests()));
    }
}
