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

import com.google.protobuf.ByteString;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.VersionHistory;
import org.quilldyke.gateway.instance.OriginFrames;
import org.quilldyke.gateway.instance.Peers;
import org.quilldyke.gateway.instance.RolloutFrames;
import org.quilldyke.gateway.instance.SessionServer;
import org.quilldyke.gateway.instance.TellingRates;
import org.quilldyke.gateway.instance.VersionFrames;
import org.quilldyke.gateway.instance.proto.Answer;
import org.quilldyke.gateway.instance.proto.CacheNews;
import org.quilldyke.gateway.instance.proto.Caches;
import org.quilldyke.gateway.instance.proto.CanaryFractions;
import org.quilldyke.gateway.instance.proto.Configuration;
import org.quilldyke.gateway.instance.proto.ControlFrame;
import org.quilldyke.gateway.instance.proto.CrashNews;
import org.quilldyke.gateway.instance.proto.EntryFrame;
import org.quilldyke.gateway.instance.proto.Hello;
import org.quilldyke.gateway.instance.proto.Limits;
import org.quilldyke.gateway.instance.proto.Loading;
import org.quilldyke.gateway.instance.proto.Loads;
import org.quilldyke.gateway.instance.proto.ModelWeights;
import org.quilldyke.gateway.instance.proto.OriginInquiry;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.gateway.instance.proto.Question;
import org.quilldyke.gateway.instance.proto.Relays;
import org.quilldyke.gateway.instance.proto.Target;
import org.quilldyke.gateway.instance.proto.TargetLoad;
import org.quilldyke.gateway.instance.proto.TargetLoads;
import org.quilldyke.gateway.instance.proto.Targets;
import org.quilldyke.gateway.settings.GatewaySettings;
import org.quilldyke.instance.RelayOffer;
import org.quilldyke.manifest.FleetState;
import org.quilldyke.routing.TargetState;
import org.quilldyke.routing.Topology;

/**
 * The sessions of entry processes that are connected to this control process.
 *
 * <p>All sessions receive changes of the state, targets, suspects and limits immediately, and the
 * answer to a question once the read is confirmed. Cache contents and loads are sent on an entry's
 * main session only.
 */
final class EntrySessions {
    /** Unchanged loads are repeated at this interval, so that they do not become stale. */
    private static final long LOADS_REFRESH_MILLIS = 500;

    private static final long SESSION_TIMEOUT_MILLIS = 3000;

    private final LongSupplier mClock;
    private final EventLog mLog;
    private final Peers mPeers;
    private final String mFailureDomain;
    private final Topology mTopology;
    private final EntryLoads mLoads;
    private final CacheInventory mCacheInventory = new CacheInventory();
    private final Set<Session> mSessions = new LinkedHashSet<>();
    private final Map<String, Long> mWeightsNamedAt = new HashMap<>();
    private final Map<String, Long> mLoadingSince = new HashMap<>();
    private Consumer<Consumer<Boolean>> mConfirm;
    private IntSupplier mEntryCount;
    private TargetReplication mTargets;
    private CrashReplication mCrashes;
    private LimitReplication mLimits;
    private QuotaService mQuotas;
    private RolloutController mRollouts;
    private OriginReplication mOrigins;
    private FleetState mState = FleetState.create();
    private boolean mStatePublished;
    private long mPublishedVersion = -1;
    private long mLoadsSentToPeersAt;
    private long mLoadsSentToEntriesAt;
    private long mLoadsRefreshedAt;
    private List<TargetLoad> mLoadsSentToPeers = List.of();

    EntrySessions(
            LongSupplier clock,
            EventLog log,
            Peers peers,
            String failureDomain,
            Topology topology,
            long retryWindowMillis) {
        mTopology = topology;
        mLoads = EntryLoads.create(retryWindowMillis);
        mClock = clock;
        mLog = log;
        mPeers = peers;
        mFailureDomain = failureDomain;
    }

    /** Returns an instance without sessions. */
    static EntrySessions of(
            GatewaySettings settings, Peers peers, LongSupplier clock, EventLog log) {
        return new EntrySessions(
                clock,
                log,
                peers,
                settings.failureDomain(),
                Topology.of(settings.regions()),
                settings.timings().retryWindow());
    }

    /**
     * Sets the parts that sessions use.
     *
     * @param confirm confirms that this replica has applied all that was committed before
     * @param entryCount the number of entries as the leader counts them
     * @param targets stores the targets that entries know, and provides all targets
     * @param crashes stores the crashes that entries have observed
     * @param limits stores the limits that targets have advertised to entries
     * @param quotas decides which requests are within the quotas of organisations
     * @param rollouts collects what entries observe of rollouts
     * @param origins stores which software versions began streams
     */
    void connect(
            Consumer<Consumer<Boolean>> confirm,
            IntSupplier entryCount,
            TargetReplication targets,
            CrashReplication crashes,
            LimitReplication limits,
            QuotaService quotas,
            RolloutController rollouts,
            OriginReplication origins) {
        mConfirm = confirm;
        mEntryCount = entryCount;
        mTargets = targets;
        mCrashes = crashes;
        mLimits = limits;
        mQuotas = quotas;
        mRollouts = rollouts;
        mOrigins = origins;
    }

    /** Stores the state after a change; {@link #publishState} sends it to all entries. */
    void onState(FleetState state) {
        mState = state;
        mStatePublished = false;
        state.weights()
                .forEach(
                        (model, version) ->
                                mWeightsNamedAt.putIfAbsent(
                                        model + " " + version, mClock.getAsLong()));
    }

    /**
     * Sends the state to all entries if it has changed since the last time. Of several changes at
     * once, as after a start, only the last state is sent.
     */
    void publishState() {
        if (mStatePublished || !mState.hasManifest()) {
            return;
        }
        mStatePublished = true;
        boolean newDocument = mState.version() != mPublishedVersion;
        mPublishedVersion = mState.version();
        sendToAll(configuration(newDocument));
    }

    /** Sends changed targets to all entries. */
    void onTargets(Targets targets) {
        for (Target target : targets.getTargetsList()) {
            if (target.getStanding() == Target.Standing.GONE) {
                mCacheInventory.remove(target.getId());
            } else if (target.getStanding() == Target.Standing.LIVE) {
                mCacheInventory.observeHolder(target.getId());
            }
        }
        sendToAll(ControlFrame.newBuilder().setTargets(targets).build());
    }

    /** Sends changed suspects to all entries. */
    void onCrashes(CrashNews suspects) {
        sendToAll(ControlFrame.newBuilder().setCrashes(suspects).build());
    }

    /** Sends changed limits to all entries. */
    void onLimits(Limits limits) {
        sendToAll(ControlFrame.newBuilder().setLimits(limits).build());
    }

    /** Sends the shares of requests that go to new versions to all entries. */
    void onCanaryFractions(CanaryFractions fractions) {
        sendToAll(ControlFrame.newBuilder().setCanaryFractions(fractions).build());
    }

    /** Notifies all entries that an engine is about to load weights, or has finished. */
    void onLoading(Loading loading) {
        if (loading.getLoading()) {
            mLoadingSince.put(loading.getTarget(), mClock.getAsLong());
        } else {
            mLoadingSince.remove(loading.getTarget());
        }
        sendToAll(ControlFrame.newBuilder().setLoading(loading).build());
    }

    /**
     * Applies cache updates, and sends the changes in one frame to entries whose main session is
     * here.
     */
    void onCacheUpdates(List<CacheNews> updates) {
        Caches.Builder changes = Caches.newBuilder();
        updates.forEach(update -> mCacheInventory.apply(update).ifPresent(changes::addCaches));
        if (changes.getCachesCount() > 0) {
            ControlFrame frame = ControlFrame.newBuilder().setCaches(changes).build();
            mainSessions().forEach(session -> session.send(frame));
        }
    }

    /** Returns the contents of all caches. */
    List<CacheNews> cacheContents() {
        return mCacheInventory.snapshot();
    }

    /** Stores the loads that entries reported to another control process. */
    void onLoads(String control, Loads loads) {
        mLoads.onPeerLoads(control, loads, mClock.getAsLong());
    }

    /**
     * Returns the number of entries that were seen recently, here or at other control processes.
     */
    int entryCount() {
        return mLoads.entryCount(mClock.getAsLong());
    }

    /** Returns the number of open requests at each target, of all entries. */
    Map<String, Integer> openRequests() {
        return mLoads.openRequests(mClock.getAsLong());
    }

    /** Sends loads to peers and entries when due, and closes sessions that have timed out. */
    void tick() {
        long now = mClock.getAsLong();
        if (now - mLoadsSentToPeersAt >= TellingRates.loadsMillis()) {
            mLoadsSentToPeersAt = now;
            sendLoadsToPeers(now);
        }
        if (now - mLoadsSentToEntriesAt >= TellingRates.othersLoadsMillis(mLoads.entryCount(now))) {
            mLoadsSentToEntriesAt = now;
            sendLoadsToEntries(now);
        }
        for (Session session : List.copyOf(mSessions)) {
            if (now - session.mLastFrameAt > SESSION_TIMEOUT_MILLIS) {
                session.mOut.onError(Status.UNAVAILABLE.asException());
                session.onEnd();
            }
        }
    }

    private void sendLoadsToEntries(long now) {
        EntryLoads.Totals totals = mLoads.totals(now);
        mainSessions().forEach(session -> session.sendLoads(totals.excluding(session.mEntry)));
    }

    /** Sends the totals of local loads to peers if they have changed or a refresh is due. */
    private void sendLoadsToPeers(long now) {
        List<TargetLoad> local = mLoads.localLoads(now);
        boolean refresh = now - mLoadsRefreshedAt >= LOADS_REFRESH_MILLIS;
        if (local.equals(mLoadsSentToPeers) && !refresh) {
            return;
        }
        Loads.Builder loads = Loads.newBuilder().addAllTargets(local);
        if (refresh) {
            mLoadsRefreshedAt = now;
            loads.addAllEntries(mLoads.localEntries(now));
        }
        mLoadsSentToPeers = local;
        mPeers.sendToAll(PeerFrame.newBuilder().setLoads(loads));
    }

    private Stream<Session> mainSessions() {
        return mSessions.stream().filter(session -> session.mMain);
    }

    private void sendToAll(ControlFrame frame) {
        mSessions.forEach(session -> session.send(frame));
    }

    /** Opens a session for a new stream. */
    SessionServer.EntrySession open(StreamObserver<ControlFrame> out) {
        return new Session(out);
    }

    private ControlFrame configuration(boolean withDocument) {
        Configuration.Builder out = Configuration.newBuilder().setIndex(mState.lastChangeIndex());
        if (withDocument) {
            out.setDocument(ByteString.copyFrom(mState.document()));
        }
        mState.weights()
                .forEach(
                        (model, version) ->
                                out.addWeights(
                                        ModelWeights.newBuilder()
                                                .setModel(model)
                                                .setVersion(version)
                                                .setAgeMs(millisSinceNamed(model, version))));
        mState.versions()
                .values()
                .forEach(
                        versions ->
                                out.addRollouts(
                                        RolloutFrames.encode(
                                                versions,
                                                mRollouts.ageMillis(versions.rollout()))));
        if (!mState.versionHistory().equals(VersionHistory.NONE)) {
            out.setVersionHistory(VersionFrames.encode(mState.versionHistory()));
        }
        return ControlFrame.newBuilder().setConfiguration(out).build();
    }

    private long millisSinceNamed(String model, long version) {
        long now = mClock.getAsLong();
        return now - mWeightsNamedAt.getOrDefault(model + " " + version, now);
    }

    private final class Session implements SessionServer.EntrySession {
        private final StreamObserver<ControlFrame> mOut;
        private String mEntry = "";
        private long mLastFrameAt = mClock.getAsLong();
        private boolean mMain;
        private RelayOffer.Entry mRelay = new RelayOffer.Entry("", "", "", false);

        /** Empty at first: what another control process sent to the entry is unknown here. */
        private Optional<List<TargetLoad>> mLastLoadsSent = Optional.empty();

        Session(StreamObserver<ControlFrame> out) {
            mOut = out;
        }

        @Override
        public void onFrame(EntryFrame frame) {
            mLastFrameAt = mClock.getAsLong();
            if (frame.getKindCase() == EntryFrame.KindCase.HELLO) {
                onHello(frame.getHello());
            } else if (frame.getKindCase() == EntryFrame.KindCase.QUESTION) {
                onQuestion(frame.getQuestion());
            } else if (frame.getKindCase() == EntryFrame.KindCase.LOADS) {
                mLoads.onLoad(mEntry, frame.getLoads().getTargetsList(), mLastFrameAt);
            } else if (frame.getKindCase() == EntryFrame.KindCase.CRASHES) {
                mCrashes.onEntryReport(frame.getCrashes());
            } else if (frame.getKindCase() == EntryFrame.KindCase.LIMITS) {
                mLimits.onEntryReport(frame.getLimits());
            } else if (frame.getKindCase() == EntryFrame.KindCase.QUOTAS) {
                mQuotas.onInquiries(frame.getQuotas(), this::sendIfOpen);
            } else if (frame.getKindCase() == EntryFrame.KindCase.ROLLOUT_REPORT) {
                mRollouts.onEntryReport(mEntry, frame.getRolloutReport());
            } else if (frame.getKindCase() == EntryFrame.KindCase.STREAM_ORIGINS) {
                mOrigins.onEntryReport(frame.getStreamOrigins());
            } else if (frame.getKindCase() == EntryFrame.KindCase.ORIGIN_INQUIRY) {
                onOriginInquiry(frame.getOriginInquiry());
            } else if (frame.getKindCase() == EntryFrame.KindCase.PATHS) {
                mRelay = mRelay.withPartitioned(frame.getPaths().getLost());
                send(relays());
            }
        }

        @Override
        public void onEnd() {
            if (mSessions.remove(this)) {
                setMain(false);
                mLog.write(Event.SUBSCRIBER_LOST, "entry", mEntry);
            }
        }

        void send(ControlFrame frame) {
            mOut.onNext(frame);
        }

        private void sendIfOpen(ControlFrame frame) {
            if (mSessions.contains(this)) {
                send(frame);
            }
        }

        void sendLoads(List<TargetLoad> loads) {
            if (!mLastLoadsSent.equals(Optional.of(loads))) {
                mLastLoadsSent = Optional.of(loads);
                TargetLoads message = TargetLoads.newBuilder().addAllTargets(loads).build();
                send(ControlFrame.newBuilder().setLoads(message).build());
            }
        }

        private void onHello(Hello hello) {
            mEntry = hello.getEntry();
            mRelay =
                    new RelayOffer.Entry(
                            mEntry, hello.getFailureDomain(), hello.getRelayAddress(), false);
            mLog.write(Event.SUBSCRIBER_GAINED, "entry", mEntry, "index", hello.getHeldIndex());
            mTargets.onTargets(hello.getTargets());
            mCrashes.onEntryReport(hello.getCrashes());
            mOrigins.onEntryReport(hello.getStreamOrigins());
            mSessions.add(this);
            if (mState.hasManifest()) {
                send(configuration(true));
            }
            send(ControlFrame.newBuilder().setTargets(mTargets.snapshot()).build());
            CrashNews suspects = mCrashes.suspects();
            if (suspects.getSuspectsCount() > 0) {
                send(ControlFrame.newBuilder().setCrashes(suspects).build());
            }
            Limits limits = mLimits.snapshot();
            if (limits.getLimitsCount() > 0) {
                send(ControlFrame.newBuilder().setLimits(limits).build());
            }
            long now = mClock.getAsLong();
            mLoadingSince.values().removeIf(since -> now - since > TargetState.MAX_LOADING_MILLIS);
            for (String target : mLoadingSince.keySet()) {
                Loading loading = Loading.newBuilder().setTarget(target).setLoading(true).build();
                send(ControlFrame.newBuilder().setLoading(loading).build());
            }
        }

        private void onOriginInquiry(OriginInquiry inquiry) {
            mOrigins.find(
                    inquiry,
                    verdict ->
                            sendIfOpen(
                                    ControlFrame.newBuilder()
                                            .setOriginVerdict(
                                                    OriginFrames.encode(
                                                            inquiry.getNumber(), verdict))
                                            .build()));
        }

        private ControlFrame relays() {
            List<RelayOffer.Entry> entries = mSessions.stream().map(s -> s.mRelay).toList();
            return ControlFrame.newBuilder()
                    .setRelays(
                            Relays.newBuilder()
                                    .addAllAddresses(RelayOffer.of(mRelay, entries, mTopology)))
                    .build();
        }

        private void onQuestion(Question question) {
            setMain(question.getMain());
            if (mMain) {
                mLoads.onKeepAlive(mEntry, mClock.getAsLong());
            }
            mConfirm.accept(
                    confirmed -> {
                        if (confirmed && mSessions.contains(this)) {
                            // All committed state must reach the entry before the answer.
                            publishState();
                            send(answer(question.getNumber()));
                        }
                    });
        }

        /** Starts or stops sending cache contents and loads to the entry. */
        private void setMain(boolean main) {
            if (main == mMain) {
                return;
            }
            mMain = main;
            if (!main) {
                mLoads.removeLocal(mEntry);
                return;
            }
            mLastLoadsSent = Optional.empty();
            Caches contents = Caches.newBuilder().addAllCaches(mCacheInventory.snapshot()).build();
            send(ControlFrame.newBuilder().setCaches(contents).build());
        }

        private ControlFrame answer(long number) {
            return ControlFrame.newBuilder()
                    .setAnswer(
                            Answer.newBuilder()
                                    .setNumber(number)
                                    .setEntries(mLoads.entryCount(mClock.getAsLong()))
                                    .setPlace(mLoads.rank(mEntry))
                                    .setFailureDomain(mFailureDomain)
                                    .setCounted(mMain)
                                    .setCountedEntries(mMain ? mEntryCount.getAsInt() : 0)
                                    .addAllControlAddresses(mPeers.known()))
                    .build();
        }
    }
}
