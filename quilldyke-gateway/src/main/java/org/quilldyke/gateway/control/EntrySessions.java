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
import java.util.Set;
import java.util.function.LongSupplier;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.gateway.instance.Peers;
import org.quilldyke.gateway.instance.SessionServer;
import org.quilldyke.gateway.instance.proto.Answer;
import org.quilldyke.gateway.instance.proto.CacheNews;
import org.quilldyke.gateway.instance.proto.Configuration;
import org.quilldyke.gateway.instance.proto.ControlFrame;
import org.quilldyke.gateway.instance.proto.EntryFrame;
import org.quilldyke.gateway.instance.proto.Hello;
import org.quilldyke.gateway.instance.proto.Loading;
import org.quilldyke.gateway.instance.proto.Loads;
import org.quilldyke.gateway.instance.proto.ModelWeights;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.gateway.instance.proto.Question;
import org.quilldyke.gateway.instance.proto.Targets;
import org.quilldyke.manifest.FleetState;

/** The entry processes that listen here: they get all news at once, and answers when confirmed. */
final class EntrySessions {
    private static final long LOADS_MILLIS = 300;
    private static final long SILENT_MILLIS = 3000;

    /** A load that takes longer than this has been forgotten by whoever told of it. */
    private static final long MAX_LOADING_MILLIS = 6000;

    private final LongSupplier mClock;
    private final EventLog mLog;
    private final Peers mPeers;
    private final EntryLoads mLoads = new EntryLoads();
    private final Set<Session> mSessions = new LinkedHashSet<>();
    private final Map<String, Long> mNamedAt = new HashMap<>();
    private final Map<String, Long> mLoading = new HashMap<>();
    private Confirmations mConfirmations;
    private TargetSpread mTargets;
    private FleetState mState = FleetState.create();
    private long mToldVersion = -1;
    private long mLoadsToldAt;

    EntrySessions(LongSupplier clock, EventLog log, Peers peers) {
        mClock = clock;
        mLog = log;
        mPeers = peers;
    }

    void connect(Confirmations confirmations, TargetSpread targets) {
        mConfirmations = confirmations;
        mTargets = targets;
    }

    /** Takes the state after a change and tells it to all. */
    void onState(FleetState state) {
        boolean newDocument = state.version() != mToldVersion;
        mToldVersion = state.version();
        mState = state;
        state.weights()
                .forEach(
                        (model, version) ->
                                mNamedAt.putIfAbsent(model + " " + version, mClock.getAsLong()));
        if (state.hasManifest()) {
            ControlFrame frame = configuration(newDocument);
            mSessions.forEach(session -> session.send(frame));
        }
    }

    /** Tells targets to all. */
    void onTargets(Targets targets) {
        ControlFrame frame = ControlFrame.newBuilder().setTargets(targets).build();
        mSessions.forEach(session -> session.send(frame));
    }

    /** Tells all that an engine is about to load weights, or has done so. */
    void onLoading(Loading loading) {
        if (loading.getLoading()) {
            mLoading.put(loading.getTarget(), mClock.getAsLong());
        } else {
            mLoading.remove(loading.getTarget());
        }
        ControlFrame frame = ControlFrame.newBuilder().setLoading(loading).build();
        mSessions.forEach(session -> session.send(frame));
    }

    /** Tells all what has changed in a cache. */
    void onCache(CacheNews news) {
        ControlFrame frame = ControlFrame.newBuilder().setCache(news).build();
        mSessions.forEach(session -> session.send(frame));
    }

    /** Takes what entries told at another control process. */
    void onLoads(Loads loads) {
        mLoads.onOthers(loads.getEntriesList(), mClock.getAsLong());
    }

    /** Tells the other control processes what entries have open; ends sessions that are silent. */
    void tick() {
        long now = mClock.getAsLong();
        if (now - mLoadsToldAt >= LOADS_MILLIS) {
            mLoadsToldAt = now;
            mPeers.sendToAll(
                    PeerFrame.newBuilder()
                            .setLoads(Loads.newBuilder().addAllEntries(mLoads.here(now))));
        }
        for (Session session : List.copyOf(mSessions)) {
            if (now - session.mHeardAt > SILENT_MILLIS) {
                session.mOut.onError(Status.UNAVAILABLE.asException());
                session.onEnd();
            }
        }
    }

    /** Takes a new stream. */
    SessionServer.EntrySession open(StreamObserver<ControlFrame> out) {
        return new Session(out);
    }

    private ControlFrame configuration(boolean withDocument) {
        Configuration.Builder out = Configuration.newBuilder().setIndex(mState.index());
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
                                                .setAgeMs(namedFor(model, version))));
        return ControlFrame.newBuilder().setConfiguration(out).build();
    }

    private long namedFor(String model, long version) {
        long now = mClock.getAsLong();
        return now - mNamedAt.getOrDefault(model + " " + version, now);
    }

    private final class Session implements SessionServer.EntrySession {
        private final StreamObserver<ControlFrame> mOut;
        private String mEntry = "";
        private long mHeardAt = mClock.getAsLong();

        Session(StreamObserver<ControlFrame> out) {
            mOut = out;
        }

        @Override
        public void onFrame(EntryFrame frame) {
            mHeardAt = mClock.getAsLong();
            if (frame.getKindCase() == EntryFrame.KindCase.HELLO) {
                onHello(frame.getHello());
            } else if (frame.getKindCase() == EntryFrame.KindCase.QUESTION) {
                onQuestion(frame.getQuestion());
            }
        }

        @Override
        public void onEnd() {
            if (mSessions.remove(this)) {
                mLog.write(Event.SUBSCRIBER_LOST, "entry", mEntry);
            }
        }

        void send(ControlFrame frame) {
            mOut.onNext(frame);
        }

        private void onHello(Hello hello) {
            mEntry = hello.getEntry();
            mLog.write(Event.SUBSCRIBER_GAINED, "entry", mEntry, "index", hello.getHeldIndex());
            mTargets.onTargets(hello.getTargets());
            mSessions.add(this);
            if (mState.hasManifest()) {
                send(configuration(true));
            }
            send(ControlFrame.newBuilder().setTargets(mTargets.all()).build());
            mLoading.values().removeIf(at -> mClock.getAsLong() - at > MAX_LOADING_MILLIS);
            for (String target : mLoading.keySet()) {
                Loading loading = Loading.newBuilder().setTarget(target).setLoading(true).build();
                send(ControlFrame.newBuilder().setLoading(loading).build());
            }
        }

        private void onQuestion(Question question) {
            mLoads.onLoad(mEntry, question.getLoadsList(), mClock.getAsLong());
            mConfirmations.ask(
                    confirmed -> {
                        if (confirmed && mSessions.contains(this)) {
                            send(answer(question.getNumber()));
                        }
                    });
        }

        private ControlFrame answer(long number) {
            return ControlFrame.newBuilder()
                    .setAnswer(
                            Answer.newBuilder()
                                    .setNumber(number)
                                    .setEntries(mLoads.entries())
                                    .addAllControlAddresses(mPeers.known())
                                    .addAllLoads(mLoads.allBut(mEntry, mClock.getAsLong())))
                    .build();
        }
    }
}
