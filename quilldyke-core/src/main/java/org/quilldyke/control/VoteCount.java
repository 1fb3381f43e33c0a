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

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The votes that a candidate has been given in the election that is open, if one is. */
final class VoteCount {
    private final Set<String> mGrantedBy = new HashSet<>();
    private String mSelf = "";
    private boolean mActive;
    private boolean mPreVote;
    private long mTerm;

    /** Opens an election, with the candidate's own vote. */
    void start(String self, long term, boolean preVote) {
        mGrantedBy.clear();
        mGrantedBy.add(self);
        mSelf = self;
        mActive = true;
        mPreVote = preVote;
        mTerm = term;
    }

    /**
     * Returns the requests to all other voters for the election that is open.
     *
     * @param log the candidate's
     * @param leadershipTransfer whether the leader itself asked for the election
     */
    List<ReplicaAction> voteRequests(ReplicatedLog log, boolean leadershipTransfer) {
        PeerMessage request =
                new PeerMessage.VoteRequest(
                        mTerm, log.lastIndex(), log.lastTerm(), mPreVote, leadershipTransfer);
        return log.membership().otherVoters(mSelf).stream()
                .<ReplicaAction>map(other -> new ReplicaAction.Send(other, request))
                .toList();
    }

    /**
     * Returns whether another replica may be elected rather than this one, which then counts no
     * more votes itself. Of two that ask at the same time, with logs alike, the one with the lower
     * id goes first: three that all began an election voted each for itself, and a leader came 0.3
     * to 0.7 s later (seen at both losses of power that were looked at).
     */
    boolean yieldPreVoteTo(String from, PeerMessage.VoteRequest m, ReplicatedLog log) {
        boolean sameLog = m.lastIndex() == log.lastIndex() && m.lastTerm() == log.lastTerm();
        boolean collectingPreVotes = mActive && mPreVote;
        if (collectingPreVotes && sameLog && mSelf.compareTo(from) < 0) {
            return false;
        }
        mActive &= !collectingPreVotes;
        return true;
    }

    /** Counts no more votes. */
    void stop() {
        mActive = false;
    }

    /** Counts a vote, if it is for this election; returns whether it is won now. */
    boolean addVote(String from, PeerMessage.VoteReply m, Membership membership) {
        if (!mActive || m.preVote() != mPreVote || m.term() != mTerm || !membership.isVoter(from)) {
            return false;
        }
        mGrantedBy.add(from);
        return isWon(membership);
    }

    /** Returns whether a majority has voted for the candidate, whose own vote may not count. */
    boolean isWon(Membership membership) {
        return mGrantedBy.stream().filter(membership::isVoter).count() >= membership.quorum();
    }
}
