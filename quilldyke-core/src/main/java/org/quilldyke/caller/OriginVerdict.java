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
 * Which software version may continue a stream that its caller resumes.
 *
 * @param source how the version was determined
 * @param softwareVersion the version; empty if it is unknown
 * @param evidence what the verdict is based on
 */
public record OriginVerdict(Source source, String softwareVersion, OriginEvidence evidence) {
    /** How the version that began a stream was determined. */
    public enum Source {
        /** This instance relayed the first event. */
        LOCAL,
        /** The instance that relayed the first event has reported it. */
        REPORTED,
        /** Only one version has served the service while the stream can have begun. */
        SOLE_VERSION,
        /** Several versions can have begun it; the stream must not be continued. */
        UNKNOWN,
        /** No control process could read the record; the stream must not be continued now. */
        UNAVAILABLE {
            @Override
            public long retryAfterMillis() {
                return UNAVAILABLE_RETRY_MILLIS;
            }
        };

        /** The instance that began the stream may report it within this time. */
        private static final long UNKNOWN_RETRY_MILLIS = 300;

        /** Control processes elect a leader within about this time. */
        private static final long UNAVAILABLE_RETRY_MILLIS = 800;

        /** Returns when a caller whose stream can't be continued may try again. */
        public long retryAfterMillis() {
            return UNKNOWN_RETRY_MILLIS;
        }
    }

    /** Returns the verdict on a stream whose version is unknown. */
    public static OriginVerdict unknown(OriginEvidence evidence) {
        return new OriginVerdict(Source.UNKNOWN, "", evidence);
    }

    /** Returns the verdict while no control process can read the record. */
    public static OriginVerdict unavailable() {
        return new OriginVerdict(Source.UNAVAILABLE, "", OriginEvidence.NONE);
    }

    /** Returns the verdict on a stream that was recorded, by this instance or another one. */
    public static OriginVerdict ofRecord(Source source, StreamOrigin origin, long now) {
        return new OriginVerdict(
                source, origin.softwareVersion(), OriginEvidence.ofRecord(origin, now));
    }

    /** Returns whether the version is known. */
    public boolean isKnown() {
        return source != Source.UNKNOWN && source != Source.UNAVAILABLE;
    }
}
