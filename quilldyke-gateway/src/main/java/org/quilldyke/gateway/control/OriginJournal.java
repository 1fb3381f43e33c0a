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
package org.quilldyke.gateway.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.quilldyke.caller.StreamOrigin;
import org.quilldyke.gateway.instance.OriginFrames;
import org.quilldyke.gateway.instance.proto.OriginSegment;

/**
 * Saves the origins of streams to disk, so that callers can resume their streams after all
 * processes have ended together. Best effort: those of the last moments may be lost, and nothing
 * waits for a disk.
 *
 * <p>Origins are saved in segments that are reused in turn. A save rewrites only the newest one.
 */
final class OriginJournal {
    /** Together they last longer than a stream may be resumed. */
    static final int SEGMENTS = 32;

    static final long SEGMENT_MILLIS = 2500;

    /** Further origins are not saved before the next segment begins. */
    static final int MAX_IN_SEGMENT = 2000;

    static final long SAVE_MILLIS = 200;

    private final WarmStartData mWarmStart;
    private final List<StreamOrigin> mRestored;
    private final List<StreamOrigin> mSegment = new ArrayList<>();
    private long mSequence;
    private long mSegmentBeganAt;
    private long mSavedAt;
    private boolean mSaveNeeded;

    private OriginJournal(WarmStartData warmStart, List<StreamOrigin> restored, long sequence) {
        mWarmStart = warmStart;
        mRestored = restored;
        mSequence = sequence;
    }

    /**
     * Opens the journal of a process. It is unknown how long the process was down, so the saved
     * origins are as old as when they were saved.
     */
    static OriginJournal open(WarmStartData warmStart, long now) {
        List<OriginSegment> segments = new ArrayList<>();
        for (int slot = 0; slot < SEGMENTS; slot++) {
            segments.add(warmStart.originSegment(slot));
        }
        segments.sort(Comparator.comparingLong(OriginSegment::getSequence));
        List<StreamOrigin> restored = new ArrayList<>();
        segments.forEach(
                segment -> restored.addAll(OriginFrames.decode(segment.getOrigins(), now)));
        return new OriginJournal(warmStart, restored, 1 + segments.get(SEGMENTS - 1).getSequence());
    }

    /** Returns the origins that were saved before the start, the oldest first. */
    List<StreamOrigin> restored() {
        return mRestored;
    }

    /** Adds an origin, which is saved soon. */
    void add(StreamOrigin origin, long now) {
        if (mSegment.isEmpty()) {
            mSegmentBeganAt = now;
        }
        if (mSegment.size() < MAX_IN_SEGMENT) {
            mSegment.add(origin);
            mSaveNeeded = true;
        }
    }

    /** Saves what was added when due. */
    void tick(long now) {
        if (mSaveNeeded && now - mSavedAt >= SAVE_MILLIS) {
            OriginSegment segment =
                    OriginSegment.newBuilder()
                            .setSequence(mSequence)
                            .setOrigins(OriginFrames.encode(mSegment, now))
                            .build();
            if (mWarmStart.saveOriginSegment(slot(), segment)) {
                mSavedAt = now;
                mSaveNeeded = false;
            }
        }
        boolean isOver =
                now - mSegmentBeganAt >= SEGMENT_MILLIS || mSegment.size() >= MAX_IN_SEGMENT;
        if (isOver && !mSaveNeeded && !mSegment.isEmpty()) {
            mSequence++;
            mSegment.clear();
        }
    }

    private int slot() {
        return (int) (mSequence % SEGMENTS);
    }
}
