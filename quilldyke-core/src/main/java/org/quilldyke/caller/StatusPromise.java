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

/** What the HTTP status of an answer promises to the caller of the request. */
public enum StatusPromise {
    /** The request was not run and never will be, so that any request may be sent again. */
    NOT_RUN {
        @Override
        boolean isKept(int runCount) {
            return runCount == 0;
        }
    },
    /** Nothing: the request may have run. */
    NONE {
        @Override
        boolean isKept(int runCount) {
            return true;
        }
    };

    /** Returns what a status promises. */
    static StatusPromise of(int status) {
        return switch (status) {
            case 408, 421, 429, 503 -> NOT_RUN;
            default -> NONE;
        };
    }

    /**
     * Returns whether the promise is kept.
     *
     * @param runCount the number of targets that run, have run or may have run the request
     */
    abstract boolean isKept(int runCount);
}
