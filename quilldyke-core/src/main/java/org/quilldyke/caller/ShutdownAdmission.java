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
 * Which requests an instance still takes while it shuts down: those that end before it has to.
 *
 * <p>Until the balancer has noticed, callers still come, and the instance has a few seconds less
 * than a stream may last. A stream that it took and couldn't finish would be cut amid its answer;
 * one that is refused at once may be served by another instance. What a request lasts is learnt
 * from those that ended: streams by their pace and the events that they might have had, since most
 * use a small part of their allowance; others by themselves. One object for all requests of an
 * instance, used by one thread.
 */
public final class ShutdownAdmission {
    private static final long NOT_SHUTTING_DOWN = Long.MAX_VALUE;

    /** A refused caller comes back at once: an instance that goes on serves it in time. */
    private static final long RETRY_AFTER_MILLIS = 1;

    /**
     * What a token is taken to last as long as nothing is learnt: an engine's step that reads 4,096
     * tokens of a prompt at 57 a millisecond, and 8 ms for the rest.
     */
    private static final double DEFAULT_MILLIS_PER_TOKEN = 80;

    private final Map<String, StreamDurationBound> mStreamBounds = new HashMap<>();
    private final Map<String, RunDurationBound> mTokenBounds = new HashMap<>();
    private final Map<String, RunDurationBound> mRequestBounds = new HashMap<>();
    private long mShutdownDeadline = NOT_SHUTTING_DOWN;

    private ShutdownAdmission() {}

    /** Returns the admission of an instance that runs, and takes everything. */
    public static ShutdownAdmission create() {
        return new ShutdownAdmission();
    }

    /** Notes that the instance shuts down and has to end at a given time. */
    public void onShutdown(long deadline) {
        mShutdownDeadline = deadline;
    }

    /** Returns whether the instance shuts down. */
    public boolean isShuttingDown() {
        return mShutdownDeadline != NOT_SHUTTING_DOWN;
    }

    /** Returns when the instance has to end; never if it doesn't shut down. */
    long shutdownDeadline() {
        return mShutdownDeadline;
    }

    /**
     * Returns whether a request is taken: its own time is over before the instance ends, or its
     * answer is expected to be.
     *
     * @param firstEventMillis when its first event is expected
     */
    public boolean admits(ForwardRequest request, long firstEventMillis, long now) {
        return !isShuttingDown()
                || request.deadline() <= mShutdownDeadline
                || now + firstEventMillis + maxMillis(request) <= mShutdownDeadline;
    }

    /** Returns the refusal of a request that isn't taken. */
    public Step.Refuse refusal(long now) {
        return new Step.Refuse(
                ResultCode.SHUTTING_DOWN,
                RETRY_AFTER_MILLIS,
                "ends in " + (mShutdownDeadline - now) + " ms");
    }

    /**
     * Takes how long a whole answer lasted.
     *
     * @param events how many events it had, 0 if it is no stream
     * @param millis from its first event, or from its sending if it is no stream, to its end
     */
    public void onCompleted(ForwardRequest request, int events, long millis) {
        if (isMeasuredByEvents(request) && events == 0) {
            // A whole answer where a stream was due says nothing of streams.
            return;
        }
        if (request.resumeAfterEvent() >= 0) {
            // A part of an answer alone, which says of whole ones as much as one that broke off.
            onInterrupted(request, events, millis);
        } else if (isMeasuredByEvents(request)) {
            streamBound(request).onCompleted(maxTokens(request), events, millis);
        } else {
            durationBound(request).onCompleted(perToken(request, millis));
        }
    }

    /**
     * Takes how long an answer lasted until it broke off: it would have lasted longer.
     *
     * @param events how many events it had, 0 if none had come
     * @param millis from its first event to its last, or from its sending if none had come
     */
    public void onInterrupted(ForwardRequest request, int events, long millis) {
        if (!isMeasuredByEvents(request)) {
            durationBound(request).onInterrupted(perToken(request, millis));
        } else if (events > 0) {
            streamBound(request).onInterrupted(maxTokens(request), events, millis);
        }
    }

    /**
     * Returns how many events an answer is likely to have, if that is known; where too few were
     * seen, how many it has at most.
     *
     * @param events how many it has had
     */
    OptionalInt likelyEvents(ForwardRequest request, int events) {
        return isMeasuredByEvents(request)
                ? OptionalInt.of(streamBound(request).likelyEvents(maxTokens(request), events))
                : OptionalInt.empty();
    }

    /** A stream that goes on after an event is taken for a whole one: its rest isn't known. */
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
        OptionalDouble maxPerToken = bound.upperBound();
        return maxPerToken.isEmpty()
                ? maxPerToken
                : OptionalDouble.of(maxPerToken.getAsDouble() * Math.max(1, maxTokens));
    }

    /** Answers without events are measured by the tokens that they may have, or by themselves. */
    private static double perToken(ForwardRequest request, long millis) {
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
                maxTokens(request) > 0 ? mTokenBounds : mRequestBounds;
        return bounds.computeIfAbsent(request.service(), service -> new RunDurationBound());
    }
}
