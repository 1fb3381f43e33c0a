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

import org.quilldyke.manifest.Route;

/**
 * The successor that is asked to continue an answer while the current run is kept: why it was
 * asked, and for how long events of the run are held back for it.
 */
final class Handover {
    /**
     * Fraction of the route's event gap within which the successor of a move must be expected to
     * start; the rest is for the transfer to the caller.
     */
    private static final double MAX_MOVE_START_EVENT_GAPS = 0.8;

    /**
     * Longest time, in event gaps of the route, for which events are held back until the successor
     * starts. When successors were discarded after one event gap, 64 of 146 were asked in vain in
     * two simulated days, instead of 15 of 134.
     */
    private static final double MAX_HOLD_EVENT_GAPS = 2;

    /** Shortest time without data before another target is asked, whatever the objective. */
    private static final long MIN_UNRESPONSIVE_MILLIS = 800;

    private final Route mRoute;
    private TargetRun mSuccessor;
    private CutCause mCause = CutCause.MOVE;
    private boolean mMoveFailed;

    Handover(Route route) {
        mRoute = route;
    }

    /** Returns how long the current run may send nothing before a successor is asked. */
    long unresponsiveTimeoutMillis(boolean answerStarted) {
        if (!mRoute.mayRunAgain()) {
            return Long.MAX_VALUE;
        }
        long expected = answerStarted ? mRoute.eventGapMillis() : mRoute.latencyObjectiveMillis();
        return Math.max(MIN_UNRESPONSIVE_MILLIS, 2 * expected);
    }

    /** Records that a successor is asked. */
    void ask(TargetRun successor, CutCause cause) {
        mSuccessor = successor;
        mCause = cause;
    }

    /** Returns whether a successor was asked and has not started yet. */
    boolean isPending() {
        return mSuccessor != null;
    }

    /** Returns the successor; null if none is asked. */
    TargetRun successor() {
        return mSuccessor;
    }

    CutCause cause() {
        return mCause;
    }

    /** Removes and returns the successor, which becomes the current run; null if none is asked. */
    TargetRun takeSuccessor() {
        TargetRun successor = mSuccessor;
        mSuccessor = null;
        return successor;
    }

    /** Discards the successor; a move that failed is not tried again. */
    void discard() {
        mMoveFailed |= mCause == CutCause.MOVE;
        finish();
    }

    /** Releases the successor at the end of the request. */
    void finish() {
        if (mSuccessor != null) {
            mSuccessor.finish();
            mSuccessor = null;
        }
    }

    /** Returns whether the stream may still be moved from a working target. */
    boolean mayMove() {
        return !mMoveFailed;
    }

    /**
     * Returns whether events of the run are held back until the successor starts, because it
     * continues after the event that was relayed last when it was asked. Events of an unresponsive
     * run are not held back: if it sends again, no successor is needed.
     */
    boolean holdsEvents() {
        return isPending() && mCause != CutCause.SILENCE;
    }

    /** Returns for how long after the last relayed event further ones may be held back. */
    long holdMillis() {
        return Math.round(MAX_HOLD_EVENT_GAPS * mRoute.eventGapMillis());
    }

    /**
     * Returns the time within which a successor must be expected to start: a move from a working
     * target must not delay the answer, and an unresponsive run has no events to hold back.
     */
    long maxExpectedMillis(CutCause cause) {
        return switch (cause) {
            case MOVE -> Math.round(MAX_MOVE_START_EVENT_GAPS * mRoute.eventGapMillis());
            case SHUTDOWN -> holdMillis();
            default -> Long.MAX_VALUE;
        };
    }
}
