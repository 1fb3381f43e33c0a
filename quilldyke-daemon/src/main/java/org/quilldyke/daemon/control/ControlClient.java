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

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.control.Command;
import org.quilldyke.control.CommandResult;
import org.quilldyke.daemon.instance.PeerClients;
import org.quilldyke.daemon.instance.proto.ProposeReply;
import org.quilldyke.daemon.json.Json;

/**
 * Proposes commands from any instance: at the leader if it is known, else at each replica in turn,
 * until one answers or the time is over. Commands are idempotent, so that trying again is safe.
 */
public final class ControlClient {
    private static final long TRY_MILLIS = 1000;
    private static final long TOTAL_MILLIS = 5000;
    private static final long PAUSE_MILLIS = 50;

    private final String mSelf;
    private final List<String> mReplicas;
    private final PeerClients mPeers;
    private final Executor mControl;
    private final LongSupplier mClock;
    private final Supplier<ControlReplica> mLocal;
    private final AtomicInteger mPending = new AtomicInteger();
    private volatile String mLeader = "";

    private ControlClient(
            String self,
            List<String> replicas,
            PeerClients peers,
            Executor control,
            LongSupplier clock,
            Supplier<ControlReplica> local) {
        mSelf = self;
        mReplicas = List.copyOf(replicas);
        mPeers = peers;
        mControl = control;
        mClock = clock;
        mLocal = local;
    }

    /**
     * Returns a client.
     *
     * @param self this instance
     * @param replicas the instances that hold a replica
     * @param peers channels to them
     * @param control the control thread
     * @param clock monotonic milliseconds
     * @param local gives this instance's own replica, or null
     */
    public static ControlClient create(
            String self,
            List<String> replicas,
            PeerClients peers,
            Executor control,
            LongSupplier clock,
            Supplier<ControlReplica> local) {
        return new ControlClient(self, replicas, peers, control, clock, local);
    }

    /**
     * Proposes a command; may be called on any thread.
     *
     * @return its result; fails with {@link ResultCode#NO_LEADER} when the time is over, in which
     *     case the command may still be applied
     */
    public CompletableFuture<CommandResult> propose(Command command) {
        CompletableFuture<CommandResult> result = new CompletableFuture<>();
        Proposal proposal =
                new Proposal(
                        command, Json.encodeAs(Command.class, command), mClock.getAsLong(), result);
        mPending.incrementAndGet();
        result.whenComplete((r, e) -> mPending.decrementAndGet());
        attempt(proposal, 0);
        return result;
    }

    /** Returns the number of commands whose result isn't known yet. */
    public int pending() {
        return mPending.get();
    }

    /** Notes who leads. */
    public void onLeader(String leader) {
        mLeader = leader;
    }

    private void attempt(Proposal proposal, int count) {
        if (mClock.getAsLong() - proposal.startedAt() > TOTAL_MILLIS) {
            proposal.result()
                    .completeExceptionally(
                            QuilldykeException.of(
                                    ResultCode.NO_LEADER, Outcome.UNKNOWN, "no answer in time"));
            return;
        }
        String to = target(count);
        if (to.equals(mSelf)) {
            mControl.execute(() -> attemptHere(proposal, count));
        } else {
            mPeers.propose(to, proposal.encoded(), TRY_MILLIS)
                    .whenComplete((reply, e) -> onReply(proposal, count, reply, e));
        }
    }

    private void attemptHere(Proposal proposal, int count) {
        ControlReplica local = mLocal.get();
        if (local == null) {
            retry(proposal, count);
            return;
        }
        local.propose(proposal.command())
                .whenComplete(
                        (result, e) -> {
                            if (e == null) {
                                proposal.result().complete(result);
                            } else {
                                retry(proposal, count);
                            }
                        });
    }

    private void onReply(Proposal proposal, int count, ProposeReply reply, Throwable e) {
        if (e == null && reply.getAccepted()) {
            try {
                CommandResult result =
                        Json.decode(reply.getResultJson().toByteArray(), CommandResult.class);
                proposal.result().complete(result);
            } catch (QuilldykeException malformed) {
                proposal.result().completeExceptionally(malformed);
            }
            return;
        }
        mLeader = e == null ? reply.getLeader() : "";
        retry(proposal, count);
    }

    private void retry(Proposal proposal, int count) {
        CompletableFuture.delayedExecutor(PAUSE_MILLIS, TimeUnit.MILLISECONDS)
                .execute(() -> attempt(proposal, count + 1));
    }

    /** Returns whom to ask: the known leader first, then the replicas in turn. */
    private String target(int count) {
        String leader = mLeader;
        if (!leader.isEmpty() && mReplicas.contains(leader) && count % 2 == 0) {
            return leader;
        }
        List<String> order = new ArrayList<>(mReplicas);
        if (order.remove(mSelf)) {
            order.add(0, mSelf);
        }
        return order.get(count % order.size());
    }

    private record Proposal(
            Command command,
            byte[] encoded,
            long startedAt,
            CompletableFuture<CommandResult> result) {}
}
