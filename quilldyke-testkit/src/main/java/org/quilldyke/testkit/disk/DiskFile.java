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
package org.quilldyke.testkit.disk;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** A file's content: as programs see it, as its last sync left it, and the writes in between. */
final class DiskFile {
    private final List<Change> mChanges = new ArrayList<>();
    private byte[] mContent = new byte[0];
    private byte[] mSynced = new byte[0];

    byte[] content() {
        return mContent;
    }

    void write(int position, byte[] bytes) {
        mChanges.add(new Change(position, bytes));
        mContent = written(mContent, position, bytes);
    }

    void setLength(int length) {
        mChanges.add(new Change(length, null));
        mContent = Arrays.copyOf(mContent, length);
    }

    void sync() {
        mChanges.clear();
        mSynced = mContent;
    }

    /**
     * Leaves what the last sync covered, and each later change whole, in part or not at all.
     *
     * @param dropAll whether all later changes are gone
     */
    void losePower(Random random, boolean dropAll) {
        byte[] left = mSynced;
        for (Change change : mChanges) {
            int fate = dropAll ? 0 : random.nextInt(3);
            if (fate > 0) {
                left = change.after(left, fate == 1, random);
            }
        }
        mContent = left;
        sync();
    }

    private static byte[] written(byte[] content, int position, byte[] bytes) {
        int length = Math.max(content.length, position + bytes.length);
        byte[] next = Arrays.copyOf(content, length);
        System.arraycopy(bytes, 0, next, position, bytes.length);
        return next;
    }

    /**
     * A write, or a new length.
     *
     * @param at where it is written, or the new length
     * @param bytes what is written, or null
     */
    private record Change(int at, byte[] bytes) {
        /** Returns the content after the change; of a torn write a stretch is there. */
        byte[] after(byte[] content, boolean torn, Random random) {
            if (bytes == null) {
                return Arrays.copyOf(content, at);
            }
            int from = torn && random.nextBoolean() ? random.nextInt(bytes.length + 1) : 0;
            int to = torn ? from + random.nextInt(bytes.length - from + 1) : bytes.length;
            return written(content, at + from, Arrays.copyOfRange(bytes, from, to));
        }
    }
}
