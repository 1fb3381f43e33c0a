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
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.gateway.instance.Peers;
import org.quilldyke.gateway.instance.SessionServer;
import org.quilldyke.gateway.instance.TellingRates;
import org.quilldyke.gateway.instance.proto.Answer;
import org.quilldyke.gateway.instance.proto.CacheNews;
import org.quilldyke.gateway.instance.proto.Caches;
import org.quilldyke.gateway.instance.proto.Configuration;
import org.quilldyke.gateway.instance.proto.ControlFrame;
import org.quilldyke.gateway.instance.proto.CrashNews;
import org.quilldyke.gateway.instance.proto.EntryFrame;
import org.quilldyke.gateway.instance.proto.Hello;
import org.quilldyke.gateway.instance.proto.Limits;
import org.quilldyke.gateway.instance.proto.Loading;
import org.quilldyke.gateway.instance.proto.Loads;
import org.quilldyke.gateway.instance.proto.ModelWeights;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.gateway.instance.proto.Question;
import org.quilldyke.gateway.instance.proto.Target;
import org.quilldyke.gateway.instance.proto.TargetLoad;
import org.quilldyke.gateway.instance.proto.TargetLoads;
import org.quilldyke.gateway.instance.proto.Targets;
import org.quilldyke.manifest.FleetState;
import org.quilldyke.routing.TargetState;

/** The entry processes that listen here: they get all news at once, and answers when confirmed. */
final class EntrySessions {
    /** Loads that haven't changed are told this often, so that they don't go stale. */
    private static final long LOADS_REFRESH_MILLIS = 500;

    private static final long SESSION_TIMEOUT_MILLIS = 3000;

    private final LongSupplier mClock;
    private final EventLog mLog;
    private final Peers mPeers;
    private final String mFailureDomain;
    private final EntryLoads mLoads = new EntryLoads();
    private final CacheInventory mCacheInventory = new CacheInventory();
    private final Set<Session> mSessions = new LinkedHashSet<>();
    private final Map<String, Long> mWeightsNamedAt = new HashMap<>();
    private final Map<String, Long> mLoadingSince = new HashMap<>();
    private Consumer<Consumer<Boolean>> mConfirm;
    private TargetReplication mTargets;
    private CrashReplication mCrashes;
    private LimitReplication mLimits;
    private FleetState mState = FleetState.create();
    private boolean mStatePublished;
    private long mPublishedVersion = -1;
    private long mLoadsSentToPeersAt;
    private long mLoadsSentToEntriesAt;
    private long mLoadsRefreshedAt;
    private List<TargetLoad> mLoadsSentToPeers = List.of();

    EntrySessions(LongSupplier clock, EventLog log, Peers peers, String failureDomain) {
        mClock = clock;
        mLog = log;
        mPeers = peers;
        mFailureDomain = failureDomain;
    }

    /**
     * Connects the sessions with what they ask.
     *
     * @param confirm takes who waits for a confirmation that all that was accepted is known here
     * @param targets takes the targets that entries know, and tells all
     * @param crashes takes the crashes that entries have seen
     * @param limits takes the limits that targets have named at entries
     */
    void connect(
            Consumer<Consumer<Boolean>> confirm,
            TargetReplication targets,
            CrashReplication crashes,
            LimitReplication limits) {
        mConfirm = confirm;
        mTargets = targets;
        mCrashes = crashes;
        mLimits = limits;
    }

    /** Takes the state after a change; {@link #publishState} tells it to all. */
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
     * Tells all the present state if that hasn't been done. Of many changes at once, as after a
     * start, only the last is told.
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

    /** Tells targets to all. */
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

    /** Tells all what is concluded of requests that may crash targets. */
    void onCrashes(CrashNews suspects) {
        sendToAll(ControlFrame.newBuilder().setCrashes(suspects).build());
    }

    /** Tells all what targets say of the requests that they take. */
    void onLimits(Limits limits) {
        sendToAll(ControlFrame.newBuilder().setLimits(limits).build());
    }

    /** Tells all that an engine is about to load weights, or has done so. */
    void onLoading(Loading loading) {
        if (loading.getLoading()) {
            mLoadingSince.put(loading.getTarget(), mClock.getAsLong());
        } else {
            mLoadingSince.remove(loading.getTarget());
        }
        sendToAll(ControlFrame.newBuilder().setLoading(loading).build());
    }

    /** Tells entries that listen mainly here what has changed in caches, in one frame. */
    void onCacheUpdates(List<CacheNews> updates) {
        Caches.Builder changes = Caches.newBuilder();
        updates.forEach(update -> mCacheInventory.apply(update).ifPresent(changes::addCaches));
        if (changes.getCachesCount() > 0) {
            ControlFrame frame = ControlFrame.newBuilder().setCaches(changes).build();
            mainSessions().forEach(session -> session.send(frame));
        }
    }

    /** Returns all that is known of caches. */
    List<CacheNews> cacheContents() {
        return mCacheInventory.snapshot();
    }

    /** Takes what entries told at another control process. */
    void onLoads(String control, Loads loads) {
        mLoads.onPeerLoads(control, loads, mClock.getAsLong());
    }

    /** Returns how many requests all entries have open at each target. */
    Map<String, Integer> openRequests() {
        return mLoads.openRequests(mClock.getAsLong());
    }

    /** Tells all processes what entries have open; ends sessions that are silent. */
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

    /** Tells other control processes the sums of what was told here, if they don't know them. */
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

    /** Takes a new stream. */
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

        /** Nothing at first: what another control process told the entry isn't known here. */
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

        void sendLoads(List<TargetLoad> loads) {
            if (!mLastLoadsSent.equals(Optional.of(loads))) {
                mLastLoadsSent = Optional.of(loads);
                TargetLoads message = TargetLoads.newBuilder().addAllTargets(loads).build();
                send(ControlFrame.newBuilder().setLoads(message).build());
            }
        }

        private void onHello(Hello hello) {
            mEntry = hello.getEntry();
            mLog.write(Event.SUBSCRIBER_GAINED, "entry", mEntry, "index", hello.getHeldIndex());
            mTargets.onTargets(hello.getTargets());
            mCrashes.onEntryReport(hello.getCrashes());
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

        private void onQuestion(Question question) {
            setMain(question.getMain());
            if (mMain) {
                mLoads.onKeepAlive(mEntry, mClock.getAsLong());
            }
            mConfirm.accept(
                    confirmed -> {
                        if (confirmed && mSessions.contains(this)) {
                            // All that was accepted goes before the answer.
                            publishState();
                            send(answer(question.getNumber()));
                        }
                    });
        }

        /** Begins to tell the entry of caches and loads, or ends it. */
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
                                    .addAllControlAddresses(mPeers.known()))
                    .build();
        }
    }
}
