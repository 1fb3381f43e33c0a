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
package org.quilldyke.daemon.instance;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import org.quilldyke.QuilldykeException;
import org.quilldyke.control.Configuration;
import org.quilldyke.daemon.instance.proto.CachedBlocks;
import org.quilldyke.daemon.instance.proto.ExchangeReply;
import org.quilldyke.daemon.instance.proto.ExchangeRequest;
import org.quilldyke.daemon.instance.proto.Renewal;
import org.quilldyke.daemon.instance.proto.Target;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.daemon.routing.SharedRouter;
import org.quilldyke.engine.TargetRecord;
import org.quilldyke.instance.InstanceState;
import org.quilldyke.instance.TargetTable;

/**
 * Tells the other instances what this one has heard, and hears what they have.
 *
 * <p>News of a target goes out at once, with its whole record; renewals wait for the next heartbeat
 * and take some forty bytes each. A newer configuration travels with any message to an instance
 * that is known to have an older one. Lives on the control thread.
 */
public final class Exchange {
    private final Cell mCell;
    private final PeerClients mClients;
    private final Executor mControl;
    private final Map<String, Peer> mPeers = new HashMap<>();
    private boolean mWantsSnapshot = true;

    private Exchange(Cell cell, PeerClients clients, Executor control, List<String> others) {
        mCell = cell;
        mClients = clients;
        mControl = control;
        others.forEach(id -> mPeers.put(id, new Peer(id)));
    }

    /**
     * Returns an exchange that has sent nothing yet.
     *
     * @param cell what this instance knows
     * @param clients channels to the others
     * @param control the control thread
     * @param others the other instances' ids
     */
    public static Exchange create(
            Cell cell, PeerClients clients, Executor control, List<String> others) {
        return new Exchange(cell, clients, control, others);
    }

    /** Sends a heartbeat to every other instance, with all that waits for it. */
    public void heartbeat() {
        mPeers.values().forEach(this::send);
    }

    /** Notes what an announcement changed; news goes out at once. */
    public void onTarget(TargetRecord target, TargetTable.Change change) {
        for (Peer peer : mPeers.values()) {
            if (change.needsPropagation()) {
                peer.mNews.add(target.id());
            } else {
                peer.mRenewed.add(target.id());
            }
        }
        if (change.needsPropagation()) {
            heartbeat();
        }
    }

    /** Answers another instance's message. */
    public ExchangeReply onRequest(ExchangeRequest request) {
        InstanceState sender = Wire.decode(request.getSender());
        onState(sender);
        acceptConfiguration(request.getConfigurationJson());
        ExchangeReply.Builder reply = ExchangeReply.newBuilder();
        request.getTargetsList().forEach(this::acceptTarget);
        for (Renewal renewal : request.getRenewalsList()) {
            if (!mCell.onRenewal(
                    renewal.getId(),
                    renewal.getIncarnation(),
                    renewal.getSequence(),
                    renewal.getLeaseRemainingMs())) {
                reply.addUnknownTargets(renewal.getId());
            }
        }
        reply.setSender(Wire.encode(mCell.self()));
        if (sender.configurationVersion() < mCell.configuration().version()) {
            reply.setConfigurationJson(delta(sender.configurationVersion()));
        }
        if (request.getSnapshot()) {
            addSnapshot(reply);
        }
        return reply.build();
    }

    private void send(Peer peer) {
        if (peer.mInFlight) {
            peer.mAgain = true;
            return;
        }
        peer.mInFlight = true;
        ExchangeRequest.Builder request =
                ExchangeRequest.newBuilder()
                        .setCell(mCell.name())
                        .setSender(Wire.encode(mCell.self()))
                        .setSnapshot(mWantsSnapshot);
        for (TargetTable.Entry entry : mCell.targets()) {
            if (peer.mNews.contains(entry.record().id())) {
                request.addTargets(encode(entry));
            } else if (peer.mRenewed.contains(entry.record().id())) {
                request.addRenewals(renewal(entry));
            }
        }
        Set<String> news = new LinkedHashSet<>(peer.mNews);
        peer.mNews.clear();
        peer.mRenewed.clear();
        Configuration configuration = mCell.configuration();
        if (peer.mHeard && peer.mConfigurationVersion < configuration.version()) {
            request.setConfigurationJson(delta(peer.mConfigurationVersion));
        }
        mClients.exchange(peer.mId, request.build())
                .whenComplete((reply, e) -> mControl.execute(() -> onReply(peer, news, reply, e)));
    }

    private void onReply(Peer peer, Set<String> news, ExchangeReply reply, Throwable e) {
        peer.mInFlight = false;
        if (e != null) {
            peer.mNews.addAll(news);
            mClients.reconnect(peer.mId);
            return;
        }
        onState(Wire.decode(reply.getSender()));
        acceptConfiguration(reply.getConfigurationJson());
        reply.getTargetsList().forEach(this::acceptTarget);
        peer.mNews.addAll(reply.getUnknownTargetsList());
        if (mWantsSnapshot) {
            mWantsSnapshot = false;
            reply.getCachedList().forEach(this::acceptCached);
        }
        if (peer.mAgain || !peer.mNews.isEmpty()) {
            peer.mAgain = false;
            send(peer);
        }
    }

    private void onState(InstanceState state) {
        Peer peer = mPeers.get(state.id());
        if (peer == null) {
            return;
        }
        peer.mHeard = true;
        peer.mConfigurationVersion = state.configurationVersion();
        if (mCell.onHeartbeat(state)) {
            mCell.targets().forEach(entry -> peer.mNews.add(entry.record().id()));
        }
    }

    private ByteString delta(long peerVersion) {
        return ByteString.copyFrom(Json.encode(mCell.configuration().since(peerVersion)));
    }

    private void acceptConfiguration(ByteString json) {
        if (json.isEmpty()) {
            return;
        }
        try {
            Configuration.Delta delta = Json.decode(json.toByteArray(), Configuration.Delta.class);
            mCell.onConfiguration(mCell.configuration().with(delta));
        } catch (QuilldykeException e) {
            mCell.onFault(e, "exchange");
        }
    }

    private void acceptTarget(Target target) {
        try {
            TargetRecord record =
                    Json.decode(target.getRecordJsonBytes().toByteArray(), TargetRecord.class);
            mCell.onTarget(record, target.getLeaseRemainingMs());
        } catch (QuilldykeException e) {
            mCell.onFault(e, "exchange");
        }
    }

    private void acceptCached(CachedBlocks cached) {
        long[] keys = new long[cached.getKeysCount()];
        for (int i = 0; i < keys.length; i++) {
            keys[i] = cached.getKeys(i);
        }
        mCell.router()
                .onResync(
                        cached.getTarget(),
                        cached.getIncarnation(),
                        cached.getEventSequence(),
                        keys);
    }

    private void addSnapshot(ExchangeReply.Builder reply) {
        for (TargetTable.Entry entry : mCell.targets()) {
            TargetRecord target = entry.record();
            reply.addTargets(encode(entry));
            if (target.kind() != TargetRecord.Kind.ENGINE) {
                continue;
            }
            SharedRouter.Cached cached = mCell.router().cachedAt(target);
            List<Long> keys = new ArrayList<>(cached.keys().length);
            for (long key : cached.keys()) {
                keys.add(key);
            }
            reply.addCached(
                    CachedBlocks.newBuilder()
                            .setTarget(target.id())
                            .setIncarnation(target.incarnation())
                            .setEventSequence(cached.sequence())
                            .addAllKeys(keys));
        }
    }

    private Target encode(TargetTable.Entry entry) {
        return Target.newBuilder()
                .setRecordJson(Json.text(entry.record()))
                .setLeaseRemainingMs(mCell.leaseRemaining(entry))
                .build();
    }

    private Renewal renewal(TargetTable.Entry entry) {
        return Renewal.newBuilder()
                .setId(entry.record().id())
                .setIncarnation(entry.record().incarnation())
                .setSequence(entry.record().sequence())
                .setLeaseRemainingMs(mCell.leaseRemaining(entry))
                .build();
    }

    /** What this instance knows, and who hears of changes; all on the control thread. */
    public interface Cell {
        /** Returns the cell's name. */
        String name();

        /** Returns this instance's own state. */
        InstanceState self();

        /** Returns the configuration in force. */
        Configuration configuration();

        /** Returns the live targets. */
        Iterable<TargetTable.Entry> targets();

        /** Returns how long a target's lease still runs, in milliseconds, at least 0. */
        long leaseRemaining(TargetTable.Entry entry);

        /** Returns the router, whose index is part of a snapshot. */
        SharedRouter router();

        /** Takes a heartbeat; returns whether its sender is new or has restarted. */
        boolean onHeartbeat(InstanceState state);

        /** Takes a target's record from another instance. */
        void onTarget(TargetRecord record, long leaseMillis);

        /** Takes a renewal; returns false if the target's record isn't known. */
        boolean onRenewal(String id, long incarnation, long sequence, long leaseMillis);

        /** Takes a configuration, which counts only if it is newer. */
        void onConfiguration(Configuration configuration);

        /** Notes a message that could not be read. */
        void onFault(QuilldykeException e, String where);
    }

    private static final class Peer {
        final String mId;
        final Set<String> mNews = new LinkedHashSet<>();
        final Set<String> mRenewed = new LinkedHashSet<>();
        boolean mInFlight;
        boolean mAgain;
        boolean mHeard;
        long mConfigurationVersion;

        Peer(String id) {
            mId = id;
        }
    }
}
