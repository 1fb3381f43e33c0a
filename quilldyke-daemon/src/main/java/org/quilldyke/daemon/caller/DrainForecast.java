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
package org.quilldyke.daemon.caller;

/**
 * Which requests an instance still takes while it shuts down: those that end before it has to.
 *
 * <p>What a token lasts is learnt from whole answers, by the tokens that they had. One object for
 * all traffic threads of an instance.
 */
public final class DrainForecast {
    private static final long RUNNING = Long.MAX_VALUE;

    /** Some minutes of one instance's answers; a slow engine is forgotten with them. */
    private static final int KEPT_ANSWERS = 256;

    /** Before so many whole answers were seen, nothing is taken as learnt. */
    private static final int ENOUGH_ANSWERS = 40;

    /** In shorter answers the wait for the first token counts for more than the others. */
    private static final int LEAST_TOKENS = 16;

    /** For engines that get slower still than the slowest of those kept. */
    private static final double MARGIN = 1.5;

    /**
     * What a token is taken to last as long as nothing is learnt: an engine's step that reads 4,096
     * tokens of a prompt at 57 a millisecond, and 8 ms for the rest.
     */
    private static final double UNKNOWN_TOKEN_MILLIS = 80;

    private final double[] mTokenMillis = new double[KEPT_ANSWERS];
    private int mKept;
    private long mEndsAt = RUNNING;

    private DrainForecast() {}

    /** Returns the forecast of an instance that runs, and takes everything. */
    public static DrainForecast create() {
        return new DrainForecast();
    }

    /** Notes that the instance shuts down and has to end at a given time. */
    public synchronized void onShutdown(long endsAt) {
        mEndsAt = endsAt;
    }

    /**
     * Returns whether a request is taken: its own time is over before the instance ends, or its
     * answer is expected to be.
     *
     * @param maxTokens the length of its answer at most
     * @param deadlineAt when its own time is over
     * @param now the present time
     */
    public synchronized boolean admits(int maxTokens, long deadlineAt, long now) {
        return mEndsAt == RUNNING
                || deadlineAt <= mEndsAt
                || now + maxTokens * tokenMillis() <= mEndsAt;
    }

    /** Takes how long a whole answer lasted, from the request on. */
    public synchronized void onAnswered(int tokens, long millis) {
        if (tokens >= LEAST_TOKENS) {
            mTokenMillis[mKept % KEPT_ANSWERS] = (double) millis / tokens;
            mKept++;
        }
    }

    private double tokenMillis() {
        if (mKept < ENOUGH_ANSWERS) {
            return UNKNOWN_TOKEN_MILLIS;
        }
        double slowest = 0;
        for (int i = 0; i < Math.min(mKept, KEPT_ANSWERS); i++) {
            slowest = Math.max(slowest, mTokenMillis[i]);
        }
        return slowest * MARGIN;
    }
}
