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
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.gateway.instance.NettyLoop;
import org.quilldyke.gateway.instance.Peers;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.gateway.instance.proto.Proposal;
import org.quilldyke.gateway.instance.proto.ProposalResult;
import org.quilldyke.manifest.FleetCommand;
import org.quilldyke.manifest.FleetResult;

/**
 * Proposes commands, at this replica if it leads, otherwise at the leader.
 *
 * <p>A command is retried even if the response to it was lost: all commands carry a version, so
 * that a duplicate changes nothing.
 */
final class Proposals {
    /** Commands fail after this time without a result; operators wait for a second or longer. */
    static final long TIMEOUT_MILLIS = 900;

    private static final long RETRY_DELAY_MILLIS = 40;
    private static final long RESULT_TIMEOUT_MILLIS = 400;

    private final ReplicaGroup mGroup;
    private final Peers mPeers;
    private final NettyLoop mLoop;
    private final LongSupplier mClock;
    private final Map<Long, CompletableFuture<FleetResult>> mAwaitingResult = new HashMap<>();
    private long mLastNumber;

    Proposals(ReplicaGroup group, Peers peers, NettyLoop loop, LongSupplier clock) {
        mGroup = group;
        mPeers = peers;
        mLoop = loop;
        mClock = clock;
    }

    /**
     * Proposes a command; fails with {@link ResultCode#NO_LEADER} after {@link #TIMEOUT_MILLIS}.
     */
    CompletableFuture<FleetResult> propose(FleetCommand command) {
        byte[] encoded = FleetJson.encode(command);
        CompletableFuture<FleetResult> result = new CompletableFuture<>();
        proposeUntil(encoded, mClock.getAsLong() + TIMEOUT_MILLIS, result);
        return result;
    }

    /** Handles a command that another replica forwards. */
    void onProposal(String from, Proposal proposal) {
        mGroup.node()
                .propose(proposal.getCommand().toByteArray())
                .whenComplete(
                        (result, e) -> {
                            ProposalResult.Builder out =
                                    ProposalResult.newBuilder().setNumber(proposal.getNumber());
                            if (e == null) {
                                out.setAccepted(true)
                                        .setIndex(result.index())
                                        .setChanged(result.changed());
                            }
                            mPeers.send(from, PeerFrame.newBuilder().setResult(out));
                        });
    }

    /** Handles the leader's response. */
    void onResult(ProposalResult result) {
        CompletableFuture<FleetResult> pending = mAwaitingResult.remove(result.getNumber());
        if (pending == null) {
            return;
        }
        if (result.getAccepted()) {
            pending.complete(new FleetResult(result.getIndex(), result.getChanged()));
        } else {
            pending.completeExceptionally(noLeader());
        }
    }

    private void proposeUntil(
            byte[] command, long deadline, CompletableFuture<FleetResult> result) {
        if (mClock.getAsLong() >= deadline) {
            result.completeExceptionally(noLeader());
            return;
        }
        proposeOnce(command)
                .whenComplete(
                        (committed, e) -> {
                            if (e == null) {
                                result.complete(committed);
                            } else {
                                mLoop.schedule(
                                        RETRY_DELAY_MILLIS,
                                        () -> proposeUntil(command, deadline, result));
                            }
                        });
    }

    private CompletableFuture<FleetResult> proposeOnce(byte[] command) {
        if (mGroup.leads()) {
            return mGroup.node().propose(command);
        }
        CompletableFuture<FleetResult> result = new CompletableFuture<>();
        Optional<String> leader = mGroup.leaderAddress();
        if (leader.isEmpty()) {
            result.completeExceptionally(noLeader());
            return result;
        }
        long number = ++mLastNumber;
        mAwaitingResult.put(number, result);
        mPeers.send(
                leader.get(),
                PeerFrame.newBuilder()
                        .setProposal(
                                Proposal.newBuilder()
                                        .setNumber(number)
                                        .setCommand(ByteString.copyFrom(command))));
        mLoop.schedule(
                RESULT_TIMEOUT_MILLIS,
                () -> {
                    if (mAwaitingResult.remove(number) != null) {
                        result.completeExceptionally(noLeader());
                    }
                });
        return result;
    }

    private static QuilldykeException noLeader() {
        return QuilldykeException.of(ResultCode.NO_LEADER, Outcome.UNKNOWN, "");
    }
}
