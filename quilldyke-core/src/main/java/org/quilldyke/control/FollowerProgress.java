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

/** The state of a leader's replication to one follower. */
final class FollowerProgress {
    /** Maximum number of unacknowledged messages with entries. */
    private static final int MAX_IN_FLIGHT = 8;

    private long mNextIndex;
    private long mMatchIndex;
    private int mInFlight;
    private long mLastSentAt = Long.MIN_VALUE;
    private long mAckedSentAt = Long.MIN_VALUE;
    private boolean mLearner;
    private boolean mProbing = true;
    private long mSnapshotIndex;
    private int mSnapshotOffset;

    FollowerProgress(long nextIndex) {
        mNextIndex = nextIndex;
    }

    long nextIndex() {
        return mNextIndex;
    }

    long matchIndex() {
        return mMatchIndex;
    }

    /**
     * Returns whether the follower started with an empty disk and doesn't count towards majorities
     * yet, see {@link Ballot#trusted}.
     */
    boolean isLearner() {
        return mLearner;
    }

    /** Returns when the newest request that the follower has answered was sent. */
    long ackedSentAt() {
        return mAckedSentAt;
    }

    /**
     * Returns whether another message may be sent before the previous ones are answered. As long as
     * it is unknown up to where the logs agree, one message at a time is enough to find out.
     */
    boolean maySend() {
        return mInFlight < (mProbing ? 1 : MAX_IN_FLIGHT);
    }

    /** Returns whether no message has been sent for a heartbeat interval. */
    boolean isHeartbeatDue(long now, long heartbeatMillis) {
        return mLastSentAt == Long.MIN_VALUE || now - mLastSentAt >= heartbeatMillis;
    }

    void onSent(long lastSentIndex, long now) {
        mNextIndex = lastSentIndex + 1;
        mInFlight++;
        mLastSentAt = now;
    }

    /**
     * Goes back to the entry after the last one known to match, if there is one, and treats no
     * message as in flight: those sent before, or their replies, may have been lost.
     */
    void rewind() {
        if (mMatchIndex > 0) {
            mNextIndex = mMatchIndex + 1;
        }
        mInFlight = 0;
    }

    void onReply(long sentAt) {
        mAckedSentAt = Math.max(mAckedSentAt, sentAt);
        mInFlight = Math.max(0, mInFlight - 1);
    }

    void onMatched(long index, boolean learner) {
        // A learner has lost its disk, so its earlier acknowledgements are invalid.
        mMatchIndex = learner ? index : Math.max(mMatchIndex, index);
        mNextIndex = Math.max(mNextIndex, mMatchIndex + 1);
        mLearner = learner;
        mProbing = false;
        mSnapshotOffset = 0;
    }

    /**
     * Continues from {@code retryIndex}, where the logs may agree, unless that index or an earlier
     * one is being probed already.
     */
    void onMismatch(long retryIndex, boolean learner) {
        if (mProbing && retryIndex >= mNextIndex) {
            return;
        }
        mProbing = true;
        if (learner) {
            mMatchIndex = 0;
            mLearner = true;
        }
        mNextIndex = Math.max(mMatchIndex + 1, retryIndex);
        mInFlight = 0;
    }

    /** Returns the offset of the next chunk of the snapshot that ends at {@code index}. */
    int snapshotOffset(long index) {
        if (mSnapshotIndex != index) {
            mSnapshotIndex = index;
            mSnapshotOffset = 0;
        }
        return mSnapshotOffset;
    }

    /** Allows no further message until the chunk is acknowledged or a heartbeat is due. */
    void onChunkSent(long now) {
        mInFlight = MAX_IN_FLIGHT;
        mLastSentAt = now;
    }

    void onChunkReply(long index, int nextOffset) {
        if (mSnapshotIndex == index) {
            mSnapshotOffset = nextOffset;
        }
        mInFlight = 0;
    }
}
