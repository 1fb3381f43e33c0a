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

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.control.Command;
import org.quilldyke.control.CommandResult;
import org.quilldyke.control.Configuration;
import org.quilldyke.control.ControlState;
import org.quilldyke.control.PeerMessage;
import org.quilldyke.daemon.control.ControlClient;
import org.quilldyke.daemon.control.ControlReplica;
import org.quilldyke.daemon.control.ReplicaNode;
import org.quilldyke.daemon.instance.proto.ExchangeReply;
import org.quilldyke.daemon.instance.proto.ExchangeRequest;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.daemon.routing.CellView;
import org.quilldyke.daemon.routing.SharedRouter;
import org.quilldyke.daemon.settings.Site;
import org.quilldyke.engine.TargetRecord;
import org.quilldyke.instance.InstanceState;
import org.quilldyke.instance.InstanceTable;
import org.quilldyke.instance.TargetTable;

/**
 * What this instance knows of its cell: targets, instances and configuration.
 *
 * <p>Everything here runs on the control thread; the traffic threads read {@link #view}.
 */
public final class CellNode implements Exchange.Cell, InstanceServer.Handler, ReplicaNode.Listener {
    private static final int TICK_MILLIS = 50;
    private static final long FOREVER = Long.MAX_VALUE / 4;

    private final Site mSite;
    private final Site.Instance mSelf;
    private final long mIncarnation;
    private final Eventloop mReactor;
    private final LongSupplier mClock;
    private final EventLog mLog;
    private final SharedRouter mRouter;
    private final TargetTable mTargets;
    private final InstanceTable mInstances;
    private Exchange mExchange;
    private ControlReplica mReplica;
    private ControlClient mControlClient;
    private Configuration mConfiguration = Configuration.empty();
    private boolean mCurrent;
    private boolean mStopped;
    private volatile boolean mLeaving;
    private volatile CellView mView = CellView.empty();

    private CellNode(
            Site site,
            Site.Instance self,
            long incarnation,
            Eventloop reactor,
            LongSupplier clock,
            EventLog log,
            SharedRouter router) {
        mSite = site;
        mSelf = self;
        mIncarnation = incarnation;
        mReactor = reactor;
        mClock = clock;
        mLog = log;
        mRouter = router;
        mTargets = TargetTable.create(site.cell());
        List<String> others = new ArrayList<>();
        site.others(self.id()).forEach(other -> others.add(other.id()));
        mInstances =
                InstanceTable.create(
                        others,
                        site.timings().suspicion(),
                        site.timings().leaderLease(),
                        clock.getAsLong());
    }

    /**
     * Returns a node that knows nothing yet.
     *
     * @param site the settings
     * @param self this instance's part of them
     * @param incarnation a number that grows with each start
     * @param reactor the control thread
     * @param clock monotonic milliseconds
     * @param log where events go
     * @param router hears of targets that come and go
     */
    public static CellNode create(
            Site site,
            Site.Instance self,
            long incarnation,
            Eventloop reactor,
            LongSupplier clock,
            EventLog log,
            SharedRouter router) {
        return new CellNode(site, self, incarnation, reactor, clock, log, router);
    }

    /** Connects the node with its parts and starts its timers; call it on the control thread. */
    public void start(Exchange exchange, ControlClient client, ControlReplica replica) {
        mExchange = exchange;
        mControlClient = client;
        mReplica = replica;
        if (replica != null) {
            replica.start();
        }
        tick();
        beat();
    }

    /** Stops the timers. */
    public void stop() {
        mStopped = true;
    }

    /** Tells everybody that this instance takes no new requests. */
    public void leave() {
        mLeaving = true;
        publish();
        mExchange.heartbeat();
    }

    /** Returns the present view; may be called on any thread. */
    public CellView view() {
        return mView;
    }

    /** Returns the instances that are heard, this one included. */
    public List<InstanceState> instances() {
        List<InstanceState> all = new ArrayList<>(mInstances.alive(now()));
        all.add(self());
        return all;
    }

    /** Returns this instance's replica, or null. */
    public ControlReplica replica() {
        return mReplica;
    }

    /** Takes a target's announcement. */
    public TargetTable.Change announce(TargetRecord record) {
        TargetTable.Change change = accept(record, mSite.timings().targetLease());
        if (change != TargetTable.Change.NONE) {
            mExchange.onTarget(record, change);
        }
        return change;
    }

    @Override
    public String name() {
        return mSite.cell();
    }

    @Override
    public InstanceState self() {
        noteLeader();
        // Who isn't current itself must not make others believe that they are.
        long leaderAge = mCurrent ? Math.min(mInstances.leaderAgeMillis(now()), FOREVER) : FOREVER;
        return new InstanceState(
                mSelf.id(),
                mSelf.failureDomain(),
                mIncarnation,
                mConfiguration.version(),
                leaderAge,
                mLeaving,
                mInstances.leader());
    }

    @Override
    public Configuration configuration() {
        return mConfiguration;
    }

    @Override
    public Iterable<TargetTable.Entry> targets() {
        return mTargets.entries();
    }

    @Override
    public long leaseRemaining(TargetTable.Entry entry) {
        return Math.max(0, entry.expiresAt() - now());
    }

    @Override
    public SharedRouter router() {
        return mRouter;
    }

    @Override
    public boolean onHeartbeat(InstanceState state) {
        boolean isNew = mInstances.onHeartbeat(state, now());
        if (isNew) {
            mLog.write(
                    Event.INSTANCE_HEARD, "other", state.id(), "incarnation", state.incarnation());
        }
        boolean fresh = state.leaderAgeMillis() <= mSite.timings().leaderLease();
        if (fresh && state.configurationVersion() <= mConfiguration.version()) {
            mCurrent = true;
        }
        return isNew;
    }

    @Override
    public void onTarget(TargetRecord record, long leaseMillis) {
        accept(record, leaseMillis);
    }

    @Override
    public boolean onRenewal(String id, long incarnation, long sequence, long leaseMillis) {
        return mTargets.renew(id, incarnation, sequence, now() + leaseMillis);
    }

    @Override
    public void onConfiguration(Configuration configuration) {
        if (configuration.version() <= mConfiguration.version()) {
            return;
        }
        mConfiguration = configuration;
        mLog.write(Event.CONFIGURATION, "version", configuration.version());
        publish();
    }

    @Override
    public void onFault(QuilldykeException e, String where) {
        mLog.fault(e, where);
    }

    @Override
    public ExchangeReply exchange(ExchangeRequest request) {
        return mExchange.onRequest(request);
    }

    @Override
    public void deliver(String from, PeerMessage message) {
        if (mReplica != null) {
            mReplica.receive(from, message);
        }
    }

    @Override
    public CompletableFuture<CommandResult> propose(Command command) {
        if (mReplica == null) {
            return CompletableFuture.failedFuture(
                    QuilldykeException.of(ResultCode.NO_LEADER, Outcome.NOT_RUN, "no replica"));
        }
        return mReplica.propose(command);
    }

    @Override
    public String leader() {
        return mReplica != null ? mReplica.leader() : mInstances.leader();
    }

    /** Takes the control state after a change. */
    public void onState(ControlState state) {
        onConfiguration(state.configuration());
        if (mExchange != null && mReplica != null && mReplica.isLeader()) {
            mExchange.heartbeat();
        }
    }

    @Override
    public void onLeadership(boolean leads) {
        noteLeader();
        publish();
    }

    private TargetTable.Change accept(TargetRecord record, long leaseMillis) {
        TargetTable.Change change = mTargets.accept(record, now() + leaseMillis);
        Event event =
                switch (change) {
                    case JOINED -> Event.TARGET_JOINED;
                    case RESTARTED -> Event.TARGET_RESTARTED;
                    case UPDATED -> Event.TARGET_CHANGED;
                    case RENEWED, NONE -> null;
                };
        if (event != null) {
            mLog.write(
                    event,
                    "target",
                    record.id(),
                    "service",
                    record.service(),
                    "incarnation",
                    record.incarnation(),
                    "weights",
                    record.weights(),
                    "leaving",
                    record.leaving());
            mRouter.onTarget(record);
            publish();
        }
        return change;
    }

    private void tick() {
        if (mStopped) {
            return;
        }
        mReactor.delayBackground(TICK_MILLIS, this::tick);
        boolean changed = false;
        for (TargetRecord lapsed : mTargets.expire(now())) {
            mLog.write(Event.TARGET_LAPSED, "target", lapsed.id());
            mRouter.onTargetLost(lapsed.id());
            changed = true;
        }
        noteLeader();
        InstanceTable.Status standing = mInstances.status(now());
        if (standing != mView.standing()) {
            mLog.write(Event.STANDING, "from", mView.standing(), "to", standing);
            changed = true;
        }
        if (changed || isReady(standing) != mView.ready()) {
            publish();
        }
    }

    private void beat() {
        if (mStopped) {
            return;
        }
        mReactor.delayBackground(mSite.timings().exchange(), this::beat);
        mExchange.heartbeat();
    }

    private void noteLeader() {
        if (mReplica != null && !mReplica.leader().isEmpty()) {
            mInstances.onLeader(mReplica.leader(), mReplica.leaderSeenAt());
            mCurrent |= mReplica.isCurrent();
        }
        if (mControlClient != null) {
            mControlClient.onLeader(mInstances.leader());
        }
    }

    private boolean isReady(InstanceTable.Status standing) {
        boolean known = mCurrent || standing == InstanceTable.Status.CONTROL_DOWN;
        return mSelf.entry()
                && known
                && mConfiguration.version() > 0
                && standing.mayServe()
                && !mLeaving;
    }

    private void publish() {
        List<TargetRecord> targets = new ArrayList<>();
        mTargets.entries().forEach(entry -> targets.add(entry.record()));
        InstanceTable.Status standing = mInstances.status(now());
        mView = new CellView(mConfiguration, targets, standing, isReady(standing), mLeaving);
    }

    private long now() {
        return mClock.getAsLong();
    }
}
