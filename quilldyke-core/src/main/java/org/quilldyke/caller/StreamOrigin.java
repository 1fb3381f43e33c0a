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
 * Which software version has begun a stream, so that only this version may continue it.
 *
 * @param attempt the caller's id of the attempt that brought the first event
 * @param organisation the organisation that sent it, empty without one
 * @param service the service that ran it
 * @param softwareVersion the version of the target that sent the first event
 * @param begunAt when that event was relayed
 */
public record StreamOrigin(
        String attempt, String organisation, String service, String softwareVersion, long begunAt) {
    /** A stream is not resumed later than this after its begin. */
    public static final long RETENTION_MILLIS = 60_000;

    /** Returns whether the stream may still be resumed. */
    public boolean isRetained(long now) {
        return now - begunAt < RETENTION_MILLIS;
    }
}
