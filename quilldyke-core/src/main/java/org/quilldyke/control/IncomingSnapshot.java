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

import java.util.Arrays;

/** Collects the chunks of a snapshot that a leader sends. */
final class IncomingSnapshot {
    private byte[] mBytes = new byte[0];
    private long mIndex;

    /**
     * Adds a chunk if it is the next one. A chunk at offset 0, or of another snapshot, discards the
     * chunks received before.
     */
    void addChunk(PeerMessage.SnapshotRequest m) {
        if (m.offset() == 0 || m.index() != mIndex) {
            mBytes = new byte[0];
            mIndex = m.index();
        }
        if (m.offset() == mBytes.length) {
            mBytes = Arrays.copyOf(mBytes, m.offset() + m.chunk().length);
            System.arraycopy(m.chunk(), 0, mBytes, m.offset(), m.chunk().length);
        }
    }

    /** Returns the number of bytes received. */
    int size() {
        return mBytes.length;
    }

    /** Returns the reply to a chunk that isn't the last. */
    PeerMessage replyTo(PeerMessage.SnapshotRequest m, long term) {
        return new PeerMessage.SnapshotReply(term, m.index(), size(), m.sentAt());
    }

    /** Returns the received snapshot and clears it. */
    byte[] take() {
        byte[] bytes = mBytes;
        mBytes = new byte[0];
        return bytes;
    }
}
