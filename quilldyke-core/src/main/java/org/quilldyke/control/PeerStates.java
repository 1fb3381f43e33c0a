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

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The replies of the other voters to a replica that isn't trusted, after the loss of its disk or at
 * its first start.
 */
final class PeerStates {
    private final String mSelf;
    private final ReplicatedLog mLog;
    private final Map<String, PeerMessage.StateReply> mReplies = new HashMap<>();

    PeerStates(String self, ReplicatedLog log) {
        mSelf = self;
        mLog = log;
    }

    /** Returns the voters to ask. */
    List<String> otherVoters() {
        return mLog.membership().otherVoters(mSelf);
    }

    /**
     * Returns whether too few voters have answered for a leader's entries to be accepted. A term
     * above 0 in the ballot counts as learned from enough of them, maybe before a restart.
     */
    boolean isIncomplete(Ballot ballot) {
        return !ballot.trusted()
                && mReplies.size() < mLog.membership().quorum()
                && !otherVoters().isEmpty()
                && ballot.term() == 0;
    }

    /** Records a reply and returns the ballot that results from all replies. */
    Ballot onReply(String from, PeerMessage.StateReply reply, Ballot ballot) {
        mReplies.put(from, reply);
        long newestTerm =
                mReplies.values().stream().mapToLong(PeerMessage.StateReply::term).max().orElse(0);
        boolean allEmpty =
                mReplies.size() == otherVoters().size()
                        && mReplies.values().stream().allMatch(r -> r.lastIndex() == 0);
        if (allEmpty && mLog.lastIndex() == 0) {
            // No voter holds an entry, so nothing was ever committed: this is the first start.
            return new Ballot(newestTerm + 1, "", true);
        }
        boolean hasQuorum = mReplies.size() >= mLog.membership().quorum();
        return hasQuorum && newestTerm > ballot.term() ? new Ballot(newestTerm, "", false) : ballot;
    }
}
