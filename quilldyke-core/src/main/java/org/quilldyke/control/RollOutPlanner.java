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
package org.quilldyke.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.quilldyke.engine.TargetRecord;

/**
 * Decides the next commands of a plan that rolls out a weight version.
 *
 * <p>The result depends only on the plan and the live targets, so that a new leader continues where
 * the previous one stopped. At most {@link #MAX_CONCURRENT_LOADS} engines load at once, since
 * loading slows down beyond that. An order whose target has disappeared counts towards this limit
 * until the target returns or the order times out, which fails the plan.
 */
public final class RollOutPlanner {
    /** Engines that may load weights at the same time. */
    public static final int MAX_CONCURRENT_LOADS = 2;

    /** An order that isn't reported done within this time fails the plan. */
    public static final long ORDER_TIMEOUT_MILLIS = 600_000;

    private RollOutPlanner() {}

    /**
     * Returns the commands to propose next; none while the plan only waits for open orders.
     *
     * @param plan a running plan
     * @param liveTargets the live targets of the cell
     * @param now the current time, in milliseconds since the epoch
     */
    public static List<Command> nextCommands(
            Plan plan, Iterable<TargetRecord> liveTargets, long now) {
        List<Command> commands = new ArrayList<>();
        if (!(plan.intent() instanceof Intent.PutModel intent)) {
            return commands;
        }
        Set<String> liveIds = new HashSet<>();
        int freeSlots = MAX_CONCURRENT_LOADS - plan.openOrders();
        boolean anyOutdated = false;
        for (TargetRecord target : liveTargets) {
            if (!target.service().equals(intent.service())
                    || !target.model().equals(intent.name())) {
                continue;
            }
            liveIds.add(target.id());
            Plan.Order order = plan.orders().get(target.id());
            if (target.weights().equals(intent.weights())) {
                if (order != null && !order.done()) {
                    commands.add(new Command.CloseOrder(plan.number(), target.id(), now));
                }
                continue;
            }
            anyOutdated = true;
            if ((order == null || order.done()) && freeSlots > 0) {
                freeSlots--;
                commands.add(
                        new Command.RecordOrder(plan.number(), target.id(), intent.weights(), now));
            }
        }
        for (Plan.Order order : plan.orders().values()) {
            if (!order.done() && now - order.recordedAt() > ORDER_TIMEOUT_MILLIS) {
                String reason = order.target() + " has not loaded " + order.weights();
                return List.of(new Command.FailPlan(plan.number(), reason, now));
            }
        }
        boolean hasOpenOrders = plan.openOrders() > 0;
        if (!anyOutdated && !hasOpenOrders && !liveIds.isEmpty()) {
            commands.add(new Command.FinishPlan(plan.number(), now));
        }
        return commands;
    }
}
