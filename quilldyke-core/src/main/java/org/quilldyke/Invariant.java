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
package org.quilldyke;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Invariant checks that stay enabled in production.
 *
 * <p>A violated invariant rejects only the current request or message, with {@link
 * ResultCode#INVARIANT_BROKEN}; the caller logs it, and {@link #brokenCount} is exported as a
 * metric.
 */
public final class Invariant {
    private static final AtomicLong BROKEN = new AtomicLong();

    private Invariant() {}

    /**
     * Checks that {@code holds} is true.
     *
     * @param holds the condition
     * @param expectation the condition in words, for the log
     * @throws QuilldykeException if the condition is false
     */
    public static void check(boolean holds, String expectation) throws QuilldykeException {
        if (!holds) {
            BROKEN.incrementAndGet();
            throw QuilldykeException.of(ResultCode.INVARIANT_BROKEN, Outcome.UNKNOWN, expectation);
        }
    }

    /** Returns the number of checks that have failed in this process. */
    public static long brokenCount() {
        return BROKEN.get();
    }
}
