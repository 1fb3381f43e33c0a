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
import java.util.List;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.control.PeerMessage;
import org.quilldyke.daemon.control.ReplicaJson;
import org.quilldyke.daemon.instance.proto.AppendReply;
import org.quilldyke.daemon.instance.proto.AppendRequest;
import org.quilldyke.daemon.instance.proto.ElectNow;
import org.quilldyke.daemon.instance.proto.InstanceState;
import org.quilldyke.daemon.instance.proto.LogEntry;
import org.quilldyke.daemon.instance.proto.ReplicaMessage;
import org.quilldyke.daemon.instance.proto.SnapshotReply;
import org.quilldyke.daemon.instance.proto.SnapshotRequest;
import org.quilldyke.daemon.instance.proto.StateReply;
import org.quilldyke.daemon.instance.proto.StateRequest;
import org.quilldyke.daemon.instance.proto.VoteReply;
import org.quilldyke.daemon.instance.proto.VoteRequest;

/** Turns the core's messages into those of instance.proto, and back. */
public final class Wire {
    private Wire() {}

    /** Returns the form in which a replica's message travels. */
    public static ReplicaMessage encode(String from, String to, PeerMessage message) {
        ReplicaMessage.Builder out = ReplicaMessage.newBuilder().setFrom(from).setTo(to);
        if (message instanceof PeerMessage.VoteRequest m) {
            out.setVoteRequest(
                    VoteRequest.newBuilder()
                            .setTerm(m.term())
                            .setLastIndex(m.lastIndex())
                            .setLastTerm(m.lastTerm())
                            .setPreVote(m.preVote())
                            .setTransfer(m.leadershipTransfer()));
        } else if (message instanceof PeerMessage.VoteReply m) {
            out.setVoteReply(
                    VoteReply.newBuilder()
                            .setTerm(m.term())
                            .setGranted(m.granted())
                            .setPreVote(m.preVote()));
        } else if (message instanceof PeerMessage.AppendRequest m) {
            out.setAppendRequest(encode(m));
        } else if (message instanceof PeerMessage.AppendReply m) {
            out.setAppendReply(
                    AppendReply.newBuilder()
                            .setTerm(m.term())
                            .setMatched(m.matched())
                            .setIndex(m.index())
                            .setLearner(m.learner())
                            .setSentAt(m.sentAt()));
        } else if (message instanceof PeerMessage.SnapshotRequest m) {
            out.setSnapshotRequest(
                    SnapshotRequest.newBuilder()
                            .setTerm(m.term())
                            .setIndex(m.index())
                            .setIndexTerm(m.indexTerm())
                            .setOffset(m.offset())
                            .setTotal(m.totalBytes())
                            .setMembershipJson(
                                    ByteString.copyFrom(ReplicaJson.encode(m.membership())))
                            .setPiece(ByteString.copyFrom(m.chunk()))
                            .setSentAt(m.sentAt()));
        } else if (message instanceof PeerMessage.SnapshotReply m) {
            out.setSnapshotReply(
                    SnapshotReply.newBuilder()
                            .setTerm(m.term())
                            .setIndex(m.index())
                            .setNextOffset(m.nextOffset())
                            .setSentAt(m.sentAt()));
        } else if (message instanceof PeerMessage.StateReply m) {
            out.setStateReply(
                    StateReply.newBuilder().setTerm(m.term()).setLastIndex(m.lastIndex()));
        } else if (message instanceof PeerMessage.ElectNow m) {
            out.setElectNow(ElectNow.newBuilder().setTerm(m.term()));
        } else {
            out.setStateRequest(StateRequest.getDefaultInstance());
        }
        return out.build();
    }

    /**
     * Returns the message that has travelled.
     *
     * @throws QuilldykeException {@link ResultCode#MALFORMED_BODY} if it is none
     */
    public static PeerMessage decode(ReplicaMessage in) throws QuilldykeException {
        return switch (in.getKindCase()) {
            case VOTE_REQUEST -> {
                VoteRequest m = in.getVoteRequest();
                yield new PeerMessage.VoteRequest(
                        m.getTerm(),
                        m.getLastIndex(),
                        m.getLastTerm(),
                        m.getPreVote(),
                        m.getTransfer());
            }
            case VOTE_REPLY -> {
                VoteReply m = in.getVoteReply();
                yield new PeerMessage.VoteReply(m.getTerm(), m.getGranted(), m.getPreVote());
            }
            case APPEND_REQUEST -> decode(in.getAppendRequest());
            case APPEND_REPLY -> {
                AppendReply m = in.getAppendReply();
                yield new PeerMessage.AppendReply(
                        m.getTerm(), m.getMatched(), m.getIndex(), m.getLearner(), m.getSentAt());
            }
            case SNAPSHOT_REQUEST -> {
                SnapshotRequest m = in.getSnapshotRequest();
                yield new PeerMessage.SnapshotRequest(
                        m.getTerm(),
                        m.getIndex(),
                        m.getIndexTerm(),
                        m.getOffset(),
                        m.getTotal(),
                        ReplicaJson.membership(m.getMembershipJson().toByteArray()),
                        m.getPiece().toByteArray(),
                        m.getSentAt());
            }
            case SNAPSHOT_REPLY -> {
                SnapshotReply m = in.getSnapshotReply();
                yield new PeerMessage.SnapshotReply(
                        m.getTerm(), m.getIndex(), m.getNextOffset(), m.getSentAt());
            }
            case STATE_REQUEST -> new PeerMessage.StateRequest();
            case STATE_REPLY -> {
                StateReply m = in.getStateReply();
                yield new PeerMessage.StateReply(m.getTerm(), m.getLastIndex());
            }
            case ELECT_NOW -> new PeerMessage.ElectNow(in.getElectNow().getTerm());
            default ->
                    throw QuilldykeException.of(
                            ResultCode.MALFORMED_BODY, Outcome.NOT_RUN, "replica message");
        };
    }

    static InstanceState encode(org.quilldyke.instance.InstanceState state) {
        return InstanceState.newBuilder()
                .setId(state.id())
                .setFailureDomain(state.failureDomain())
                .setIncarnation(state.incarnation())
                .setConfigurationVersion(state.configurationVersion())
                .setLeaderAgeMs(state.leaderAgeMillis())
                .setLeaving(state.leaving())
                .setLeader(state.leader())
                .build();
    }

    static org.quilldyke.instance.InstanceState decode(InstanceState state) {
        return new org.quilldyke.instance.InstanceState(
                state.getId(),
                state.getFailureDomain(),
                state.getIncarnation(),
                state.getConfigurationVersion(),
                state.getLeaderAgeMs(),
                state.getLeaving(),
                state.getLeader());
    }

    private static AppendRequest encode(PeerMessage.AppendRequest m) {
        AppendRequest.Builder out =
                AppendRequest.newBuilder()
                        .setTerm(m.term())
                        .setPreviousIndex(m.previousIndex())
                        .setPreviousTerm(m.previousTerm())
                        .setCommitIndex(m.commitIndex())
                        .setLastIndex(m.lastIndex())
                        .setSentAt(m.sentAt());
        for (org.quilldyke.control.LogEntry entry : m.entries()) {
            out.addEntries(encode(entry));
        }
        return out.build();
    }

    private static LogEntry encode(org.quilldyke.control.LogEntry entry) {
        LogEntry.Builder out =
                LogEntry.newBuilder()
                        .setTerm(entry.term())
                        .setPayload(ByteString.copyFrom(entry.payload()));
        if (entry.membership() != null) {
            out.setMembershipJson(ByteString.copyFrom(ReplicaJson.encode(entry.membership())));
        }
        return out.build();
    }

    private static org.quilldyke.control.LogEntry decode(LogEntry in) throws QuilldykeException {
        return in.getMembershipJson().isEmpty()
                ? new org.quilldyke.control.LogEntry(in.getTerm(), in.getPayload().toByteArray())
                : org.quilldyke.control.LogEntry.ofMembership(
                        in.getTerm(), ReplicaJson.membership(in.getMembershipJson().toByteArray()));
    }

    private static PeerMessage decode(AppendRequest m) throws QuilldykeException {
        List<org.quilldyke.control.LogEntry> entries = new ArrayList<>();
        for (LogEntry entry : m.getEntriesList()) {
            entries.add(decode(entry));
        }
        return new PeerMessage.AppendRequest(
                m.getTerm(),
                m.getPreviousIndex(),
                m.getPreviousTerm(),
                entries,
                m.getCommitIndex(),
                m.getLastIndex(),
                m.getSentAt());
    }
}
