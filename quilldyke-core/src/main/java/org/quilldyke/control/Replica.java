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
import java.util.List;
import java.util.random.RandomGenerator;
import org.quilldyke.Invariant;
import org.quilldyke.QuilldykeException;

/**
 * A replica of the control state's log: Raft with pre-vote, leader leases and pipelining.
 *
 * <p>After Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and
 * sections 4.2.3, 6.4.1 and 9.6 of Ongaro's thesis. In addition, a replica whose disk is empty
 * isn't trusted: it neither votes nor counts towards majorities. It learns the newest term from a
 * quorum of others, so that a vote lost with the disk isn't given twice. It is trusted once it has
 * copied the log of a leader of that or a later term, or if the logs of all other voters are empty.
 *
 * <p>Does no input or output: each call returns the actions to perform, see {@link ReplicaAction}.
 * Not thread-safe.
 */
public final class Replica {
    private static final long NO_PENDING_ACK = Long.MIN_VALUE;

    private final ReplicaSettings mSettings;
    private final ElectionTimer mTimer;
    private final StoredLog mStored;
    private final ReplicatedLog mLog;
    private final VoteCount mVotes = new VoteCount();
    private final PeerStates mPeerStates;
    private final ElectionEligibility mEligibility;
    private final IncomingSnapshot mIncoming = new IncomingSnapshot();
    private List<ReplicaAction> mActions = new ArrayList<>();
    private Ballot mBallot;
    private Role mRole = Role.FOLLOWER;
    private String mLeader = "";
    private Followers mFollowers;
    // Up to where the log is known to match that of the current leader.
    private long mMatchedIndex;
    // When the request was sent whose entries are acknowledged once they are synced.
    private long mPendingAckSentAt = NO_PENDING_ACK;
    // As reported by the leader; at the leader itself, the index of its no-op entry.
    private long mLeaderCommitIndex = Long.MAX_VALUE;
    private long mLeaderSeenAt;
    private boolean mBallotPending;

    private Replica(
            ReplicaSettings settings, DurableState disk, ElectionTimer timer, long startedAt) {
        mSettings = settings;
        mTimer = timer;
        mBallot = disk.ballot();
        mStored = StoredLog.restore(settings, disk, action -> mActions.add(action));
        mLog = mStored.log();
        mPeerStates = new PeerStates(settings.self(), mLog);
        mEligibility = new ElectionEligibility(settings.self(), mStored);
        // Delays votes: a lease that this replica granted before its restart may still be valid.
        mLeaderSeenAt = startedAt + settings.startUpVoteDelayMillis() - settings.electionMillis();
    }

    /**
     * Returns a replica in the state loaded from its disk.
     *
     * @param settings the replica's id, timeouts and message sizes
     * @param disk the state loaded from the disk
     * @param random source of the random election timeouts
     * @param startedAt when its process started, by its monotonic clock, in milliseconds
     * @param now the current time by the same clock
     */
    public static Replica restore(
            ReplicaSettings settings,
            DurableState disk,
            RandomGenerator random,
            long startedAt,
            long now) {
        ElectionTimer timer = new ElectionTimer(settings.electionMillis(), random, now);
        return new Replica(settings, disk, timer, startedAt);
    }

    /** Starts elections and sends heartbeats that are due. Call it every few milliseconds. */
    public List<ReplicaAction> tick(long now) throws QuilldykeException {
        if (mRole == Role.LEADER) {
            tickLeader(now);
        } else if (mTimer.isDue(now) && !mBallotPending) {
            onElectionTimeout(now);
        }
        return drainActions();
    }

    /**
     * Handles a message from another replica.
     *
     * @throws QuilldykeException if an invariant is violated; the message then has no effect
     */
    public List<ReplicaAction> receive(String from, PeerMessage message, long now)
            throws QuilldykeException {
        if (message instanceof PeerMessage.VoteRequest m) {
            onVoteRequest(from, m, now);
        } else if (message instanceof PeerMessage.VoteReply m) {
            onVoteReply(from, m, now);
        } else if (message instanceof PeerMessage.AppendRequest m) {
            onAppendRequest(from, m, now);
        } else if (message instanceof PeerMessage.AppendReply m) {
            onAppendReply(from, m, now);
        } else if (message instanceof PeerMessage.SnapshotRequest m) {
            onSnapshotRequest(from, m, now);
        } else if (message instanceof PeerMessage.SnapshotReply m) {
            onSnapshotReply(from, m, now);
        } else if (message instanceof PeerMessage.StateRequest) {
            send(from, new PeerMessage.StateReply(mBallot.term(), mLog.lastIndex()));
        } else if (message instanceof PeerMessage.StateReply m) {
            onStateReply(from, m, now);
        } else if (message instanceof PeerMessage.ElectNow m) {
            onElectNow(m, now);
        }
        return drainActions();
    }

    /**
     * Appends a command to the log if this replica leads. Call {@link #flush} after one or several.
     *
     * @return the entry's index, or -1 if this replica doesn't lead, or too few replicas vote yet
     */
    public long propose(byte[] payload) {
        if (mRole != Role.LEADER || !mFollowers.mayAcceptCommands()) {
            return -1;
        }
        mStored.append(new LogEntry(mBallot.term(), payload));
        return mLog.lastIndex();
    }

    /**
     * Appends a change of membership to the log.
     *
     * @param next differs from the current membership by at most one voter
     * @return the entry's index, or -1 if this replica may not change the membership now: it
     *     doesn't lead, hasn't committed an entry of its term yet, or the last change isn't
     *     committed
     * @throws QuilldykeException if the voters differ by more than one
     */
    public long proposeMembership(Membership next) throws QuilldykeException {
        if (!mayChangeMembership()) {
            return -1;
        }
        Invariant.check(
                next.voterDifference(mLog.membership()) <= 1 && next.isVoter(mSettings.self()),
                "at most one voter changes at a time, and the leader stays a voter");
        mStored.append(LogEntry.ofMembership(mBallot.term(), next));
        mFollowers.onMembershipChange();
        return mLog.lastIndex();
    }

    /** Sends the proposed entries to the followers. */
    public List<ReplicaAction> flush(long now) {
        if (mRole == Role.LEADER) {
            mActions.addAll(mFollowers.sendEntries(mStored.snapshot(), mStored.commitIndex(), now));
        }
        return drainActions();
    }

    /**
     * Reports that the entries of {@link ReplicaAction.AppendLog} are synced to disk.
     *
     * @param index the last index of the log when the sync started
     * @param epoch {@link #truncationEpoch} when the sync started; if entries were removed since,
     *     the report is ignored
     */
    public List<ReplicaAction> onSynced(long index, long epoch) throws QuilldykeException {
        if (!mStored.onSynced(index, epoch)) {
            return drainActions();
        }
        advanceCommit();
        if (mPendingAckSentAt != NO_PENDING_ACK && !mLeader.isEmpty() && mRole == Role.FOLLOWER) {
            reply(mLeader, true, Math.min(mMatchedIndex, mStored.syncedIndex()), mPendingAckSentAt);
            mPendingAckSentAt =
                    mStored.syncedIndex() < mMatchedIndex ? mPendingAckSentAt : NO_PENDING_ACK;
        }
        return drainActions();
    }

    /** Reports a stored ballot. Election timeouts are ignored until the newest is stored. */
    public void onBallotStored(Ballot ballot, long now) {
        if (mBallotPending && ballot.equals(mBallot)) {
            mBallotPending = false;
            mTimer.restart(now);
        }
    }

    /** Returns a number that changes whenever stored entries are to be removed. */
    public long truncationEpoch() {
        return mStored.truncationEpoch();
    }

    /**
     * Steps down and asks the most up-to-date other voter to start an election at once, so that the
     * group doesn't wait for an election timeout when a leader shuts down.
     */
    public List<ReplicaAction> transferLeadership(long now) {
        if (mRole == Role.LEADER) {
            transferAndStepDown(now);
        }
        return drainActions();
    }

    /** Replaces the applied entries by a snapshot of the state; the caller stores the result. */
    public Compaction compact(byte[] snapshot) {
        return mStored.compact(snapshot);
    }

    /** Returns whether this replica leads. */
    public boolean isLeader() {
        return mRole == Role.LEADER;
    }

    /** Returns whether it leads and recent contact with a quorum rules out another leader. */
    public boolean holdsLease(long now) {
        return mRole == Role.LEADER
                && now < mFollowers.quorumContactAt(now) + mSettings.leaseMillis();
    }

    /**
     * Returns the time, by this replica's clock, until which it is known to be the only leader: its
     * applied entries include all that were committed before then. {@link Long#MIN_VALUE} if it
     * doesn't lead or hasn't committed an entry of its term yet.
     */
    public long confirmedAt(long now) {
        if (mRole != Role.LEADER || !hasCommittedInTerm()) {
            return Long.MIN_VALUE;
        }
        return mFollowers.quorumContactAt(now);
    }

    /** Returns the membership as of the last entry in the log. */
    public Membership membership() {
        return mLog.membership();
    }

    /** Returns whether {@link #proposeMembership} would be accepted. */
    public boolean mayChangeMembership() {
        return mRole == Role.LEADER
                && mEligibility.isVoter()
                && hasCommittedInTerm()
                && mLog.membershipIndex() <= mStored.commitIndex();
    }

    /** Returns the status of the other members; empty if it doesn't lead. */
    public List<FollowerStatus> followers() {
        return mRole == Role.LEADER ? mFollowers.status() : List.of();
    }

    /** Returns the leader's id, empty if unknown. */
    public String leader() {
        return mLeader;
    }

    /** Returns the time of the leader's last message; for a leader, of its last quorum contact. */
    public long leaderSeenAt(long now) {
        return mRole == Role.LEADER
                ? Math.max(mFollowers.quorumContactAt(now), mLeaderSeenAt)
                : mLeaderSeenAt;
    }

    /**
     * Returns whether this replica has applied all entries that were committed as of its leader's
     * last message. False until the leader has committed an entry of its term: before that, the
     * leader doesn't know which entries of earlier terms are committed.
     */
    public boolean isCurrent() {
        return mStored.appliedIndex() >= mLeaderCommitIndex
                && mLog.termAt(mLeaderCommitIndex) == mBallot.term();
    }

    /** Returns the current term. */
    public long term() {
        return mBallot.term();
    }

    /** Returns the index of the last entry that is known to be committed. */
    public long commitIndex() {
        return mStored.commitIndex();
    }

    /** Returns the index of the last entry in the log. */
    public long lastIndex() {
        return mLog.lastIndex();
    }

    /** Returns the index of the last entry returned to be applied. */
    public long appliedIndex() {
        return mStored.appliedIndex();
    }

    /** Returns the index of the last entry that the snapshot covers. */
    public long snapshotIndex() {
        return mLog.baseIndex();
    }

    /** Returns the term of the entry at {@code index}, -1 if it isn't held. */
    public long termAt(long index) {
        return mLog.termAt(index);
    }

    /** Returns {@link Ballot#trusted}: whether the replica votes and counts in majorities. */
    public boolean isTrusted() {
        return mBallot.trusted();
    }

    private void onElectionTimeout(long now) throws QuilldykeException {
        if (mRole == Role.CANDIDATE) {
            mTimer.restartAfterFailedElection(now);
        } else {
            mTimer.restartForPreVote(now);
        }
        if (!mBallot.trusted()) {
            requestPeerStates(now);
        } else if (mEligibility.onTimeout()) {
            startPreVote(now);
        } else {
            mLeader = "";
        }
    }

    private void tickLeader(long now) {
        if (now - leaderSeenAt(now) >= 2 * mSettings.electionMillis()) {
            stepDown(mBallot.term(), now);
            return;
        }
        if (!mEligibility.isVoter() && hasCommittedInTerm()) {
            transferAndStepDown(now);
            return;
        }
        mActions.addAll(mFollowers.sendHeartbeats(mStored.snapshot(), mStored.commitIndex(), now));
    }

    private boolean hasCommittedInTerm() {
        return mLog.termAt(mStored.commitIndex()) == mBallot.term();
    }

    private void transferAndStepDown(long now) {
        long term = mBallot.term();
        mFollowers.mostUpToDateVoter().ifPresent(id -> send(id, new PeerMessage.ElectNow(term)));
        stepDown(term, now);
    }

    private void startPreVote(long now) throws QuilldykeException {
        mRole = Role.PRE_CANDIDATE;
        mLeader = "";
        mVotes.start(mSettings.self(), mBallot.term() + 1, true);
        if (mVotes.isWon(mLog.membership())) {
            startElection(now, false);
            return;
        }
        mActions.addAll(mVotes.voteRequests(mLog, false));
    }

    private void startElection(long now, boolean leadershipTransfer) throws QuilldykeException {
        mRole = Role.CANDIDATE;
        saveBallot(new Ballot(mBallot.term() + 1, mSettings.self(), true));
        mVotes.start(mSettings.self(), mBallot.term(), false);
        mTimer.restart(now);
        if (mVotes.isWon(mLog.membership())) {
            becomeLeader(now);
            return;
        }
        mActions.addAll(mVotes.voteRequests(mLog, leadershipTransfer));
    }

    private void onVoteRequest(String from, PeerMessage.VoteRequest m, long now) {
        boolean leaderIsActive =
                mRole == Role.LEADER
                        ? holdsLease(now)
                        : now - mLeaderSeenAt < mSettings.electionMillis();
        if (leaderIsActive && !m.leadershipTransfer() || !mBallot.trusted()) {
            send(from, new PeerMessage.VoteReply(mBallot.term(), false, m.preVote()));
            return;
        }
        boolean upToDate = mLog.isNotNewerThan(m.lastIndex(), m.lastTerm());
        if (m.preVote()) {
            boolean mayWin = m.term() > mBallot.term() && upToDate;
            boolean granted = mayWin && mVotes.yieldPreVoteTo(from, m, mLog);
            long term = granted ? m.term() : mBallot.term();
            send(from, new PeerMessage.VoteReply(term, granted, true));
            return;
        }
        if (m.term() > mBallot.term()) {
            stepDown(m.term(), now);
        }
        boolean granted = m.term() == mBallot.term() && mBallot.mayVoteFor(from) && upToDate;
        if (granted) {
            saveBallot(new Ballot(mBallot.term(), from, true));
            mTimer.restart(now);
        }
        send(from, new PeerMessage.VoteReply(mBallot.term(), granted, false));
    }

    private void onVoteReply(String from, PeerMessage.VoteReply m, long now)
            throws QuilldykeException {
        boolean won = m.granted() && mVotes.addVote(from, m, mLog.membership());
        if (!m.granted() && m.term() > mBallot.term()) {
            stepDown(m.term(), now);
        } else if (won && m.preVote()) {
            startElection(now, false);
        } else if (won) {
            becomeLeader(now);
        }
    }

    private void onElectNow(PeerMessage.ElectNow m, long now) throws QuilldykeException {
        boolean mayLead = mBallot.trusted() && mEligibility.isVoter();
        if (mayLead && m.term() == mBallot.term() && mRole != Role.LEADER) {
            startElection(now, true);
        }
    }

    private void becomeLeader(long now) throws QuilldykeException {
        Invariant.check(mBallot.trusted(), "a leader's log is trusted");
        mVotes.stop();
        mRole = Role.LEADER;
        mLeader = mSettings.self();
        mLeaderSeenAt = now;
        mTimer.restartOnLeaderContact(now);
        mFollowers = Followers.of(mSettings, mLog, mBallot.term(), now);
        mActions.add(new ReplicaAction.LeadershipWon(mBallot.term()));
        // Committing the no-op entry covers all entries that were committed in earlier terms.
        mLeaderCommitIndex = mLog.lastIndex() + 1;
        mStored.append(LogEntry.noOp(mBallot.term()));
        mActions.addAll(mFollowers.sendEntries(mStored.snapshot(), mStored.commitIndex(), now));
    }

    private void onAppendRequest(String from, PeerMessage.AppendRequest m, long now)
            throws QuilldykeException {
        if (m.term() < mBallot.term() || mPeerStates.isIncomplete(mBallot)) {
            reply(from, false, mLog.lastIndex() + 1, m.sentAt());
            return;
        }
        follow(from, m.term(), now);
        mLeaderCommitIndex = m.commitIndex();
        if (m.previousIndex() < mLog.baseIndex()) {
            // The snapshot covers the previous entry, so the logs agree up to the snapshot's end.
            reply(from, true, Math.min(mLog.baseIndex(), mStored.syncedIndex()), m.sentAt());
            return;
        }
        if (mLog.termAt(m.previousIndex()) != m.previousTerm()) {
            reply(from, false, Math.min(mLog.lastIndex() + 1, m.previousIndex()), m.sentAt());
            return;
        }
        long lastSentIndex = m.previousIndex() + m.entries().size();
        long firstReplaced = mStored.appendFromLeader(m.previousIndex() + 1, m.entries());
        mMatchedIndex = Math.min(mMatchedIndex, firstReplaced - 1);
        if (!mBallot.trusted() && lastSentIndex >= m.lastIndex()) {
            saveBallot(new Ballot(mBallot.term(), mBallot.votedFor(), true));
        }
        mStored.commitTo(Math.min(m.commitIndex(), lastSentIndex));
        acknowledge(from, lastSentIndex, m.sentAt());
    }

    /** Acknowledges synced entries now, others once synced: slow disks delay no heartbeat reply. */
    private void acknowledge(String leader, long matchedIndex, long sentAt) {
        mMatchedIndex = Math.max(mMatchedIndex, matchedIndex);
        reply(leader, true, Math.min(matchedIndex, mStored.syncedIndex()), sentAt);
        if (mStored.syncedIndex() < matchedIndex) {
            mPendingAckSentAt = sentAt;
        }
    }

    private void onAppendReply(String from, PeerMessage.AppendReply m, long now)
            throws QuilldykeException {
        if (m.term() > mBallot.term()) {
            stepDown(m.term(), now);
            return;
        }
        if (mRole != Role.LEADER || m.term() != mBallot.term() || !mFollowers.isFollower(from)) {
            return;
        }
        Invariant.check(
                !m.matched() || m.index() <= mLog.lastIndex(),
                "a follower acknowledges only entries that its leader holds");
        mFollowers.onAppendReply(from, m);
        advanceCommit();
        mActions.addAll(mFollowers.sendEntries(mStored.snapshot(), mStored.commitIndex(), now));
    }

    private void onSnapshotRequest(String from, PeerMessage.SnapshotRequest m, long now) {
        if (m.term() < mBallot.term() || mPeerStates.isIncomplete(mBallot)) {
            reply(from, false, mLog.lastIndex() + 1, m.sentAt());
            return;
        }
        follow(from, m.term(), now);
        if (m.index() <= mStored.commitIndex()) {
            reply(from, true, Math.min(m.index(), mStored.syncedIndex()), m.sentAt());
            return;
        }
        mIncoming.addChunk(m);
        if (mIncoming.size() < m.totalBytes()) {
            send(from, mIncoming.replyTo(m, mBallot.term()));
            return;
        }
        mStored.installSnapshot(m, mIncoming.take());
        acknowledge(from, m.index(), m.sentAt());
    }

    private void onSnapshotReply(String from, PeerMessage.SnapshotReply m, long now) {
        if (mRole != Role.LEADER || m.term() != mBallot.term() || !mFollowers.isFollower(from)) {
            return;
        }
        mFollowers.onSnapshotReply(from, m);
        mActions.addAll(mFollowers.sendEntries(mStored.snapshot(), mStored.commitIndex(), now));
    }

    private void requestPeerStates(long now) throws QuilldykeException {
        if (mPeerStates.otherVoters().isEmpty()) {
            saveBallot(new Ballot(mBallot.term(), "", true));
            startPreVote(now);
            return;
        }
        mPeerStates.otherVoters().forEach(other -> send(other, new PeerMessage.StateRequest()));
    }

    private void onStateReply(String from, PeerMessage.StateReply m, long now) {
        if (mBallot.trusted()) {
            return;
        }
        Ballot next = mPeerStates.onReply(from, m, mBallot);
        if (!next.equals(mBallot)) {
            saveBallot(next);
        }
        if (next.trusted()) {
            mTimer.restart(now);
        }
    }

    private void follow(String leader, long term, long now) {
        if (term > mBallot.term() || mRole != Role.FOLLOWER || !mLeader.equals(leader)) {
            stepDown(term, now);
            mMatchedIndex = 0;
        }
        mLeader = leader;
        mEligibility.onLeaderContact();
        mLeaderSeenAt = now;
        mTimer.restartOnLeaderContact(now);
    }

    private void stepDown(long term, long now) {
        if (mRole == Role.LEADER) {
            mActions.add(new ReplicaAction.LeadershipLost(mBallot.term()));
        }
        mVotes.stop();
        mRole = Role.FOLLOWER;
        mLeader = "";
        mPendingAckSentAt = NO_PENDING_ACK;
        if (term > mBallot.term()) {
            saveBallot(new Ballot(term, "", mBallot.trusted()));
        }
        mTimer.restart(now);
    }

    private void advanceCommit() throws QuilldykeException {
        if (mRole != Role.LEADER) {
            return;
        }
        long majority = mFollowers.majorityIndex(mStored.syncedIndex());
        if (majority > mStored.commitIndex() && mLog.termAt(majority) == mBallot.term()) {
            mStored.commitTo(majority);
        }
    }

    private void reply(String to, boolean matched, long index, long sentAt) {
        boolean learner = !mBallot.trusted();
        send(to, new PeerMessage.AppendReply(mBallot.term(), matched, index, learner, sentAt));
    }

    private void saveBallot(Ballot ballot) {
        mBallot = ballot;
        mBallotPending = true;
        mActions.add(new ReplicaAction.SaveBallot(ballot));
    }

    private void send(String to, PeerMessage message) {
        mActions.add(new ReplicaAction.Send(to, message));
    }

    private List<ReplicaAction> drainActions() {
        List<ReplicaAction> actions = mActions;
        mActions = new ArrayList<>();
        return actions;
    }
}
