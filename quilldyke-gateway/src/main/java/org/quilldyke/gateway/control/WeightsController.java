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

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.gateway.dialect.LoadOrder;
import org.quilldyke.gateway.engine.EngineClient;
import org.quilldyke.gateway.instance.NettyLoop;
import org.quilldyke.gateway.instance.proto.Loading;
import org.quilldyke.gateway.instance.proto.ModelWeights;
import org.quilldyke.manifest.FleetCommand;
import org.quilldyke.weights.EngineFleet;
import org.quilldyke.weights.EngineStatus;
import org.quilldyke.weights.LoadAction;
import org.quilldyke.weights.LoadPlanner;
import org.quilldyke.weights.OrderOutcome;

/**
 * Orders engines to load the weight versions that operators named, while this process leads.
 *
 * <p>Only one process gives orders at a time: a new leader first obtains a fencing number from the
 * log, and waits until no order of its predecessor can still be in flight.
 */
final class WeightsController {
    /** Added to the wait, since the clocks of two processes may drift apart. */
    private static final long CLOCK_DRIFT_MARGIN_MILLIS = 250;

    private final ReplicaGroup mGroup;
    private final Proposals mProposals;
    private final TargetReplication mTargets;
    private final EngineClient mEngineClient;
    private final NettyLoop mLoop;
    private final LongSupplier mClock;
    private final EventLog mLog;
    private final Consumer<Loading> mPublishLoading;
    private final long mOrderLeaseMillis;
    private LoadPlanner mPlanner = LoadPlanner.create();
    private long mFencingNumber;
    private boolean mFencingNumberRequested;
    private boolean mOrderRightLogged;

    WeightsController(Dependencies dependencies) {
        mGroup = dependencies.group();
        mProposals = dependencies.proposals();
        mTargets = dependencies.targets();
        mEngineClient = dependencies.engineClient();
        mLoop = dependencies.loop();
        mClock = dependencies.clock();
        mLog = dependencies.log();
        mPublishLoading = dependencies.publishLoading();
        mOrderLeaseMillis = dependencies.orderLeaseMillis();
    }

    /** Handles a change of leadership; pending work stops when this process no longer leads. */
    void onLeadership(boolean leads) {
        mFencingNumber = 0;
        mOrderRightLogged = false;
        if (!leads) {
            mPlanner.stop().forEach(this::perform);
            mPlanner = LoadPlanner.create();
        }
    }

    /**
     * Performs the actions that are due to bring all responsive engines to the given versions.
     *
     * @param fleet provides the engines; called only if this process may give orders
     */
    void tick(Map<String, Long> wantedVersions, Supplier<EngineFleet> fleet) {
        if (wantedVersions.isEmpty() || !mayOrder()) {
            return;
        }
        if (mFencingNumber == 0) {
            requestFencingNumber();
            return;
        }
        if (!mOrderRightLogged) {
            mOrderRightLogged = true;
            mLog.write(Event.ORDER_RIGHT, "fence", mFencingNumber);
        }
        mPlanner.tick(fleet.get(), wantedVersions, mClock.getAsLong()).forEach(this::perform);
    }

    private boolean mayOrder() {
        return mGroup.node().holdsLease()
                && mGroup.node().leadingFor() > mOrderLeaseMillis + CLOCK_DRIFT_MARGIN_MILLIS;
    }

    private void requestFencingNumber() {
        if (mFencingNumberRequested) {
            return;
        }
        mFencingNumberRequested = true;
        mProposals
                .propose(new FleetCommand.TakeFence(mGroup.selfId()))
                .whenComplete(
                        (result, e) -> {
                            mFencingNumberRequested = false;
                            if (e == null && mGroup.leads()) {
                                mFencingNumber = result.index();
                            }
                        });
    }

    private void perform(LoadAction action) {
        if (action instanceof LoadAction.AnnounceLoading announce) {
            publishLoading(announce.target(), true, "", 0);
        } else if (action instanceof LoadAction.ReturnToService returnToService) {
            onReturnToService(returnToService);
        } else if (action instanceof LoadAction.QueryStatus query) {
            queryStatus(query.target());
        } else if (action instanceof LoadAction.Order order) {
            sendOrder(order);
        }
    }

    private void onReturnToService(LoadAction.ReturnToService action) {
        if (action.version() > 0) {
            mTargets.onWeights(action.target(), action.model(), action.version());
            mLog.write(
                    Event.WEIGHTS_LOADED,
                    "target",
                    action.target(),
                    "model",
                    action.model(),
                    "version",
                    action.version());
        }
        publishLoading(action.target(), false, action.model(), action.version());
    }

    private void publishLoading(String target, boolean loading, String model, long version) {
        Loading.Builder message = Loading.newBuilder().setTarget(target).setLoading(loading);
        if (version > 0) {
            message.setWeights(ModelWeights.newBuilder().setModel(model).setVersion(version));
        }
        mPublishLoading.accept(message.build());
    }

    private void queryStatus(String target) {
        Optional<String> address = addressOf(target);
        if (address.isEmpty()) {
            mPlanner.onStatusUnavailable(target, mClock.getAsLong()).forEach(this::perform);
            return;
        }
        LoadPlanner planner = mPlanner;
        mEngineClient.requestStatus(
                address.get(), status -> mLoop.execute(() -> onStatus(planner, target, status)));
    }

    private void onStatus(LoadPlanner planner, String target, Optional<EngineStatus> status) {
        if (planner != mPlanner) {
            return;
        }
        if (status.isEmpty() || !mayOrder()) {
            // A status can't be acted upon without the right to give orders.
            mPlanner.onStatusUnavailable(target, mClock.getAsLong()).forEach(this::perform);
        } else {
            mPlanner.onStatus(target, status.get(), mClock.getAsLong()).forEach(this::perform);
        }
    }

    private void sendOrder(LoadAction.Order action) {
        Optional<String> address = addressOf(action.target());
        if (address.isEmpty()) {
            return;
        }
        mLog.write(
                Event.ORDER_SENT,
                "target",
                action.target(),
                "model",
                action.model(),
                "version",
                action.version(),
                "fence",
                mFencingNumber,
                "revision",
                action.revision());
        LoadOrder order =
                new LoadOrder(
                        action.target(),
                        action.model(),
                        action.version(),
                        mGroup.selfId(),
                        mFencingNumber,
                        action.revision());
        LoadPlanner planner = mPlanner;
        mEngineClient.sendOrder(
                address.get(),
                order,
                outcome -> mLoop.execute(() -> onOrderOutcome(planner, action.target(), outcome)));
    }

    private void onOrderOutcome(LoadPlanner planner, String target, OrderOutcome outcome) {
        if (outcome != OrderOutcome.ACCEPTED) {
            mLog.write(Event.ORDER_FAILED, "target", target, "outcome", outcome);
        }
        if (planner == mPlanner) {
            mPlanner.onOrderOutcome(target, outcome, mClock.getAsLong()).forEach(this::perform);
        }
    }

    private Optional<String> addressOf(String target) {
        Map<String, String> addresses = new HashMap<>();
        List<TargetReport> reports = mTargets.reports();
        reports.forEach(report -> addresses.put(report.key(), report.address()));
        return Optional.ofNullable(addresses.get(target));
    }

    /**
     * The parts that the controller uses.
     *
     * @param group provides the leadership status
     * @param proposals proposes commands
     * @param targets the engines
     * @param engineClient sends requests to engines
     * @param loop the control thread
     * @param clock monotonic milliseconds
     * @param log the event log
     * @param publishLoading notifies all instances of an engine that loads weights
     * @param orderLeaseMillis how long a new leader waits before it may give orders
     */
    record Dependencies(
            ReplicaGroup group,
            Proposals proposals,
            TargetReplication targets,
            EngineClient engineClient,
            NettyLoop loop,
            LongSupplier clock,
            EventLog log,
            Consumer<Loading> publishLoading,
            long orderLeaseMillis) {}
}
