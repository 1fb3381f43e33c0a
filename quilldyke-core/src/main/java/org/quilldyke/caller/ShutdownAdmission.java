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

import java.util.HashMap;
import java.util.Map;
import org.quilldyke.ResultCode;

/**
 * Which requests an instance still takes while it shuts down: those that end before it has to.
 *
 * <p>Until the balancer has noticed, callers still come, and the instance has a few seconds less
 * than a stream may last. A stream that it took and couldn't finish would be cut amid its answer;
 * one that is refused at once is served by another instance. One object for all requests of an
 * instance, used by one thread.
 */
public final class ShutdownAdmission {
    private static final long RUNNING = Long.MAX_VALUE;

    /** A refused caller comes back at once: the other instances go on serving. */
    private static final long RETRY_MILLIS = 1;

    private final Map<String, StreamTimes> mStreams = new HashMap<>();
    private long mEndsAt = RUNNING;

    private ShutdownAdmission() {}

    /** Returns the admission of an instance that runs, and takes everything. */
    public static ShutdownAdmission create() {
        return new ShutdownAdmission();
    }

    /** Notes that the instance shuts down and has to end at a given time. */
    public void onShutdown(long endsAt) {
        mEndsAt = endsAt;
    }

    /** Returns whether the instance shuts down. */
    public boolean isShuttingDown() {
        return mEndsAt != RUNNING;
    }

    /**
     * Returns whether a request is taken: its own time is over before the instance ends, or its
     * answer is expected to be.
     *
     * @param firstEventMillis when its first event is expected
     */
    public boolean admits(ForwardRequest request, long firstEventMillis, long now) {
        if (!isShuttingDown() || request.answerBy() <= mEndsAt) {
            return true;
        }
        return request.prompt().isPresent()
                && now + firstEventMillis + streamMillis(request, now) <= mEndsAt;
    }

    /** Returns the refusal of a request that isn't taken. */
    public Step.Refuse refusal(long now) {
        return new Step.Refuse(
                ResultCode.SHUTTING_DOWN, RETRY_MILLIS, "ends in " + (mEndsAt - now) + " ms");
    }

    /**
     * Takes how long a stream lasted that came to its end.
     *
     * @param lastEvent the number of its last event
     * @param millis from its first event here to its end
     */
    public void onStreamEnded(ForwardRequest request, long lastEvent, long millis, long now) {
        if (request.prompt().isPresent()) {
            long events = lastEvent - Math.max(0, request.lastEvent());
            int maxTokens = request.prompt().get().maxOutputTokens();
            times(request).onEnded(maxTokens, lastEvent, events, millis, now);
        }
    }

    private double streamMillis(ForwardRequest request, long now) {
        return times(request).millis(request.prompt().get().maxOutputTokens(), now);
    }

    private StreamTimes times(ForwardRequest request) {
        return mStreams.computeIfAbsent(request.service(), service -> new StreamTimes());
    }
}
