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
final class PassedStream {
    private final CallerConnection mCaller;
    private final Deque<EventSplitter.Event> mHeld = new ArrayDeque<>();
    private boolean mBegun;
    private long mBegunAt;
    private long mFirstEventMillis = -1;
    private long mEventAt;
    private long mLongestPauseMillis;
    private int mEvents;

    PassedStream(CallerConnection caller) {
        mCaller = caller;
    }

    /** Sends the head of the first target that answers; one that goes on later adds only events. */
    void begin(TargetAnswer answer, long now) {
        mBegun = true;
        mBegunAt = now;
        mEventAt = now;
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
     * @param whole whether it is passed on whole
     * @param sentAt when the last request was sent that may have run, 0 if none was
     */
    void tellLasted(
            ShutdownAdmission shutdown,
            ForwardRequest request,
            boolean whole,
            long sentAt,
            long now) {
        long begun = mBegun ? mBegunAt : sentAt;
        if (begun == 0) {
            return;
        }
        if (whole) {
            shutdown.onCompleted(request, mEvents, now - begun);
        } else {
            shutdown.onInterrupted(request, mEvents, (mEvents > 0 ? mEventAt : now) - begun);
        }
    }

    /** Returns when the last event was passed on, by the entry's clock. */
    long eventAt() {
        return mEventAt;
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
        mLongestPauseMillis = Math.max(mLongestPauseMillis, now - mEventAt);
        mEventAt = now;
        mEvents++;
        mCaller.write(event.bytes());
    }

    /** Keeps an event until it is known who goes on. */
    void hold(EventSplitter.Event event) {
        mHeld.add(event);
    }

    /** Returns the next event that was kept, null if there is none. */
    EventSplitter.Event nextHeld() {
        return mHeld.poll();
    }

    /** Forgets the events that were kept: somebody else sends them. */
    void releaseHeld() {
        mHeld.forEach(event -> event.bytes().release());
        mHeld.clear();
    }
}
