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
 * How many events an answer of one service may have at most, by its allowed tokens.
 *
 * <p>Each event but the last bears the same whole number of tokens, which nobody tells. An answer
 * bounds it from above: its events can't bear more than its allowance. Only answers that use most
 * of theirs tell the number itself; until a few have, each token is taken for an event.
 */
final class EventCountBound {
    /**
     * More tokens than this in an event are taken for an answer that used a part of its own:
     * today's sites have four and five. Where four are true, seven bound an answer by 1.75 times
     * too little.
     */
    private static final int MAX_TOKENS_PER_EVENT = 7;

    /**
     * So many answers near their allowance are believed: of forty, whose lengths are spread as
     * {@link RunDurationBound} has it, nine in ten times two or more use 120 events of 191.
     */
    private static final int MIN_SAMPLES = 2;

    private int mTokensPerEvent = MAX_TOKENS_PER_EVENT;
    private int mSamples;

    /**
     * Takes an answer, or what came of one.
     *
     * @param maxTokens how many tokens it might have had
     * @param events how many events it had
     */
    void onAnswer(int maxTokens, int events) {
        if (events < 2) {
            return;
        }
        int tokensPerEvent = Math.max(1, (maxTokens - 1) / (events - 1));
        if (tokensPerEvent <= MAX_TOKENS_PER_EVENT) {
            mTokensPerEvent = Math.min(mTokensPerEvent, tokensPerEvent);
            mSamples++;
        }
    }

    /** Returns how many events an answer with the given allowance has at most. */
    int maxEvents(int maxTokens) {
        int tokensPerEvent = mSamples < MIN_SAMPLES ? 1 : mTokensPerEvent;
        return (maxTokens + tokensPerEvent - 1) / tokensPerEvent;
    }
}
