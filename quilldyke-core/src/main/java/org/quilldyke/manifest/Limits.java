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
 * Limits on the size and duration of callers' requests.
 *
 * @param maxHeaderBytes the maximum size of a request's line and headers
 * @param maxBodyBytes the maximum size of a request's body
 * @param headerTimeoutMillis the time within which a request's headers must arrive
 * @param idleTimeoutMillis the time after which a connection without a request is closed
 */
public record Limits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Returns the limits that apply unless a manifest sets others. */
    public static Limits defaults() {
        return new Limits(16 << 10, 4 << 20, 3000, 15_000);
    }
}
