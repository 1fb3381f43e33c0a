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
package org.quilldyke.gateway.engine;

/** A request that was handed over for sending, and whose answer is awaited or being read. */
public interface OpenAttempt {
    /** Cancels the attempt: its listener is called no more, and its connection is closed. */
    void cancel();

    /**
     * Ignores the rest of the answer; the listener is called no more. If the rest is short, the
     * connection can be used again after it, otherwise it is closed.
     */
    void ignoreRest();

    /** Pauses or resumes reading of the answer. */
    void setReading(boolean reading);
}
