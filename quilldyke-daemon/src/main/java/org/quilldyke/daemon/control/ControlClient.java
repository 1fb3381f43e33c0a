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
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
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
 * until one answers or the time is over. Commands are idempotent, so that trying again is safe,
 * also beside a try that isn't answered yet.
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
                        command,
                        Json.encodeAs(Command.class, command),
                        mClock.getAsLong(),
                        result,
                        ConcurrentHashMap.newKeySet());
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
        if (proposal.result().isDone()) {
            return;
        }
        long left = proposal.startedAt() + TOTAL_MILLIS - mClock.getAsLong();
        if (left <= 0) {
            proposal.result()
                    .completeExceptionally(
                            QuilldykeException.of(
                                    ResultCode.NO_LEADER, Outcome.UNKNOWN, "no answer in time"));
            return;
        }
        String to = target(proposal, count);
        if (to.isEmpty()) {
            later(Math.min(PAUSE_MILLIS, left), () -> attempt(proposal, count));
            return;
        }
        Try asked = new Try(proposal, count, to, new AtomicBoolean());
        proposal.unanswered().add(to);
        later(Math.min(TRY_MILLIS, left), () -> onSilence(asked));
        if (to.equals(mSelf)) {
            mControl.execute(() -> attemptHere(asked));
        } else {
            mPeers.propose(to, proposal.encoded(), left)
                    .whenComplete((reply, e) -> onReply(asked, reply, e));
        }
    }

    private void attemptHere(Try asked) {
        ControlReplica local = mLocal.get();
        if (local == null) {
            onFailed(asked);
            return;
        }
        local.propose(asked.proposal().command())
                .whenComplete(
                        (result, e) -> {
                            if (e == null) {
                                asked.proposal().result().complete(result);
                            } else {
                                onFailed(asked);
                            }
                        });
    }

    private void onReply(Try asked, ProposeReply reply, Throwable e) {
        CompletableFuture<CommandResult> result = asked.proposal().result();
        if (e == null && reply.getAccepted()) {
            try {
                result.complete(
                        Json.decode(reply.getResultJson().toByteArray(), CommandResult.class));
            } catch (QuilldykeException malformed) {
                result.completeExceptionally(malformed);
            }
            return;
        }
        if (e == null) {
            mLeader = reply.getLeader();
        } else if (asked.to().equals(mLeader)) {
            mLeader = "";
        }
        onFailed(asked);
    }

    private void onFailed(Try asked) {
        asked.proposal().unanswered().remove(asked.to());
        later(PAUSE_MILLIS, () -> next(asked));
    }

    /** A slow disk may still end this try, and its answer counts; another begins beside it. */
    private void onSilence(Try asked) {
        if (asked.to().equals(mLeader) && !asked.proposal().result().isDone()) {
            mLeader = "";
        }
        next(asked);
    }

    private void next(Try asked) {
        if (asked.followed().compareAndSet(false, true)) {
            attempt(asked.proposal(), asked.count() + 1);
        }
    }

    /** Returns whom to ask: the known leader first, then in turn whoever owes no answer. */
    private String target(Proposal proposal, int count) {
        List<String> order = new ArrayList<>(mReplicas);
        if (order.remove(mSelf)) {
            order.add(0, mSelf);
        }
        order.removeAll(proposal.unanswered());
        if (order.isEmpty()) {
            return "";
        }
        String leader = mLeader;
        if (!order.contains(leader)) {
            return order.get(count % order.size());
        }
        return count % 2 == 0 ? leader : order.get(count / 2 % order.size());
    }

    /** Runs something on the timer's own thread, so that tasks elsewhere hold up no try. */
    private static void later(long millis, Runnable task) {
        CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS, Runnable::run)
                .execute(task);
    }

    /**
     * A command and what has become of it.
     *
     * @param unanswered the replicas that were asked and haven't answered
     */
    private record Proposal(
            Command command,
            byte[] encoded,
            long startedAt,
            CompletableFuture<CommandResult> result,
            Set<String> unanswered) {}

    /**
     * One try of a proposal.
     *
     * @param followed whether the next try has begun
     */
    private record Try(Proposal proposal, int count, String to, AtomicBoolean followed) {}
}
