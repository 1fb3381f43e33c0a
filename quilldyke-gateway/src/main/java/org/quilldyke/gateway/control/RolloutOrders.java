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

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.gateway.dialect.ControlCall;
import org.quilldyke.manifest.FleetCommand;
import org.quilldyke.manifest.FleetState;
import org.quilldyke.rollout.Rollout;
import org.quilldyke.rollout.ServiceVersions;

/**
 * Carries out operators' calls on rollouts.
 *
 * <p>Every answer is judged by a state that was confirmed after the call arrived: the process that
 * is called may not lead, and may apply a command later than the leader reports its result.
 */
final class RolloutOrders {
    private final ReadConfirmations mReadConfirmations;
    private final Proposals mProposals;
    private final Supplier<FleetState> mState;
    private final EventLog mLog;

    /** The services of the newest manifest. */
    private Set<String> mServices = Set.of();

    RolloutOrders(
            ReadConfirmations readConfirmations,
            Proposals proposals,
            Supplier<FleetState> state,
            EventLog log) {
        mReadConfirmations = readConfirmations;
        mProposals = proposals;
        mState = state;
        mLog = log;
    }

    /** Applies the services of a new manifest. */
    void onServices(Set<String> services) {
        mServices = services;
    }

    /**
     * Orders a rollout; completes when the order is committed.
     *
     * @return fails with {@link ResultCode#ROLLOUT_SERVICE}, {@link ResultCode#ROLLOUT_CONFLICT},
     *     or a code that allows a retry if a read or the order can't be confirmed
     */
    CompletableFuture<Void> start(ControlCall.StartRollout call) {
        return confirmedState()
                .thenCompose(
                        state -> {
                            Optional<Rollout> latest = latest(state, call.service());
                            if (isRepeat(call, latest)) {
                                return accept(call, latest.get(), false);
                            }
                            if (isRunning(latest)) {
                                return conflict(latest.get());
                            }
                            if (!mServices.contains(call.service())) {
                                return fail(ResultCode.ROLLOUT_SERVICE, call.service());
                            }
                            return propose(call);
                        });
    }

    /** Returns the latest rollout of a service, after a linearizable read. */
    CompletableFuture<Rollout> read(String service) {
        return confirmedState()
                .thenCompose(
                        state ->
                                latest(state, service)
                                        .map(CompletableFuture::completedFuture)
                                        .orElseGet(
                                                () -> fail(ResultCode.ROLLOUT_UNKNOWN, service)));
    }

    private CompletableFuture<Void> propose(ControlCall.StartRollout call) {
        return mProposals
                .propose(
                        new FleetCommand.StartRollout(
                                call.service(), call.version(), call.durationMillis()))
                .thenCompose(
                        result -> {
                            if (result.changed()) {
                                return accept(call, rollout(call, result.index()), true);
                            }
                            return confirmedState()
                                    .thenCompose(state -> judgeUnchanged(call, state));
                        });
    }

    /** An order that changed nothing is a repeat, or another rollout began in the meantime. */
    private CompletableFuture<Void> judgeUnchanged(
            ControlCall.StartRollout call, FleetState state) {
        Optional<Rollout> latest = latest(state, call.service());
        if (isRepeat(call, latest)) {
            return accept(call, latest.get(), false);
        }
        if (isRunning(latest)) {
            return conflict(latest.get());
        }
        // The other rollout has ended since: the operator may send the order again.
        return fail(ResultCode.READ_UNCONFIRMED, "another rollout has just ended");
    }

    private CompletableFuture<Void> accept(
            ControlCall.StartRollout call, Rollout rollout, boolean changed) {
        mLog.write(
                Event.ROLLOUT_ORDERED,
                "service",
                call.service(),
                "version",
                call.version(),
                "duration_ms",
                call.durationMillis(),
                "index",
                rollout.index(),
                "changed",
                changed);
        return CompletableFuture.completedFuture(null);
    }

    private CompletableFuture<FleetState> confirmedState() {
        CompletableFuture<FleetState> result = new CompletableFuture<>();
        mReadConfirmations.confirm(
                confirmed -> {
                    if (confirmed) {
                        result.complete(mState.get());
                    } else {
                        result.completeExceptionally(
                                QuilldykeException.notRun(ResultCode.READ_UNCONFIRMED, ""));
                    }
                });
        return result;
    }

    private static Rollout rollout(ControlCall.StartRollout call, long index) {
        return Rollout.start(call.service(), call.version(), call.durationMillis(), index);
    }

    private static Optional<Rollout> latest(FleetState state, String service) {
        return Optional.ofNullable(state.versions().get(service)).map(ServiceVersions::rollout);
    }

    private static boolean isRepeat(ControlCall.StartRollout call, Optional<Rollout> latest) {
        return latest.filter(r -> r.isSameOrder(call.version(), call.durationMillis())).isPresent();
    }

    private static boolean isRunning(Optional<Rollout> latest) {
        return latest.filter(r -> r.phase().isRunning()).isPresent();
    }

    private static <T> CompletableFuture<T> conflict(Rollout running) {
        return fail(ResultCode.ROLLOUT_CONFLICT, "version " + running.version() + " is rolled out");
    }

    private static <T> CompletableFuture<T> fail(ResultCode code, String detail) {
        return CompletableFuture.failedFuture(QuilldykeException.notRun(code, detail));
    }
}
