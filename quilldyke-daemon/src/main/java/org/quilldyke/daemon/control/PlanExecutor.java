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
package org.quilldyke.daemon.control;

import io.activej.http.HttpRequest;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.quilldyke.control.Command;
import org.quilldyke.control.Plan;
import org.quilldyke.control.RollOutPlanner;
import org.quilldyke.daemon.engine.EngineClient;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.TargetRecord;

/**
 * Carries out running plans on the leader: proposes the next steps and sends recorded orders.
 *
 * <p>Orders go out only while the leader's lease holds, and to a target that ignores fencing
 * numbers only once any earlier leader's lease must have ended. An order is sent again until the
 * target's announcements show its result.
 */
final class PlanExecutor {
    private static final long RESEND_MILLIS = 2000;
    private static final long WAIT_OUT_MILLIS = 1000;

    private final ControlReplica mReplica;
    private final EngineClient mClient;
    private final EventLog mLog;
    private final LongSupplier mClock;
    private final LongSupplier mWallClock;
    private final Map<Long, Long> mSentAt = new HashMap<>();
    private final Set<Command> mProposed = new HashSet<>();

    private PlanExecutor(
            ControlReplica replica,
            EngineClient client,
            EventLog log,
            LongSupplier clock,
            LongSupplier wallClock) {
        mReplica = replica;
        mClient = client;
        mLog = log;
        mClock = clock;
        mWallClock = wallClock;
    }

    static PlanExecutor create(
            ControlReplica replica,
            EngineClient client,
            EventLog log,
            LongSupplier clock,
            LongSupplier wallClock) {
        return new PlanExecutor(replica, client, log, clock, wallClock);
    }

    /** Does what is due. */
    void tick(List<TargetRecord> live) {
        if (!mReplica.holdsLease()) {
            mSentAt.clear();
            return;
        }
        for (Plan plan : mReplica.state().openPlans()) {
            if (plan.state() != Plan.State.RUNNING) {
                continue;
            }
            RollOutPlanner.nextCommands(plan, live, mWallClock.getAsLong()).forEach(this::propose);
            for (Plan.Order order : plan.orders().values()) {
                if (!order.done()) {
                    sendIfDue(plan, order, live);
                }
            }
        }
    }

    private void propose(Command command) {
        if (mProposed.isEmpty()) {
            mProposed.add(command);
            mReplica.propose(command).whenComplete((r, e) -> mProposed.remove(command));
        }
    }

    private void sendIfDue(Plan plan, Plan.Order order, List<TargetRecord> live) {
        long now = mClock.getAsLong();
        Long sentAt = mSentAt.get(order.fencing());
        if (sentAt != null && now - sentAt < RESEND_MILLIS) {
            return;
        }
        for (TargetRecord target : live) {
            boolean mayOrder = target.checksFencing() || mReplica.leadingFor() > WAIT_OUT_MILLIS;
            if (target.id().equals(order.target()) && mayOrder) {
                mSentAt.put(order.fencing(), now);
                send(plan, order, target);
            }
        }
    }

    private void send(Plan plan, Plan.Order order, TargetRecord target) {
        byte[] body =
                Json.encode(
                        Map.of(
                                "fencing", order.fencing(),
                                "number", plan.number(),
                                "weights", order.weights()));
        mLog.write(
                Event.ORDER_SENT,
                "target",
                target.id(),
                "plan",
                plan.number(),
                "weights",
                order.weights(),
                "fencing",
                order.fencing());
        HttpRequest request =
                HttpRequest.post("http://" + target.address() + "/orders").withBody(body).build();
        mClient.send(request)
                .then(response -> response.loadBody().map(b -> response.getCode()))
                .whenComplete(
                        (code, e) -> {
                            if (e != null || code != 200) {
                                mLog.write(
                                        Event.ORDER_FAILED,
                                        "target",
                                        target.id(),
                                        "status",
                                        code,
                                        "cause",
                                        e);
                            }
                        });
    }
}
