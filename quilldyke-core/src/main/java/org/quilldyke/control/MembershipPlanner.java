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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which membership change a leader proposes next.
 *
 * <p>Keeps the number of voters odd. If a voter is unresponsive and a standby has caught up, the
 * standby is promoted before the voter is demoted, so that no change lowers the number of replicas
 * that hold an acknowledged entry. A replica that lost its disk returns under a new id at the same
 * address; its old id is then treated as failed.
 */
public final class MembershipPlanner {
    /** A voter unresponsive for this long is replaced by a standby that has caught up. */
    static final long VOTER_TIMEOUT_MILLIS = 2500;

    /** A standby unresponsive for this long is removed; it asks to join again when it returns. */
    static final long STANDBY_TIMEOUT_MILLIS = 20_000;

    /** A standby is promoted only if it has answered within this time. */
    static final long PROMOTION_CONTACT_MILLIS = 1000;

    /** A standby that lacks at most this many entries has caught up. */
    static final long MAX_PROMOTION_LAG_ENTRIES = 16;

    private final int mToleratedLosses;
    private final Map<String, Membership.Member> mJoinRequests = new HashMap<>();

    private MembershipPlanner(int toleratedLosses) {
        mToleratedLosses = toleratedLosses;
    }

    /**
     * Returns a planner.
     *
     * @param toleratedLosses the number of disks that may be lost at once: {@code 2 *
     *     toleratedLosses + 1} replicas vote
     */
    public static MembershipPlanner create(int toleratedLosses) {
        return new MembershipPlanner(toleratedLosses);
    }

    /** Records a replica's request to join. */
    public void onJoinRequest(Membership.Member joiner) {
        mJoinRequests.put(joiner.address(), joiner);
    }

    /**
     * Returns the membership to propose next, if one is due.
     *
     * @param leader the leader
     * @param leaderId its id
     * @param leaderSince when it was elected, in milliseconds by its clock
     * @param now the current time by its clock
     */
    public Optional<Membership> nextMembership(
            Replica leader, String leaderId, long leaderSince, long now) {
        if (!leader.mayChangeMembership()) {
            return Optional.empty();
        }
        Membership membership = leader.membership();
        Map<String, FollowerStatus> status = new HashMap<>();
        leader.followers().forEach(follower -> status.put(follower.id(), follower));
        GroupView view =
                new GroupView(membership, status, leader.lastIndex(), leaderSince, now, leaderId);
        return addJoiner(membership)
                .or(() -> promoteStandby(view))
                .or(() -> demoteVoter(view))
                .or(() -> removeStandby(view));
    }

    private Optional<Membership> addJoiner(Membership membership) {
        List<Membership.Member> joiners = new ArrayList<>(mJoinRequests.values());
        for (Membership.Member joiner : joiners) {
            mJoinRequests.remove(joiner.address());
            if (membership.member(joiner.id()).isEmpty()) {
                return Optional.of(membership.withStandby(joiner));
            }
        }
        return Optional.empty();
    }

    private Optional<Membership> promoteStandby(GroupView view) {
        int desiredVoters = desiredVoterCount(view);
        long live = view.membership().voters().stream().filter(m -> !view.isFailed(m)).count();
        if (live >= desiredVoters || view.membership().voters().size() > desiredVoters) {
            return Optional.empty();
        }
        return view.membership().standbys().stream()
                .filter(view::isCaughtUp)
                .findFirst()
                .map(view.membership()::withPromoted);
    }

    private Optional<Membership> demoteVoter(GroupView view) {
        List<Membership.Member> voters = view.membership().voters();
        if (voters.size() <= desiredVoterCount(view) && voters.size() % 2 == 1) {
            return Optional.empty();
        }
        Optional<Membership.Member> failed =
                voters.stream()
                        .filter(m -> !m.id().equals(view.leaderId()))
                        .filter(view::isFailed)
                        .findFirst();
        Optional<Membership.Member> surplus =
                voters.stream().filter(m -> !m.id().equals(view.leaderId())).reduce((a, b) -> b);
        return failed.or(() -> surplus).map(view.membership()::withDemoted);
    }

    private Optional<Membership> removeStandby(GroupView view) {
        return view.membership().standbys().stream()
                .filter(view::isRemovable)
                .findFirst()
                .map(m -> view.membership().without(m.id()));
    }

    /**
     * Returns how many replicas should vote: an odd number, at most {@code 2 * mToleratedLosses +
     * 1}, and at most the number of live members or, if that is larger, of current voters.
     */
    private int desiredVoterCount(GroupView view) {
        long live = view.membership().all().stream().filter(m -> !view.isFailed(m)).count();
        int largest = Math.max(view.membership().voters().size(), (int) live);
        int odd = largest % 2 == 1 ? largest : largest - 1;
        return Math.min(2 * mToleratedLosses + 1, odd);
    }

    /** The leader's view of the group. */
    private record GroupView(
            Membership membership,
            Map<String, FollowerStatus> status,
            long lastIndex,
            long leaderSince,
            long now,
            String leaderId) {
        boolean isFailed(Membership.Member member) {
            return isReplaced(member) || millisSinceContact(member) > VOTER_TIMEOUT_MILLIS;
        }

        boolean isRemovable(Membership.Member member) {
            return isReplaced(member) || millisSinceContact(member) > STANDBY_TIMEOUT_MILLIS;
        }

        boolean isCaughtUp(Membership.Member member) {
            FollowerStatus follower = status.get(member.id());
            return follower != null
                    && !isReplaced(member)
                    && follower.hasContactWithin(PROMOTION_CONTACT_MILLIS, now)
                    && follower.matchIndex() + MAX_PROMOTION_LAG_ENTRIES >= lastIndex;
        }

        /**
         * Returns whether a replica with another id has been in contact from the member's address
         * more recently.
         */
        private boolean isReplaced(Membership.Member member) {
            List<Membership.Member> all = membership.all();
            Membership.Member newest = member;
            for (Membership.Member other : all) {
                boolean sameAddress = other.address().equals(member.address());
                newest =
                        sameAddress && lastContactAt(other) > lastContactAt(newest)
                                ? other
                                : newest;
            }
            return !newest.id().equals(member.id());
        }

        private long lastContactAt(Membership.Member member) {
            FollowerStatus follower = status.get(member.id());
            return member.id().equals(leaderId)
                    ? Long.MAX_VALUE
                    : follower == null ? Long.MIN_VALUE : follower.lastContactAt();
        }

        private long millisSinceContact(Membership.Member member) {
            FollowerStatus follower = status.get(member.id());
            return member.id().equals(leaderId) || follower == null
                    ? 0
                    : follower.millisSinceContact(now, leaderSince);
        }
    }
}
