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

/** What a replica that doesn't trust its disk has heard of the others' logs. */
final class PeerStates {
    private final String mSelf;
    private final ReplicatedLog mLog;
    private final Map<String, PeerMessage.StateReply> mReplies = new HashMap<>();

    PeerStates(String self, ReplicatedLog log) {
        mSelf = self;
        mLog = log;
    }

    /** Returns whom to ask. */
    List<String> otherVoters() {
        return mLog.membership().otherVoters(mSelf);
    }

    /** Returns whether too few have answered for a leader's entries to be taken. */
    boolean isIncomplete(Ballot ballot) {
        return !ballot.trusted()
                && mReplies.size() < mLog.membership().quorum()
                && !otherVoters().isEmpty()
                && ballot.term() == 0;
    }

    /** Takes an answer and returns the ballot that follows from all of them. */
    Ballot onReply(String from, PeerMessage.StateReply reply, Ballot ballot) {
        mReplies.put(from, reply);
        long newestTerm =
                mReplies.values().stream().mapToLong(PeerMessage.StateReply::term).max().orElse(0);
        boolean allEmpty =
                mReplies.size() == otherVoters().size()
                        && mReplies.values().stream().allMatch(r -> r.lastIndex() == 0);
        if (allEmpty && mLog.lastIndex() == 0) {
            // Nobody holds an entry, so nothing was ever committed: a first start.
            return new Ballot(newestTerm + 1, "", true);
        }
        boolean hasQuorum = mReplies.size() >= mLog.membership().quorum();
        return hasQuorum && newestTerm > ballot.term() ? new Ballot(newestTerm, "", false) : ballot;
    }
}
