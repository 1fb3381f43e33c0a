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

import java.util.Set;

/**
 * What is known about the origin of a stream, for the log.
 *
 * @param ageMillis the time since the stream began; {@link #UNKNOWN} if it wasn't recorded
 * @param versions the recorded versions of the service
 * @param index the log index as of which the versions were read; {@link #UNKNOWN} if they don't
 *     matter
 */
public record OriginEvidence(long ageMillis, Set<String> versions, long index) {
    /** Stands for an unknown time or index. */
    public static final long UNKNOWN = -1;

    /** Nothing is known. */
    public static final OriginEvidence NONE = new OriginEvidence(UNKNOWN, Set.of(), UNKNOWN);

    /** Copies the versions. */
    public OriginEvidence {
        versions = Set.copyOf(versions);
    }

    /** Returns the evidence of a recorded stream. */
    public static OriginEvidence ofRecord(StreamOrigin origin, long now) {
        return new OriginEvidence(Math.max(0, now - origin.begunAt()), Set.of(), UNKNOWN);
    }

    /** Returns the evidence of the versions that were recorded at an index of the log. */
    public static OriginEvidence ofVersions(Set<String> versions, long index) {
        return new OriginEvidence(UNKNOWN, versions, index);
    }
}
