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
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.quilldyke.Invariant;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;

/**
 * The state machine of the replicated log: configuration, plans and claims.
 *
 * <p>Applying the same entries in the same order gives the same state and the same results on every
 * replica. Commands are idempotent: a resent command gets the result of its first execution.
 */
public final class ControlState {
    /** Ended plans that are kept, so that a late resend of a command still gets its result. */
    static final int MAX_ENDED_PLANS = 10_000;

    private Configuration mConfiguration = Configuration.empty();
    private final TreeMap<String, Plan> mPlans = new TreeMap<>();
    private final List<String> mEndedPlans = new ArrayList<>();
    private final ClaimTable mClaims = ClaimTable.create();
    private long mLatestCommandMillis;

    private ControlState() {}

    /** Returns the state before the first entry. */
    public static ControlState create() {
        return new ControlState();
    }

    /** Returns the state that a snapshot holds. */
    public static ControlState restore(Snapshot snapshot) {
        ControlState state = new ControlState();
        state.mConfiguration = snapshot.configuration();
        state.mPlans.putAll(snapshot.plans());
        state.mEndedPlans.addAll(snapshot.endedPlans());
        snapshot.claims().forEach(state.mClaims::put);
        state.mLatestCommandMillis = snapshot.lastAt();
        return state;
    }

    /** Returns a copy of the whole state. */
    public Snapshot snapshot() {
        return new Snapshot(
                mConfiguration,
                new TreeMap<>(mPlans),
                List.copyOf(mEndedPlans),
                new TreeMap<>(mClaims.entries()),
                mLatestCommandMillis);
    }

    /**
     * Applies a committed command.
     *
     * @param index the entry's index
     * @param command the command
     * @throws QuilldykeException if an invariant is violated
     */
    public CommandResult apply(long index, Command command) throws QuilldykeException {
        long previousVersion = mConfiguration.version();
        mLatestCommandMillis = Math.max(mLatestCommandMillis, command.at());
        mClaims.expire(mLatestCommandMillis);
        CommandResult result = dispatch(index, command);
        Invariant.check(
                mConfiguration.version() >= previousVersion,
                "the configuration's version never decreases");
        return result;
    }

    /** Returns the configuration in force. */
    public Configuration configuration() {
        return mConfiguration;
    }

    /** Returns the plan with the given number, or null. */
    public Plan plan(String number) {
        return mPlans.get(number);
    }

    /** Returns the plans that wait for a confirmation or are running. */
    public List<Plan> openPlans() {
        List<Plan> open = new ArrayList<>();
        for (Plan plan : mPlans.values()) {
            if (plan.state() == Plan.State.PROPOSED || plan.state() == Plan.State.RUNNING) {
                open.add(plan);
            }
        }
        return open;
    }

    /** Returns the number of claims that haven't expired, with or without an answer. */
    public int claimCount() {
        return mClaims.size();
    }

    private CommandResult dispatch(long index, Command command) {
        if (command instanceof Command.StateIntent c) {
            return stateIntent(index, c);
        } else if (command instanceof Command.ConfirmPlan c) {
            return confirmPlan(index, c);
        } else if (command instanceof Command.ReadPlan c) {
            Plan plan = mPlans.get(c.number());
            ResultCode code = plan == null ? ResultCode.PLAN_UNKNOWN : ResultCode.OK;
            return planResult(index, code, plan, c.number());
        } else if (command instanceof Command.RecordOrder c) {
            return recordOrder(index, c);
        } else if (command instanceof Command.CloseOrder c) {
            return closeOrder(index, c);
        } else if (command instanceof Command.FinishPlan c) {
            return finishPlan(index, c);
        } else if (command instanceof Command.FailPlan c) {
            return failPlan(index, c);
        } else if (command instanceof Command.ClaimRun c) {
            return claimResult(index, mClaims.claim(c, mLatestCommandMillis));
        } else if (command instanceof Command.ReleaseClaim c) {
            return claimResult(index, mClaims.release(c));
        } else if (command instanceof Command.CloseClaim c) {
            return claimResult(index, mClaims.close(c));
        }
        throw new AssertionError(command);
    }

    private CommandResult stateIntent(long index, Command.StateIntent c) {
        Plan existing = mPlans.get(c.number());
        if (existing != null) {
            boolean resend = existing.intentId().equals(c.intentId());
            return planResult(
                    index, resend ? ResultCode.OK : ResultCode.PLAN_CONFLICT, existing, "");
        }
        String error = c.intent().validationError(mConfiguration);
        if (!error.isEmpty()) {
            return planResult(index, ResultCode.INTENT_INVALID, null, error);
        }
        SortedMap<String, Long> reads = new TreeMap<>();
        for (Configuration.ObjectKey key : c.intent().affectedObjects()) {
            reads.put(key.kind() + "/" + key.name(), mConfiguration.versionOf(key));
        }
        Plan plan =
                new Plan(
                        c.number(),
                        c.intentId(),
                        c.operator(),
                        c.intent(),
                        c.intent().steps(mConfiguration),
                        capacityNote(c),
                        reads,
                        Plan.State.PROPOSED,
                        new TreeMap<>(),
                        "");
        mPlans.put(c.number(), plan);
        return planResult(index, ResultCode.OK, plan, "");
    }

    private String capacityNote(Command.StateIntent c) {
        if (c.intent() instanceof Intent.SetRetired i) {
            return (i.retired() ? "one target less" : "one target more")
                    + " of "
                    + c.engines()
                    + " live";
        }
        if (c.intent() instanceof Intent.PutModel i
                && mConfiguration.models().containsKey(i.name())) {
            int maxUnavailable = Math.min(RollOutPlanner.MAX_CONCURRENT_LOADS, c.engines());
            return "up to " + maxUnavailable + " of " + c.engines() + " engines away at once";
        }
        return "none";
    }

    private CommandResult confirmPlan(long index, Command.ConfirmPlan c) {
        Plan plan = mPlans.get(c.number());
        if (plan == null) {
            return planResult(index, ResultCode.PLAN_UNKNOWN, null, c.number());
        }
        if (plan.state() != Plan.State.PROPOSED) {
            boolean failed = plan.state() == Plan.State.FAILED;
            return planResult(index, failed ? ResultCode.PLAN_STALE : ResultCode.OK, plan, "");
        }
        if (!isStillValid(plan)) {
            return planResult(
                    index, ResultCode.PLAN_STALE, endPlan(plan, Plan.State.FAILED, "stale"), "");
        }
        return planResult(index, ResultCode.OK, startPlan(plan), "");
    }

    private boolean isStillValid(Plan plan) {
        for (Configuration.ObjectKey key : plan.intent().affectedObjects()) {
            long versionRead = plan.reads().get(key.kind() + "/" + key.name());
            if (versionRead != mConfiguration.versionOf(key)) {
                return false;
            }
        }
        return plan.intent().validationError(mConfiguration).isEmpty();
    }

    private Plan startPlan(Plan plan) {
        if (plan.intent() instanceof Intent.PutOrganisation i) {
            mConfiguration =
                    mConfiguration.with(
                            new Configuration.Organisation(
                                    i.name(), i.tokenHashes(), i.maxConcurrent(), 0));
        } else if (plan.intent() instanceof Intent.SetRetired i) {
            mConfiguration =
                    mConfiguration.with(new Configuration.TargetPolicy(i.target(), i.retired(), 0));
        } else if (plan.intent() instanceof Intent.PutModel i) {
            Configuration.Model existing = mConfiguration.models().get(i.name());
            String previous = existing == null ? "" : existing.weights();
            mConfiguration =
                    mConfiguration.with(
                            new Configuration.Model(
                                    i.name(), i.service(), i.weights(), previous, 0));
            if (existing != null) {
                return storePlan(plan.with(Plan.State.RUNNING, ""));
            }
        }
        return endPlan(plan, Plan.State.DONE, "");
    }

    private CommandResult recordOrder(long index, Command.RecordOrder c) {
        Plan plan = mPlans.get(c.number());
        if (plan == null || plan.state() != Plan.State.RUNNING) {
            return planResult(index, ResultCode.PLAN_STALE, plan, "the plan isn't running");
        }
        Plan.Order existing = plan.orders().get(c.target());
        if (existing != null && !existing.done()) {
            return planResult(index, ResultCode.OK, plan, "");
        }
        Plan.Order order =
                new Plan.Order(c.target(), index, c.weights(), mLatestCommandMillis, false);
        return planResult(index, ResultCode.OK, storePlan(plan.with(order)), "");
    }

    private CommandResult closeOrder(long index, Command.CloseOrder c) {
        Plan plan = mPlans.get(c.number());
        if (plan == null || !plan.orders().containsKey(c.target())) {
            return planResult(index, ResultCode.PLAN_UNKNOWN, plan, "no such order");
        }
        Plan.Order closedOrder = plan.orders().get(c.target()).closed();
        return planResult(index, ResultCode.OK, storePlan(plan.with(closedOrder)), "");
    }

    private CommandResult finishPlan(long index, Command.FinishPlan c) {
        Plan plan = mPlans.get(c.number());
        if (plan == null || plan.state() != Plan.State.RUNNING || plan.openOrders() > 0) {
            return planResult(
                    index,
                    ResultCode.PLAN_STALE,
                    plan,
                    "the plan isn't running or has open orders");
        }
        if (plan.intent() instanceof Intent.PutModel i) {
            mConfiguration =
                    mConfiguration.with(
                            new Configuration.Model(i.name(), i.service(), i.weights(), "", 0));
        }
        return planResult(index, ResultCode.OK, endPlan(plan, Plan.State.DONE, ""), "");
    }

    private CommandResult failPlan(long index, Command.FailPlan c) {
        Plan plan = mPlans.get(c.number());
        if (plan == null || plan.state() != Plan.State.RUNNING) {
            return planResult(index, ResultCode.PLAN_STALE, plan, "the plan isn't running");
        }
        return planResult(index, ResultCode.OK, endPlan(plan, Plan.State.FAILED, c.why()), "");
    }

    private Plan storePlan(Plan plan) {
        mPlans.put(plan.number(), plan);
        return plan;
    }

    private Plan endPlan(Plan plan, Plan.State state, String why) {
        mEndedPlans.add(plan.number());
        if (mEndedPlans.size() > MAX_ENDED_PLANS) {
            mPlans.remove(mEndedPlans.remove(0));
        }
        return storePlan(plan.with(state, why));
    }

    private CommandResult planResult(long index, ResultCode code, Plan plan, String detail) {
        return new CommandResult(code, mConfiguration.version(), index, plan, null, detail);
    }

    private CommandResult claimResult(long index, ClaimTable.Result result) {
        return new CommandResult(
                result.code(), mConfiguration.version(), index, null, result.claim(), "");
    }

    /**
     * A copy of the whole state.
     *
     * @param configuration the configuration in force
     * @param plans the plans by number
     * @param endedPlans the numbers of ended plans, oldest first
     * @param claims the claims by organisation and key
     * @param lastAt the newest time of any applied command, in milliseconds since the epoch
     */
    public record Snapshot(
            Configuration configuration,
            SortedMap<String, Plan> plans,
            List<String> endedPlans,
            SortedMap<String, Claim> claims,
            long lastAt) {
        /** Returns the snapshot of the state before the first entry. */
        public static Snapshot empty() {
            return new Snapshot(
                    Configuration.empty(), new TreeMap<>(), List.of(), new TreeMap<>(), 0);
        }
    }
}
