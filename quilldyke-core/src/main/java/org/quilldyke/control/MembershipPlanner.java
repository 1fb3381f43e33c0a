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
 * Decides which change of membership a leader proposes next.
 *
 * <p>It keeps an odd number of voters: where a voter is silent and a standby has caught up, the
 * standby is promoted first and the silent voter demoted after, so that no change ever lowers the
 * number of replicas that hold an acknowledged entry. A replica that lost its disk comes back under
 * a new id at the same address; its old id is then known to be gone.
 */
public final class MembershipPlanner {
    /** A voter silent for this long gives its place to a standby that has caught up. */
    static final long SILENT_VOTER_MILLIS = 2500;

    /** A standby silent for this long is forgotten; it asks to join again when it is back. */
    static final long SILENT_STANDBY_MILLIS = 20_000;

    /** A standby answers at least this often if it is to be promoted. */
    static final long LIVE_MILLIS = 1000;

    /** How many entries a standby may lack to count as caught up. */
    static final long CAUGHT_UP_ENTRIES = 16;

    private final int mTolerated;
    private final Map<String, Membership.Member> mJoiners = new HashMap<>();

    private MembershipPlanner(int tolerated) {
        mTolerated = tolerated;
    }

    /**
     * Returns a planner.
     *
     * @param tolerated how many disks may be lost at once: {@code 2 * tolerated + 1} replicas vote
     */
    public static MembershipPlanner create(int tolerated) {
        return new MembershipPlanner(tolerated);
    }

    /** Notes that a replica asks to take part. */
    public void onJoin(Membership.Member joiner) {
        mJoiners.put(joiner.address(), joiner);
    }

    /**
     * Returns the membership to propose next, if one is due.
     *
     * @param self the leader
     * @param selfId its id
     * @param leaderSince when it was elected, in milliseconds of its clock
     * @param now the present time of its clock
     */
    public Optional<Membership> next(Replica self, String selfId, long leaderSince, long now) {
        if (!self.mayChangeMembership()) {
            return Optional.empty();
        }
        Membership present = self.membership();
        Map<String, FollowerStatus> status = new HashMap<>();
        self.followers().forEach(follower -> status.put(follower.id(), follower));
        View view = new View(present, status, self.lastIndex(), leaderSince, now, selfId);
        return addJoiner(present)
                .or(() -> promote(view))
                .or(() -> demote(view))
                .or(() -> forget(view));
    }

    private Optional<Membership> addJoiner(Membership present) {
        List<Membership.Member> waiting = new ArrayList<>(mJoiners.values());
        for (Membership.Member joiner : waiting) {
            mJoiners.remove(joiner.address());
            if (present.member(joiner.id()).isEmpty()) {
                return Optional.of(present.withStandby(joiner));
            }
        }
        return Optional.empty();
    }

    private Optional<Membership> promote(View view) {
        int votersWanted = wanted(view);
        long live = view.present().voters().stream().filter(m -> !view.isLost(m)).count();
        if (live >= votersWanted || view.present().voters().size() > votersWanted) {
            return Optional.empty();
        }
        return view.present().standbys().stream()
                .filter(view::isCaughtUp)
                .findFirst()
                .map(view.present()::withPromoted);
    }

    private Optional<Membership> demote(View view) {
        List<Membership.Member> voters = view.present().voters();
        if (voters.size() <= wanted(view) && voters.size() % 2 == 1) {
            return Optional.empty();
        }
        Optional<Membership.Member> lost =
                voters.stream()
                        .filter(m -> !m.id().equals(view.selfId()))
                        .filter(view::isLost)
                        .findFirst();
        Optional<Membership.Member> spare =
                voters.stream().filter(m -> !m.id().equals(view.selfId())).reduce((a, b) -> b);
        return lost.or(() -> spare).map(view.present()::withDemoted);
    }

    private Optional<Membership> forget(View view) {
        return view.present().standbys().stream()
                .filter(view::isForgotten)
                .findFirst()
                .map(m -> view.present().without(m.id()));
    }

    /** Returns how many replicas shall vote: an odd number, and no more than are alive. */
    private int wanted(View view) {
        long live = view.present().all().stream().filter(m -> !view.isLost(m)).count();
        int most = Math.max(view.present().voters().size(), (int) live);
        int odd = most % 2 == 1 ? most : most - 1;
        return Math.min(2 * mTolerated + 1, odd);
    }

    /** What the leader sees of the group. */
    private record View(
            Membership present,
            Map<String, FollowerStatus> status,
            long lastIndex,
            long leaderSince,
            long now,
            String selfId) {
        boolean isLost(Membership.Member member) {
            return isReplaced(member) || silentFor(member) > SILENT_VOTER_MILLIS;
        }

        boolean isForgotten(Membership.Member member) {
            return isReplaced(member) || silentFor(member) > SILENT_STANDBY_MILLIS;
        }

        boolean isCaughtUp(Membership.Member member) {
            FollowerStatus follower = status.get(member.id());
            return follower != null
                    && !isReplaced(member)
                    && follower.wasHeard(LIVE_MILLIS, now)
                    && follower.matchIndex() + CAUGHT_UP_ENTRIES >= lastIndex;
        }

        /** Returns whether another replica has come up at the member's address since. */
        private boolean isReplaced(Membership.Member member) {
            List<Membership.Member> all = present.all();
            Membership.Member newest = member;
            for (Membership.Member other : all) {
                boolean here = other.address().equals(member.address());
                newest = here && heardAt(other) > heardAt(newest) ? other : newest;
            }
            return !newest.id().equals(member.id());
        }

        private long heardAt(Membership.Member member) {
            FollowerStatus follower = status.get(member.id());
            return member.id().equals(selfId)
                    ? Long.MAX_VALUE
                    : follower == null ? Long.MIN_VALUE : follower.heardAt();
        }

        private long silentFor(Membership.Member member) {
            FollowerStatus follower = status.get(member.id());
            return member.id().equals(selfId) || follower == null
                    ? 0
                    : follower.silentFor(now, leaderSince);
        }
    }
}
