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
final class EventBound {
    /** More tokens than this in an event are taken for an answer that used a part of its own. */
    private static final int MOST_TOKENS = 8;

    /** So many answers near their allowance aren't by chance the longest of many short ones. */
    private static final int ENOUGH_RUNS = 3;

    /** How many answers bounded the tokens of an event by the index. */
    private final int[] mRuns = new int[MOST_TOKENS + 2];

    /**
     * Takes an answer, or what came of one.
     *
     * @param maxTokens how many tokens it might have had
     * @param events how many events it had
     */
    void onSeen(int maxTokens, int events) {
        if (events < 2) {
            return;
        }
        int tokens = Math.max(1, (maxTokens - 1) / (events - 1));
        if (tokens <= MOST_TOKENS) {
            mRuns[tokens]++;
        }
    }

    /** Returns how many events an answer with the given allowance has at most. */
    int mostEvents(int maxTokens) {
        int tokens = eventTokens();
        return (maxTokens + tokens - 1) / tokens;
    }

    private int eventTokens() {
        for (int tokens = 1; tokens <= MOST_TOKENS; tokens++) {
            if (mRuns[tokens] > 0) {
                return mRuns[tokens] + mRuns[tokens + 1] >= ENOUGH_RUNS ? tokens : 1;
            }
        }
        return 1;
    }
}
