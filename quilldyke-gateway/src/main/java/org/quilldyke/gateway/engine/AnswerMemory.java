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
package org.quilldyke.gateway.engine;

import java.util.HashSet;
import java.util.Set;

/**
 * Bounds the bytes of all incomplete answers that a process holds at the same time.
 *
 * <p>When the bound is reached, the answer that holds the most is discarded, so that targets that
 * send without end don't use up the memory that the answers to other requests need. Not
 * thread-safe.
 */
public final class AnswerMemory {
    /** Half of the direct memory of a deployed entry. */
    private static final long ENTRY_BYTES = 24 << 20;

    /** A sixth of the heap of a deployed control process. */
    private static final long CALL_BYTES = 16 << 20;

    private final long mMaxBytes;
    private final Set<Share> mShares = new HashSet<>();
    private long mBytes;

    private AnswerMemory(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Returns the bound on the answers to the requests of an entry. */
    public static AnswerMemory ofEntry() {
        return ofBytes(ENTRY_BYTES);
    }

    /** Returns the bound on the answers to the calls to engines. */
    static AnswerMemory ofCalls() {
        return ofBytes(CALL_BYTES);
    }

    /** Returns a bound that no answer uses yet. */
    static AnswerMemory ofBytes(long maxBytes) {
        return new AnswerMemory(maxBytes);
    }

    /**
     * Returns the share of an answer that holds no bytes yet.
     *
     * @param discarder fails the answer and releases its share
     */
    public Share open(Runnable discarder) {
        return new Share(discarder);
    }

    /** Returns the number of bytes that are held. */
    public long bytes() {
        return mBytes;
    }

    private Share largest() {
        Share largest = null;
        for (Share share : mShares) {
            if (largest == null || share.mBytes > largest.mBytes) {
                largest = share;
            }
        }
        return largest;
    }

    /** The bytes that one answer holds. */
    public final class Share {
        private final Runnable mDiscarder;
        private long mBytes;

        private Share(Runnable discarder) {
            mDiscarder = discarder;
        }

        /** Sets the number of bytes that the answer holds; may discard it, or others. */
        public void set(long bytes) {
            if (bytes == mBytes) {
                return;
            }
            AnswerMemory.this.mBytes += bytes - mBytes;
            mBytes = bytes;
            if (bytes == 0) {
                mShares.remove(this);
            } else {
                mShares.add(this);
            }
            while (AnswerMemory.this.mBytes > mMaxBytes) {
                Share largest = largest();
                largest.release();
                largest.mDiscarder.run();
            }
        }

        /** Records that the answer holds no bytes any more. */
        public void release() {
            set(0);
        }
    }
}
