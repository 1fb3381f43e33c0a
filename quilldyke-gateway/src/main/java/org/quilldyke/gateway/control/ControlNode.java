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

import io.grpc.stub.StreamObserver;
import java.nio.file.Path;
import java.util.HashSet;
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
import org.quilldyke.gateway.instance.SessionServer;
import org.quilldyke.gateway.instance.proto.ControlFrame;
import org.quilldyke.gateway.instance.proto.Loading;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.gateway.instance.proto.Targets;
import org.quilldyke.gateway.settings.GatewaySettings;
import org.quilldyke.manifest.FleetCommand;
import org.quilldyke.manifest.FleetResult;
import org.quilldyke.manifest.FleetState;
import org.quilldyke.manifest.Manifest;
import org.quilldyke.manifest.Service;
import org.quilldyke.weights.EngineFleet;

/** One control process: its replica, its peers, its entries. Lives on the control thread. */
public final class ControlNode implements SessionServer.Handler, ReplicaNode.Listener {
    /** Replicas some milliseconds apart on processors that may pause: times of Raft. */
    private static final long HEARTBEAT_MILLIS = 80;

    private static final long ELECTION_MILLIS = 450;
    private static final long LEASE_MILLIS = 220;

    private static final long TICK_MILLIS = 50;

    /** An engine of today's sites reads one or two long prompts within this time. */
    private static final long SAVE_CACHES_MILLIS = 300;

    /** A process that hasn't heard a leader for this long can't say that a target is silent. */
    private static final long OUT_OF_TOUCH_MILLIS = 1500;

    private final NettyLoop mLoop;
    private final LongSupplier mClock;
    private final EventLog mLog;
    private final String mAddress;
    private final Peers mPeers;
    private final EntrySessions mEntries;
    private final FleetMachine mMachine;
    private final Group mGroup;
    private final Confirmations mConfirmations;
    private final Proposals mProposals;
    private final RestartMemory mMemory;
    private final Deliveries mDeliveries;
    private final TargetSpread mTargets;
    private final CrashSpread mCrashes;
    private final LimitSpread mLimits;
    private final MembershipKeeper mMembership;
    private final WeightsKeeper mWeights;
    private final CacheWatch mCaches;
    private final CacheBatch mNews = new CacheBatch();
    private final ControlDialect mDialect;
    private final int mNeededVoters;
    private volatile Set<String> mSeeds;
    private long mCachesSavedAt;
    private boolean mTellPosted;
    private boolean mStopped;

    private ControlNode(
            GatewaySettings settings,
            NettyLoop loop,
            LongSupplier clock,
            EventLog log,
            EngineClient orders,
            ControlDialect dialect,
            RefusalLog refused,
            long startedAt)
            throws QuilldykeException {
        mLoop = loop;
        mClock = clock;
        mLog = log;
        mAddress = settings.internalAddress(settings.ip());
        mNeededVoters = 2 * settings.toleratedLosses() + 1;
        mSeeds = new HashSet<>(settings.seedAddresses());
        mPeers = Peers.create(loop, clock, log, mAddress);
        mEntries = new EntrySessions(clock, log, mPeers, settings.failureDomain());
        mMachine = new FleetMachine(this::onState);
        SplittableRandom random = new SplittableRandom(System.nanoTime() ^ mAddress.hashCode());
        DataFolder folder = DataFolder.open(Path.of(settings.dataFolder()));
        mMemory = RestartMemory.in(folder, loop, log, refused, mAddress);
        ReplicaIdentity.Opened opened =
                ReplicaIdentity.open(folder, settings, mAddress, random, log);
        mGroup = new Group(opened.identity().id(), mPeers);
        Replica replica =
                Replica.restore(
                        settingsOf(opened.identity(), settings.toleratedLosses()),
                        opened.disk(),
                        random,
                        startedAt,
                        clock.getAsLong());
        ReplicaNode<FleetResult> node =
                ReplicaNode.of(
                        new ReplicaNode.Environment(loop, clock, log),
                        folder,
                        opened.disk(),
                        replica,
                        mMachine,
                        mGroup::deliver,
                        this);
        mGroup.onNode(node);
        mConfirmations = new Confirmations(mGroup, mPeers, clock);
        mProposals = new Proposals(mGroup, mPeers, loop, clock);
        mDeliveries = new Deliveries(mPeers::sendToAll, clock, settings.toleratedLosses());
        mTargets = spread(settings.timings().targetReport(), refused);
        mCrashes = new CrashSpread(mPeers::sendToAll, mEntries::onCrashes, clock, log, mMemory);
        mLimits = new LimitSpread(mPeers::sendToAll, mEntries::onLimits, clock);
        mEntries.connect(mConfirmations::ask, mTargets, mCrashes, mLimits);
        mMembership =
                new MembershipKeeper(mGroup, mPeers, mAddress, clock, settings.toleratedLosses());
        mWeights =
                new WeightsKeeper(
                        new WeightsKeeper.Parts(
                                mGroup,
                                mProposals,
                                mTargets,
                                orders,
                                loop,
                                clock,
                                log,
                                this::tellLoading,
                                settings.timings().orderLease()));
        mDialect = dialect;
        mCaches = new CacheWatch(orders, loop, log, mNews::add);
        onState(mMachine.state());
    }

    private TargetSpread spread(long reportMillis, RefusalLog refused) {
        return new TargetSpread(
                mPeers::sendToAll,
                mDeliveries,
                mEntries::onTargets,
                mClock,
                mLog,
                mMemory,
                refused,
                reportMillis);
    }

    /**
     * Starts a control process's part of the group; call it on the control thread.
     *
     * @param settings the settings
     * @param loop the control thread
     * @param clock monotonic milliseconds
     * @param log where events go
     * @param orders speaks to engines
     * @param dialect reads manifests
     * @param refused takes notice of what can't be taken of what others say of targets
     * @param startedAt when the process began
     * @throws QuilldykeException if the data folder can't be read
     */
    public static ControlNode start(
            GatewaySettings settings,
            NettyLoop loop,
            LongSupplier clock,
            EventLog log,
            EngineClient orders,
            ControlDialect dialect,
            RefusalLog refused,
            long startedAt)
            throws QuilldykeException {
        ControlNode node =
                new ControlNode(settings, loop, clock, log, orders, dialect, refused, startedAt);
        node.mLog.write(
                Event.IDENTITY,
                "id",
                node.mGroup.selfId(),
                "members",
                node.mGroup.node().replica().membership().all().size(),
                "last",
                node.mGroup.node().replica().lastIndex());
        node.mPeers.onUp(node::onPeerUp);
        node.mEntries.onCaches(node.mMemory.caches());
        node.mGroup.node().start();
        node.tick();
        return node;
    }

    /** Returns how a replica of this fleet takes part. */
    static ReplicaSettings settingsOf(ReplicaIdentity identity, int toleratedLosses) {
        return ReplicaSettings.of(identity.id(), identity.initial())
                .withTimes(HEARTBEAT_MILLIS, ELECTION_MILLIS, LEASE_MILLIS)
                .withToleratedLosses(toleratedLosses);
    }

    /** Takes seeds that the settings name now. */
    public void onSeeds(Set<String> seeds) {
        mSeeds = Set.copyOf(seeds);
    }

    /** Hands leadership on and waits for nothing. */
    public void leave() {
        mGroup.node().transferLeadership();
    }

    /** Stops without a word to the others, and closes the files. */
    public void stop() throws QuilldykeException {
        mStopped = true;
        mPeers.close();
        mMemory.close();
        mGroup.node().stop();
    }

    /** Publishes a manifest; completes when it, or a newer one, is committed. */
    public CompletableFuture<Void> publish(long version, byte[] document) {
        if (mMachine.state().version() >= version) {
            return CompletableFuture.completedFuture(null);
        }
        byte[] compressed = Compression.compress(document);
        return mProposals
                .propose(new FleetCommand.PublishManifest(version, compressed))
                .thenAccept(
                        result ->
                                mLog.write(
                                        Event.MANIFEST_ACCEPTED,
                                        "version",
                                        version,
                                        "index",
                                        result.index(),
                                        "changed",
                                        result.changed(),
                                        "bytes",
                                        compressed.length));
    }

    /** Names weights; completes when they, or newer ones, are committed. */
    public CompletableFuture<Void> nameWeights(String model, long version) {
        if (mMachine.state().weights().getOrDefault(model, 0L) >= version) {
            return CompletableFuture.completedFuture(null);
        }
        return mProposals
                .propose(new FleetCommand.NameWeights(model, version))
                .thenAccept(
                        result ->
                                mLog.write(
                                        Event.WEIGHTS_NAMED,
                                        "model",
                                        model,
                                        "version",
                                        version,
                                        "index",
                                        result.index()));
    }

    /** Returns the newest manifest as its operator wrote it, once that is sure. */
    public CompletableFuture<byte[]> read() {
        CompletableFuture<byte[]> result = new CompletableFuture<>();
        mConfirmations.ask(
                confirmed -> {
                    FleetState state = mMachine.state();
                    if (!confirmed || !state.hasManifest()) {
                        result.completeExceptionally(
                                QuilldykeException.notRun(ResultCode.READ_UNCONFIRMED, ""));
                        return;
                    }
                    try {
                        result.complete(Compression.expand(state.document()));
                    } catch (QuilldykeException e) {
                        result.completeExceptionally(e);
                    }
                });
        return result;
    }

    /**
     * Takes a target's report; returns whether it may be acknowledged: this process is in touch
     * with the others, and they hold as much of it as must not be lost.
     *
     * @throws QuilldykeException {@link ResultCode#REPORT_SERVICE} if no service has its name,
     *     {@link ResultCode#REPORT_INVALID} if it says nothing of weights that the target holds
     */
    public CompletableFuture<Boolean> onReport(ControlCall.Report call) throws QuilldykeException {
        return mTargets.onReport(call.report(), call.tellsWeights())
                .thenApply(taken -> taken && isInTouch());
    }

    /** Takes the news that a target is gone; returns whether it may be acknowledged. */
    public CompletableFuture<Boolean> onLeave(String target) {
        return mTargets.onLeave(target).thenApply(taken -> taken && isInTouch());
    }

    /** Returns whether a leader was heard lately. */
    public boolean isInTouch() {
        long seenAt = mGroup.node().leaderSeenAt();
        return !mGroup.node().leader().isEmpty()
                && mClock.getAsLong() - seenAt < OUT_OF_TOUCH_MILLIS;
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
            case CONFIRM -> mConfirmations.onConfirm(frame.getAddress(), frame.getConfirm());
            case CONFIRMED -> mConfirmations.onConfirmed(frame.getConfirmed());
            case TARGETS -> onTargets(frame.getAddress(), frame.getTargets());
            case TAKEN -> mDeliveries.onTaken(frame.getAddress(), frame.getTaken().getNumber());
            case LOADING -> onLoading(frame.getLoading());
            case LOADS -> mEntries.onLoads(frame.getAddress(), frame.getLoads());
            case CRASHES -> mCrashes.onPeerNews(frame.getCrashes());
            case LIMITS -> mLimits.onPeerNews(frame.getLimits());
            case CACHES -> mEntries.onCaches(frame.getCaches().getCachesList());
            default -> {
                // A sign of life.
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
            // From now on others hear of changes only.
            mEntries.caches().forEach(mNews::add);
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
                mNeededVoters);
    }

    private void onTargets(String from, Targets targets) {
        mTargets.onTargets(targets);
        if (targets.getNumber() != 0) {
            mPeers.send(from, Deliveries.taken(targets.getNumber()));
        }
    }

    private void onReplica(PeerFrame frame) {
        if (!frame.getReplica().getTo().equals(mGroup.selfId())) {
            return;
        }
        try {
            PeerMessage message = Wire.decode(frame.getReplica());
            mGroup.onHeard(frame.getReplica().getFrom(), frame.getAddress());
            mGroup.node().receive(frame.getReplica().getFrom(), message);
            mLoop.execute(mConfirmations::advance);
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

    private void tellLoading(Loading loading) {
        mPeers.sendToAll(PeerFrame.newBuilder().setLoading(loading));
        mEntries.onLoading(loading);
    }

    private void onPeerUp(String address) {
        mPeers.send(address, PeerFrame.newBuilder().setTargets(mTargets.heard()));
        mPeers.send(address, PeerFrame.newBuilder().setLimits(mLimits.all()));
        mCrashes.all()
                .ifPresent(all -> mPeers.send(address, PeerFrame.newBuilder().setCrashes(all)));
    }

    /** Tells all what caches changed since the last time. */
    private void tellCaches() {
        mNews.take(mClock.getAsLong())
                .ifPresent(
                        news -> {
                            mPeers.sendToAll(PeerFrame.newBuilder().setCaches(news));
                            mEntries.onCaches(news.getCachesList());
                        });
    }

    private void onState(FleetState state) {
        mEntries.onState(state);
        if (!mTellPosted) {
            mTellPosted = true;
            mLoop.execute(this::tellState);
        }
    }

    /** Once for all changes that the log makes in one go. */
    private void tellState() {
        mTellPosted = false;
        mEntries.tellState();
        FleetState state = mMachine.state();
        if (!state.hasManifest()) {
            return;
        }
        try {
            Manifest manifest = mDialect.readManifest(Compression.expand(state.document()));
            mCaches.onManifest(manifest);
            mTargets.onServices(
                    manifest.services().stream().map(Service::name).collect(Collectors.toSet()));
        } catch (QuilldykeException e) {
            mLog.write(Event.INVARIANT, "detail", e.getMessage());
        }
    }

    private void tick() {
        if (mStopped) {
            return;
        }
        mLoop.schedule(TICK_MILLIS, this::tick);
        mConfirmations.advance();
        mMembership.tick(mSeeds);
        mTargets.tick(isInTouch());
        mCrashes.tick();
        mEntries.tick();
        tellCaches();
        List<TargetReport> targets = mTargets.reports();
        mCaches.tick(mGroup.leads(), targets);
        if (mClock.getAsLong() - mCachesSavedAt >= SAVE_CACHES_MILLIS) {
            mCachesSavedAt = mClock.getAsLong();
            mMemory.saveCaches(mEntries.caches());
        }
        mWeights.tick(
                mMachine.state().weights(),
                new EngineFleet(targets, mCaches.silent(), mEntries.openRequests()));
    }
}
