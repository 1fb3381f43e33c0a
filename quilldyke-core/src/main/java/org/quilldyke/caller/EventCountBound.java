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

/**
 * Upper bound for the number of events in an answer of one service, given its token limit.
 *
 * <p>Each event but the last has the same number of tokens, which is not transmitted. An upper
 * bound for it follows from each answer, whose events cannot have more tokens than its limit. That
 * bound is close only if the answer uses most of its limit; until a few such answers have been
 * seen, one token per event is assumed.
 */
final class EventCountBound {
    /**
     * An answer with more tokens per event than this is assumed to have ended well below its limit
     * and is ignored. Sites use 4 or 5 tokens per event; if 7 is accepted where a site uses 4, the
     * bound for the number of events is too low by a factor of 1.75.
     */
    private static final int MAX_TOKENS_PER_EVENT = 7;

    /**
     * Number of answers near their limit before the estimate is used: of 40 answers with the
     * distribution of lengths in {@link RunDurationBound}, at least two have 120 or more of the
     * maximum of 191 events in 9 of 10 cases.
     */
    private static final int MIN_SAMPLES = 2;

    private int mTokensPerEvent = MAX_TOKENS_PER_EVENT;
    private int mSampleCount;

    /**
     * Records an answer, complete or not.
     *
     * @param maxTokens its token limit
     * @param events the number of its events
     */
    void onAnswer(int maxTokens, int events) {
        if (events < 2) {
            return;
        }
        // The last event has at least one token.
        int tokensPerEvent = Math.max(1, (maxTokens - 1) / (events - 1));
        if (tokensPerEvent <= MAX_TOKENS_PER_EVENT) {
            mTokensPerEvent = Math.min(mTokensPerEvent, tokensPerEvent);
            mSampleCount++;
        }
    }

    /** Returns the maximum number of events in an answer with the given token limit. */
    int maxEvents(int maxTokens) {
        int tokensPerEvent = mSampleCount < MIN_SAMPLES ? 1 : mTokensPerEvent;
        return (maxTokens + tokensPerEvent - 1) / tokensPerEvent;
    }
}
