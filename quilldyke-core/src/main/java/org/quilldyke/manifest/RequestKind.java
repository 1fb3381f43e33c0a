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
package org.quilldyke.manifest;

/** The retry semantics of a route's requests. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT {
        @Override
        public boolean mayRunAgain(boolean resumable) {
            return true;
        }
    },
    /** May run at most once. */
    NON_IDEMPOTENT {
        @Override
        public boolean mayRunAgain(boolean resumable) {
            return false;
        }
    },
    /** Answered by a stream of events; may run again only if the stream is resumable. */
    STREAMING {
        @Override
        public boolean mayRunAgain(boolean resumable) {
            return resumable;
        }
    };

    /** Returns whether a request that may already have run may be sent to another target. */
    public abstract boolean mayRunAgain(boolean resumable);
}
