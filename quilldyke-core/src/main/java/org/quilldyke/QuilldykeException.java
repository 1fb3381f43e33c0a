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

/**
 * The checked exception of all modules: a numbered code, the outcome of the request, and details.
 */
public final class QuilldykeException extends Exception {
    private final ResultCode mCode;
    private final Outcome mOutcome;
    private final long mRetryAfterMillis;

    private QuilldykeException(
            ResultCode code,
            Outcome outcome,
            String detail,
            long retryAfterMillis,
            Throwable cause) {
        super(code.label() + " " + code.meaning() + (detail.isEmpty() ? "" : ": " + detail), cause);
        mCode = code;
        mOutcome = outcome;
        mRetryAfterMillis = retryAfterMillis;
    }

    /** Returns an exception for a request that did not run. */
    public static QuilldykeException notRun(ResultCode code, String detail) {
        return new QuilldykeException(code, Outcome.NOT_RUN, detail, 0, null);
    }

    /**
     * Returns an exception for a request that did not run and may be retried after {@code
     * retryAfterMillis}.
     */
    public static QuilldykeException notRunRetryAfter(
            ResultCode code, String detail, long retryAfterMillis) {
        return new QuilldykeException(code, Outcome.NOT_RUN, detail, retryAfterMillis, null);
    }

    /** Returns an exception with an outcome. */
    public static QuilldykeException of(ResultCode code, Outcome outcome, String detail) {
        return new QuilldykeException(code, outcome, detail, 0, null);
    }

    /** Returns an exception with an outcome and a cause. */
    public static QuilldykeException of(
            ResultCode code, Outcome outcome, String detail, Throwable cause) {
        return new QuilldykeException(code, outcome, detail, 0, cause);
    }

    /** Returns the numbered code. */
    public ResultCode code() {
        return mCode;
    }

    /** Returns the outcome of the request. */
    public Outcome outcome() {
        return mOutcome;
    }

    /** Returns after how many milliseconds the caller may retry, 0 if unknown. */
    public long retryAfterMillis() {
        return mRetryAfterMillis;
    }
}
