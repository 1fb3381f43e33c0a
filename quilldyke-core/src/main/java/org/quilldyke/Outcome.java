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

/** The outcome of a request, as reported to its caller. */
public enum Outcome {
    /** No byte of the request reached a target, or the target refused it without running it. */
    NOT_RUN("not-run") {
        @Override
        public boolean mayRetry(boolean repeatable) {
            return true;
        }
    },
    /** A target ran the request, at least in part. */
    RAN("ran") {
        @Override
        public boolean mayRetry(boolean repeatable) {
            return repeatable;
        }
    },
    /** Bytes were sent, but it is unknown whether the target ran the request. */
    UNKNOWN("unknown") {
        @Override
        public boolean mayRetry(boolean repeatable) {
            return repeatable;
        }
    };

    private final String mLabel;

    Outcome(String label) {
        mLabel = label;
    }

    /**
     * Returns the form used in headers and bodies: {@code not-run}, {@code ran}, {@code unknown}.
     */
    public String label() {
        return mLabel;
    }

    /**
     * Returns the outcome of a request after two attempts: it ran if either attempt ran, and it is
     * known not to have run only if neither attempt may have.
     */
    public Outcome combinedWith(Outcome other) {
        if (this == RAN || other == RAN) {
            return RAN;
        }
        return this == UNKNOWN || other == UNKNOWN ? UNKNOWN : NOT_RUN;
    }

    /**
     * Returns whether another attempt is allowed after this outcome.
     *
     * @param repeatable whether the caller allows more than one run
     */
    public abstract boolean mayRetry(boolean repeatable);
}
