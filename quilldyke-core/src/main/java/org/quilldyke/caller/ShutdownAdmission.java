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
import org.quilldyke.ResultCode;

/**
 * Which requests an instance still takes while it shuts down: those that end before it has to.
 *
 * <p>Until the balancer has noticed, callers still come, and the instance has a few seconds less
 * than a stream may last. A stream that it took and couldn't finish would be cut amid its answer;
 * one that is refused at once may be served by another instance. What a request lasts is learnt
 * from those that ended: streams by the tokens that they might have had, others by themselves. One
 * object for all requests of an instance, used by one thread.
 */
public final class ShutdownAdmission {
    private static final long RUNNING = Long.MAX_VALUE;

    /** A refused caller comes back at once: an instance that goes on serves it in time. */
    private static final long RETRY_MILLIS = 1;

    /**
     * What a token is taken to last as long as nothing is learnt: an engine's step that reads 4,096
     * tokens of a prompt at 57 a millisecond, and 8 ms for the rest.
     */
    private static final double UNKNOWN_TOKEN_MILLIS = 80;

    private final Map<String, RunTimes> mTokens = new HashMap<>();
    private final Map<String, RunTimes> mOthers = new HashMap<>();
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
        return !isShuttingDown()
                || request.answerBy() <= mEndsAt
                || now + firstEventMillis + mostMillis(request) <= mEndsAt;
    }

    /** Returns the refusal of a request that isn't taken. */
    public Step.Refuse refusal(long now) {
        return new Step.Refuse(
                ResultCode.SHUTTING_DOWN, RETRY_MILLIS, "ends in " + (mEndsAt - now) + " ms");
    }

    /**
     * Takes how long a whole answer lasted.
     *
     * @param millis from its first event, or from its sending if it is no stream, to its end
     */
    public void onEnded(ForwardRequest request, long millis) {
        if (request.lastEvent() >= 0) {
            // A part of an answer alone, which says of whole ones as much as one that broke off.
            onBrokenOff(request, millis);
        } else {
            times(request).onEnded(measure(request, millis));
        }
    }

    /** Takes how long an answer lasted until it broke off: it would have lasted longer. */
    public void onBrokenOff(ForwardRequest request, long millis) {
        times(request).onBrokenOff(measure(request, millis));
    }

    /** A stream that goes on after an event is taken for a whole one: its rest isn't known. */
    private double mostMillis(ForwardRequest request) {
        int maxTokens = maxTokens(request);
        OptionalDouble most = times(request).most();
        return maxTokens > 0
                ? maxTokens * most.orElse(UNKNOWN_TOKEN_MILLIS)
                : most.orElse(request.route().timeoutMillis());
    }

    /** Streams are measured by the tokens that they may have, others by themselves. */
    private static double measure(ForwardRequest request, long millis) {
        return (double) millis / Math.max(1, maxTokens(request));
    }

    private static int maxTokens(ForwardRequest request) {
        return request.prompt().map(Prompt::maxOutputTokens).orElse(0);
    }

    private RunTimes times(ForwardRequest request) {
        Map<String, RunTimes> all = maxTokens(request) > 0 ? mTokens : mOthers;
        return all.computeIfAbsent(request.service(), service -> new RunTimes());
    }
}
