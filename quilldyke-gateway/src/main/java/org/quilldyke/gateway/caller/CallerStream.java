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
 * The events of one answer that are sent to its caller, from all targets that contribute to it.
 * Measures the time to the first event and between events, and holds events back while a successor
 * is starting.
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

    /** Sends the head of the first target's answer; later targets contribute only events. */
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
     * Records the duration of the answer, from which the instance estimates during a shutdown which
     * requests still complete in time.
     *
     * @param complete whether the answer was sent completely
     * @param sentAt when the last attempt that may have run was sent, 0 if none was
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

    /** Returns when the last event was sent, in milliseconds of the entry's clock. */
    long lastEventAt() {
        return mLastEventAt;
    }

    /** Returns the time from sending the request to the first event, -1 if there was none. */
    long firstEventMillis() {
        return mFirstEventMillis;
    }

    /** Returns the longest time between two events. */
    long longestPauseMillis() {
        return mLongestPauseMillis;
    }

    /** Sends an event. */
    void write(EventSplitter.Event event, long now) {
        mLongestPauseMillis = Math.max(mLongestPauseMillis, now - mLastEventAt);
        mLastEventAt = now;
        mEventCount++;
        mCaller.write(event.bytes());
    }

    /** Holds an event until it is known whether a successor takes over. */
    void hold(EventSplitter.Event event) {
        mHeldEvents.add(event);
    }

    /** Returns the next held event, null if there is none. */
    EventSplitter.Event nextHeld() {
        return mHeldEvents.poll();
    }

    /** Discards the held events: the successor sends them again, or the request has ended. */
    void releaseHeld() {
        mHeldEvents.forEach(event -> event.bytes().release());
        mHeldEvents.clear();
    }
}
