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
package org.quilldyke.caller;

import org.quilldyke.Invariant;
import org.quilldyke.QuilldykeException;

/**
 * The position up to which an answer was relayed.
 *
 * <p>Accepts each chunk once and in order, and only if it belongs to the request and to its current
 * attempt.
 */
public final class StreamCursor {
    private final String mRequest;
    private int mAttempt;
    private int mAttemptsStarted;
    private int mNextPosition;
    private boolean mFinished;

    private StreamCursor(String request, int attempt, int nextPosition) {
        mRequest = request;
        mAttempt = attempt;
        mAttemptsStarted = attempt;
        mNextPosition = nextPosition;
    }

    /** Returns a cursor at the start of an answer, before the first attempt. */
    public static StreamCursor create(String request) {
        return new StreamCursor(request, 0, 0);
    }

    /** Returns a cursor within an answer, for a caller that reconnects. */
    public static StreamCursor resumeAt(String request, int attempt, int nextPosition) {
        return new StreamCursor(request, attempt, nextPosition);
    }

    /** Starts the next attempt, which continues at {@link #nextPosition}; returns its number. */
    public int startAttempt() {
        mAttemptsStarted++;
        mAttempt = mAttemptsStarted;
        return mAttempt;
    }

    /** Continues with an earlier attempt; the next one to start still gets a number of its own. */
    public void returnToAttempt(int attempt) {
        mAttempt = attempt;
    }

    /** Returns what to do with a chunk; advances the cursor if it is accepted. */
    public Verdict accept(ChunkId id) throws QuilldykeException {
        if (id == null || !id.request().equals(mRequest) || id.attempt() != mAttempt) {
            return Verdict.CROSSED;
        }
        if (id.position() < mNextPosition) {
            return Verdict.REPEATED;
        }
        if (id.position() > mNextPosition) {
            return Verdict.GAP;
        }
        Invariant.check(!mFinished, "no chunk follows the end of an answer");
        mNextPosition++;
        return Verdict.NEXT;
    }

    /** Records that the last accepted chunk ends the answer. */
    public void finish() {
        mFinished = true;
    }

    /**
     * Records that the answer ends at {@link #nextPosition} with a chunk created by this instance.
     */
    public void finishWithLocalChunk() {
        mNextPosition++;
        mFinished = true;
    }

    /** Returns whether the whole answer was relayed. */
    public boolean isFinished() {
        return mFinished;
    }

    /** Returns the position of the next chunk. */
    public int nextPosition() {
        return mNextPosition;
    }

    /** Returns the current attempt, 0 before the first. */
    public int attempt() {
        return mAttempt;
    }

    /** Returns the number of attempts started, 0 before the first. */
    public int attemptsStarted() {
        return mAttemptsStarted;
    }

    /** Returns the id of the request. */
    public String request() {
        return mRequest;
    }

    /** What to do with a chunk. */
    public enum Verdict {
        /** Relay it. */
        NEXT,
        /** Drop it: it was relayed before. */
        REPEATED,
        /** Drop it: it has no valid id, or belongs to another request or attempt. */
        CROSSED,
        /** Chunks before it are missing: resume at the cursor. */
        GAP
    }
}
