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
package org.quilldyke.gateway.caller;

import java.util.ArrayDeque;
import java.util.Deque;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.ShutdownAdmission;

/**
 * The events of one answer on their way to its caller, from whatever target they come: when the
 * first was passed on, how long the pauses were, and those that wait for a successor to begin.
 */
final class CallerStream {
    private final CallerConnection mCaller;
    private final Deque<EventSplitter.Event> mHeldEvents = new ArrayDeque<>();
    private boolean mBegun;
    private long mBeganAt;
    private long mFirstEventMillis = -1;
    private long mLastEventAt;
    private long mLongestPauseMillis;
    private int mEventCount;

    CallerStream(CallerConnection caller) {
        mCaller = caller;
    }

    /** Sends the head of the first target that answers; one that goes on later adds only events. */
    void begin(TargetAnswer answer, long now) {
        mBegun = true;
        mBeganAt = now;
        mLastEventAt = now;
        mFirstEventMillis = now - answer.sentAt();
        mCaller.beginStream(answer.status(), answer.headers());
    }

    boolean hasBegun() {
        return mBegun;
    }

    /**
     * Tells how long the answer lasted: by that it is known what may still be taken when the
     * instance shuts down.
     *
     * @param complete whether it is passed on whole
     * @param sentAt when the last request was sent that may have run, 0 if none was
     */
    void recordDuration(
            ShutdownAdmission shutdown,
            ForwardRequest request,
            boolean complete,
            long sentAt,
            long now) {
        long startedAt = mBegun ? mBeganAt : sentAt;
        if (startedAt == 0) {
            return;
        }
        if (complete) {
            shutdown.onCompleted(request, mEventCount, now - startedAt);
        } else {
            shutdown.onInterrupted(
                    request, mEventCount, (mEventCount > 0 ? mLastEventAt : now) - startedAt);
        }
    }

    /** Returns when the last event was passed on, by the entry's clock. */
    long lastEventAt() {
        return mLastEventAt;
    }

    /** Returns the time from the sending to the first event, -1 if there was none. */
    long firstEventMillis() {
        return mFirstEventMillis;
    }

    /** Returns the longest time between two events. */
    long longestPauseMillis() {
        return mLongestPauseMillis;
    }

    /** Passes an event on. */
    void write(EventSplitter.Event event, long now) {
        mLongestPauseMillis = Math.max(mLongestPauseMillis, now - mLastEventAt);
        mLastEventAt = now;
        mEventCount++;
        mCaller.write(event.bytes());
    }

    /** Keeps an event until it is known who goes on. */
    void hold(EventSplitter.Event event) {
        mHeldEvents.add(event);
    }

    /** Returns the next event that was kept, null if there is none. */
    EventSplitter.Event nextHeld() {
        return mHeldEvents.poll();
    }

    /** Forgets the events that were kept: somebody else sends them. */
    void releaseHeld() {
        mHeldEvents.forEach(event -> event.bytes().release());
        mHeldEvents.clear();
    }
}
