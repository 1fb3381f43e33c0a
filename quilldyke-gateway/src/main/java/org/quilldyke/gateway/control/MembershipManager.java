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

import java.util.HashSet;
import java.util.Set;
import java.util.function.LongSupplier;
import org.quilldyke.control.Membership;
import org.quilldyke.control.MembershipPlanner;
import org.quilldyke.control.Replica;
import org.quilldyke.gateway.instance.Peers;
import org.quilldyke.gateway.instance.proto.Join;
import org.quilldyke.gateway.instance.proto.PeerFrame;

/** Maintains the group's membership: the leader changes it, other replicas request to join. */
final class MembershipManager {
    private static final long JOIN_INTERVAL_MILLIS = 500;

    private final ReplicaGroup mGroup;
    private final Peers mPeers;
    private final String mAddress;
    private final LongSupplier mClock;
    private final MembershipPlanner mPlanner;
    private long mJoinSentAt;

    MembershipManager(
            ReplicaGroup group,
            Peers peers,
            String address,
            LongSupplier clock,
            int toleratedLosses) {
        mGroup = group;
        mPeers = peers;
        mAddress = address;
        mClock = clock;
        mPlanner = MembershipPlanner.create(toleratedLosses);
    }

    /** Handles another replica's request to join. */
    void onJoin(Join join) {
        if (mGroup.leads()) {
            mPlanner.onJoinRequest(new Membership.Member(join.getId(), join.getAddress()));
        }
    }

    /** Proposes a membership change if one is due, or requests to join. */
    void tick(Set<String> seeds) {
        Replica replica = mGroup.node().replica();
        Set<String> addresses = new HashSet<>(seeds);
        replica.membership().all().forEach(member -> addresses.add(member.address()));
        mPeers.connect(addresses);
        mPeers.forgetUnnamed();
        long now = mClock.getAsLong();
        if (mGroup.leads()) {
            mPlanner.nextMembership(replica, mGroup.selfId(), mGroup.node().leaderSince(), now)
                    .ifPresent(next -> mGroup.node().proposeMembership(next));
        } else if (replica.leader().isEmpty() && now - mJoinSentAt > JOIN_INTERVAL_MILLIS) {
            mJoinSentAt = now;
            mPeers.sendToAll(
                    PeerFrame.newBuilder()
                            .setJoin(
                                    Join.newBuilder().setId(mGroup.selfId()).setAddress(mAddress)));
        }
    }
}
