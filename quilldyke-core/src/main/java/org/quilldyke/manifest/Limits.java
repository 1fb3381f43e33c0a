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

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeaderBytes the size of a request's line and headers at most
 * @param maxBodyBytes the size of a request's body at most
 * @param headerTimeoutMillis within what time a request's headers must be here
 * @param idleTimeoutMillis how long a connection may be without a request
 */
public record Limits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Returns what holds as long as no manifest says otherwise. */
    public static Limits defaults() {
        return new Limits(16 << 10, 4 << 20, 3000, 15_000);
    }
}
