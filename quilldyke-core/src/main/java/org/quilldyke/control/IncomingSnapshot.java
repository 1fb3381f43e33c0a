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

/** Collects the pieces of a snapshot that a leader sends. */
final class IncomingSnapshot {
    private byte[] mBytes = new byte[0];
    private long mIndex;

    /** Takes a piece, if it is the next one; a first piece starts anew. */
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

    /** Returns how many bytes are here. */
    int size() {
        return mBytes.length;
    }

    /** Returns the answer to a piece that isn't the last. */
    PeerMessage replyTo(PeerMessage.SnapshotRequest m, long term) {
        return new PeerMessage.SnapshotReply(term, m.index(), size(), m.sentAt());
    }

    /** Returns the whole snapshot and forgets it. */
    byte[] take() {
        byte[] bytes = mBytes;
        mBytes = new byte[0];
        return bytes;
    }
}
