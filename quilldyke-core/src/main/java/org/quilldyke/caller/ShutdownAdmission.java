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
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.quilldyke.ResultCode;
import org.quilldyke.manifest.RequestKind;

/**
 * Decides which requests an instance still admits while it shuts down: those that end before its
 * shutdown deadline.
 *
 * <p>Until the load balancer has noticed the shutdown, callers still connect, and the time left is
 * a few seconds shorter than a stream may last. A stream that cannot complete would be aborted in
 * the middle of its answer; one that is refused immediately may be served by another instance. The
 * duration of requests is estimated from completed ones: for streams from the event interval and
 * the maximum number of events, since most use only a small part of their token limit; for other
 * requests from their durations. One object serves all requests of an instance. Not thread-safe.
 */
public final class ShutdownAdmission {
    private static final long NOT_SHUTTING_DOWN = Long.MAX_VALUE;

    /** A refused caller may retry immediately: another instance serves it in time. */
    private static final long RETRY_AFTER_MILLIS = 1;

    /**
     * Assumed time per token until durations are known: an engine step that processes 4,096 prompt
     * tokens at 57 per millisecond, plus 8 ms for the rest.
     */
    private static final double DEFAULT_MILLIS_PER_TOKEN = 80;

    /**
     * With answers of 5 MB, the first one was written in 1.5 s and the next one not in 2.6 s, since
     * the send buffer was full by then.
     */
    private static final long WRITE_TIME_FACTOR = 2;

    private final Map<String, StreamDurationBound> mStreamBounds = new HashMap<>();
    private final Map<String, RunDurationBound> mMillisPerTokenBounds = new HashMap<>();
    private final Map<String, RunDurationBound> mRequestMillisBounds = new HashMap<>();
    private long mShutdownDeadline = NOT_SHUTTING_DOWN;

    private ShutdownAdmission() {}

    /** Returns the admission of a running instance, which admits everything. */
    public static ShutdownAdmission create() {
        return new ShutdownAdmission();
    }

    /** Records that the instance shuts down and has to end at the given time. */
    public void onShutdown(long deadline) {
        mShutdownDeadline = deadline;
    }

    /** Returns whether the instance shuts down. */
    public boolean isShuttingDown() {
        return mShutdownDeadline != NOT_SHUTTING_DOWN;
    }

    /** Returns the shutdown deadline; {@link Long#MAX_VALUE} if the instance does not shut down. */
    long shutdownDeadline() {
        return mShutdownDeadline;
    }

    /**
     * Returns whether a request is admitted: its own deadline is before the shutdown deadline, or
     * its answer is expected to end before it.
     *
     * @param firstEventMillis the expected time to its first event
     */
    public boolean admits(ForwardRequest request, long firstEventMillis, long now) {
        return !isShuttingDown()
                || request.deadline() <= mShutdownDeadline
                || now + firstEventMillis + maxMillis(request) <= mShutdownDeadline;
    }

    /**
     * Returns whether a caller that reads slowly is expected to read one more answer before the
     * shutdown deadline.
     *
     * <p>Until its connection's send buffer is full, an answer is written as fast as it is
     * produced, so the first one takes less time than the next one of the same size.
     *
     * @param longestWriteMillis the longest time that writing an answer to this caller took
     */
    public boolean admitsAnswer(long longestWriteMillis, long now) {
        return !isShuttingDown()
                || now + WRITE_TIME_FACTOR * longestWriteMillis <= mShutdownDeadline;
    }

    /** Returns the refusal of a request that is not admitted. */
    public Step.Refuse refusal(long now) {
        return new Step.Refuse(
                ResultCode.SHUTTING_DOWN,
                RETRY_AFTER_MILLIS,
                "shuts down in " + (mShutdownDeadline - now) + " ms");
    }

    /**
     * Records the duration of a complete answer.
     *
     * @param events the number of its events, 0 if it is not a stream
     * @param millis the time from its first event to its end, or from its sending if it is not a
     *     stream
     */
    public void onCompleted(ForwardRequest request, int events, long millis) {
        if (isMeasuredByEvents(request) && events == 0) {
            // A plain answer on a streaming route gives no information about streams.
            return;
        }
        if (request.resumeAfterEvent() >= 0) {
            // Only the rest of an answer was received, so it counts like an interrupted one.
            onInterrupted(request, events, millis);
        } else if (isMeasuredByEvents(request)) {
            streamBound(request).onCompleted(maxTokens(request), events, millis);
        } else {
            durationBound(request).onCompleted(millisPerToken(request, millis));
        }
    }

    /**
     * Records the duration of an interrupted answer, which would have lasted longer.
     *
     * @param events the number of its events, 0 if none had arrived
     * @param millis the time from its first event to its last, or from its sending if none had
     *     arrived
     */
    public void onInterrupted(ForwardRequest request, int events, long millis) {
        if (!isMeasuredByEvents(request)) {
            durationBound(request).onInterrupted(millisPerToken(request, millis));
        } else if (events > 0) {
            streamBound(request).onInterrupted(maxTokens(request), events, millis);
        }
    }

    /**
     * Returns the likely number of events of an answer, or the maximum if too few answers have been
     * seen; empty if it is not measured by events.
     *
     * @param events the number of events received so far
     */
    OptionalInt likelyEvents(ForwardRequest request, int events) {
        return isMeasuredByEvents(request)
                ? OptionalInt.of(streamBound(request).likelyEvents(maxTokens(request), events))
                : OptionalInt.empty();
    }

    /**
     * A stream that resumes after an event counts as a whole one, since the number of its remaining
     * events is unknown.
     */
    private double maxMillis(ForwardRequest request) {
        int maxTokens = maxTokens(request);
        OptionalDouble bound =
                isMeasuredByEvents(request)
                        ? streamBound(request).maxMillis(maxTokens)
                        : maxMillisOf(durationBound(request), maxTokens);
        return bound.orElse(
                maxTokens > 0
                        ? maxTokens * DEFAULT_MILLIS_PER_TOKEN
                        : request.route().timeoutMillis());
    }

    private static OptionalDouble maxMillisOf(RunDurationBound bound, int maxTokens) {
        OptionalDouble maxMillisPerToken = bound.upperBound();
        return maxMillisPerToken.isEmpty()
                ? maxMillisPerToken
                : OptionalDouble.of(maxMillisPerToken.getAsDouble() * Math.max(1, maxTokens));
    }

    /**
     * Answers without events are measured per token of their limit, or as a whole if they have
     * none.
     */
    private static double millisPerToken(ForwardRequest request, long millis) {
        return (double) millis / Math.max(1, maxTokens(request));
    }

    private static int maxTokens(ForwardRequest request) {
        return request.prompt().map(Prompt::maxOutputTokens).orElse(0);
    }

    private static boolean isMeasuredByEvents(ForwardRequest request) {
        return maxTokens(request) > 0 && request.route().kind() == RequestKind.STREAMING;
    }

    private StreamDurationBound streamBound(ForwardRequest request) {
        return mStreamBounds.computeIfAbsent(
                request.service(), service -> new StreamDurationBound());
    }

    private RunDurationBound durationBound(ForwardRequest request) {
        Map<String, RunDurationBound> bounds =
                maxTokens(request) > 0 ? mMillisPerTokenBounds : mRequestMillisBounds;
        return bounds.computeIfAbsent(request.service(), service -> new RunDurationBound());
    }
}
