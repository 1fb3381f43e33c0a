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
package org.quilldyke.gateway.caller;

/**
 * The configuration that is applied to a request, for its log lines.
 *
 * @param version the manifest's version, -1 if none is known
 * @param logIndex the index in the replicated log at which it was accepted, -1 if none is known
 * @param confirmationAgeMillis time since the request was sent whose answer last confirmed the
 *     configuration, -1 if it was never confirmed
 * @param confirmedBy the address of the control process that confirmed it, empty if none has
 */
record ConfigurationStatus(
        long version, long logIndex, long confirmationAgeMillis, String confirmedBy) {}
