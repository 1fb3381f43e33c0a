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
import java.util.Map;
import java.util.Optional;
import org.quilldyke.QuilldykeException;
import org.quilldyke.control.DurableState;
import org.quilldyke.control.Membership;
import org.quilldyke.control.PeerMessage;
import org.quilldyke.control.Replica;
import org.quilldyke.daemon.control.ReplicaNode;
import org.quilldyke.daemon.control.ReplicaStorage;
import org.quilldyke.daemon.instance.Wire;
import org.quilldyke.gateway.instance.Peers;
import org.quilldyke.gateway.instance.proto.PeerFrame;
import org.quilldyke.manifest.FleetResult;

/**
 * The replicas of the group by id and address. A replica that lost its disk has a new id at its old
 * address, so messages carry both.
 */
final class ReplicaGroup implements QuotaService.Leadership {
    private final String mSelfId;
    private final Peers mPeers;
    private final Map<String, String> mLearnedAddresses = new HashMap<>();
    private ReplicaNode<FleetResult> mNode;

    ReplicaGroup(String selfId, Peers peers) {
        mSelfId = selfId;
        mPeers = peers;
    }

    /** Creates the node of a restored replica, which sends its messages through this group. */
    void createNode(
            ReplicaNode.Environment environment,
            ReplicaStorage storage,
            DurableState disk,
            Replica replica,
            FleetStateMachine machine,
            ReplicaNode.Listener listener)
            throws QuilldykeException {
        mNode = ReplicaNode.of(environment, storage, disk, replica, machine, this::send, listener);
    }

    String selfId() {
        return mSelfId;
    }

    ReplicaNode<FleetResult> node() {
        return mNode;
    }

    boolean leads() {
        return mNode.isLeader();
    }

    @Override
    public boolean holdsLease() {
        return mNode.holdsLease();
    }

    @Override
    public Optional<String> leaderAddress() {
        String leader = mNode.leader();
        return leader.isEmpty() || leader.equals(mSelfId) ? Optional.empty() : addressOf(leader);
    }

    void send(String to, PeerMessage message) {
        addressOf(to)
                .ifPresent(
                        address ->
                                mPeers.send(
                                        address,
                                        PeerFrame.newBuilder()
                                                .setReplica(Wire.encode(mSelfId, to, message))));
    }

    /** Records the address of a replica that may not be a member yet. */
    void learnAddress(String id, String address) {
        mLearnedAddresses.put(id, address);
    }

    private Optional<String> addressOf(String id) {
        Optional<String> member =
                mNode.replica().membership().member(id).map(Membership.Member::address);
        return member.or(() -> Optional.ofNullable(mLearnedAddresses.get(id)));
    }
}
