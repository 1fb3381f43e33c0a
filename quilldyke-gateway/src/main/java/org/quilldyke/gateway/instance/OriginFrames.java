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
package org.quilldyke.gateway.instance;

import java.util.HashSet;
import java.util.List;
import org.quilldyke.caller.OriginEvidence;
import org.quilldyke.caller.OriginVerdict;
import org.quilldyke.caller.StreamOrigin;
import org.quilldyke.gateway.instance.proto.StreamOrigins;

/** Encodes and decodes the origins of streams for messages between instances. */
public final class OriginFrames {
    private OriginFrames() {}

    /** Encodes origins. */
    public static StreamOrigins encode(List<StreamOrigin> origins, long now) {
        StreamOrigins.Builder out = StreamOrigins.newBuilder();
        for (StreamOrigin origin : origins) {
            out.addOrigins(
                    org.quilldyke.gateway.instance.proto.StreamOrigin.newBuilder()
                            .setAttempt(origin.attempt())
                            .setOrganisation(origin.organisation())
                            .setService(origin.service())
                            .setSoftwareVersion(origin.softwareVersion())
                            .setAgeMs(Math.max(0, now - origin.begunAt())));
        }
        return out.build();
    }

    /** Decodes origins. */
    public static List<StreamOrigin> decode(StreamOrigins origins, long now) {
        return origins.getOriginsList().stream()
                .map(
                        origin ->
                                new StreamOrigin(
                                        origin.getAttempt(),
                                        origin.getOrganisation(),
                                        origin.getService(),
                                        origin.getSoftwareVersion(),
                                        now - origin.getAgeMs()))
                .toList();
    }

    /** Encodes a verdict for the inquiry with the given number. */
    public static org.quilldyke.gateway.instance.proto.OriginVerdict encode(
            long number, OriginVerdict verdict) {
        return org.quilldyke.gateway.instance.proto.OriginVerdict.newBuilder()
                .setNumber(number)
                .setSource(
                        switch (verdict.source()) {
                            case LOCAL, REPORTED ->
                                    org.quilldyke.gateway.instance.proto.OriginVerdict.Source
                                            .REPORTED;
                            case SOLE_VERSION ->
                                    org.quilldyke.gateway.instance.proto.OriginVerdict.Source
                                            .SOLE_VERSION;
                            case UNKNOWN ->
                                    org.quilldyke.gateway.instance.proto.OriginVerdict.Source
                                            .UNKNOWN;
                            case UNAVAILABLE ->
                                    org.quilldyke.gateway.instance.proto.OriginVerdict.Source
                                            .UNAVAILABLE;
                        })
                .setSoftwareVersion(verdict.softwareVersion())
                .setAgeMs(verdict.evidence().ageMillis())
                .addAllVersions(verdict.evidence().versions())
                .setIndex(verdict.evidence().index())
                .build();
    }

    /** Decodes a verdict. */
    public static OriginVerdict decode(org.quilldyke.gateway.instance.proto.OriginVerdict verdict) {
        OriginEvidence evidence =
                new OriginEvidence(
                        verdict.getAgeMs(),
                        new HashSet<>(verdict.getVersionsList()),
                        verdict.getIndex());
        return switch (verdict.getSource()) {
            case REPORTED ->
                    new OriginVerdict(
                            OriginVerdict.Source.REPORTED, verdict.getSoftwareVersion(), evidence);
            case SOLE_VERSION ->
                    new OriginVerdict(
                            OriginVerdict.Source.SOLE_VERSION,
                            verdict.getSoftwareVersion(),
                            evidence);
            case UNAVAILABLE -> OriginVerdict.unavailable();
            default -> OriginVerdict.unknown(evidence);
        };
    }
}
