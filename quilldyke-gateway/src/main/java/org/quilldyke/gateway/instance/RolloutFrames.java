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

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.quilldyke.gateway.instance.proto.RolloutReport;
import org.quilldyke.gateway.instance.proto.ServiceRollout;
import org.quilldyke.rollout.Rollout;
import org.quilldyke.rollout.RolloutEvidence;
import org.quilldyke.rollout.RolloutPhase;
import org.quilldyke.rollout.ServiceVersions;
import org.quilldyke.rollout.VersionEvidence;

/** Encoding of rollouts and of what entries have observed of them. */
public final class RolloutFrames {
    private RolloutFrames() {}

    /** Encodes the latest rollout of a service. */
    public static ServiceRollout encode(ServiceVersions versions, long ageMillis) {
        Rollout rollout = versions.rollout();
        return ServiceRollout.newBuilder()
                .setService(rollout.service())
                .setVersion(rollout.version())
                .setDurationMs(rollout.durationMillis())
                .setIndex(rollout.index())
                .setPhase(ServiceRollout.Phase.forNumber(rollout.phase().ordinal()))
                .setAgeMs(ageMillis)
                .addAllRetired(versions.retired())
                .build();
    }

    /** Decodes the latest rollout of a service. */
    public static ServiceVersions decode(ServiceRollout frame) {
        Rollout rollout =
                new Rollout(
                        frame.getService(),
                        frame.getVersion(),
                        frame.getDurationMs(),
                        frame.getIndex(),
                        phase(frame.getPhase()));
        return new ServiceVersions(rollout, frame.getRetiredList());
    }

    /** Encodes what an entry has observed. */
    public static RolloutReport encode(String service, RolloutEvidence evidence) {
        RolloutReport.Builder out =
                RolloutReport.newBuilder()
                        .setService(service)
                        .setIndex(evidence.index())
                        .setRun(evidence.run())
                        .setAgeMs(evidence.ageMillis())
                        .setRequests(evidence.requests())
                        .setCanaries(evidence.canaries());
        for (VersionEvidence row : evidence.rows()) {
            out.addRows(
                    org.quilldyke.gateway.instance.proto.VersionEvidence.newBuilder()
                            .setRoute(row.route())
                            .setTarget(row.target())
                            .setCanary(row.canary())
                            .setAnswers(row.answers())
                            .setFailures(row.failures())
                            .setSlow(row.slow()));
        }
        return out.build();
    }

    /**
     * Encodes what an entry has observed of all services. The report of a service whose totals have
     * not changed stays the same, although the rollout is older, so that it isn't sent again.
     *
     * @param before the last reports
     */
    public static List<RolloutReport> update(
            List<RolloutReport> before, Map<String, RolloutEvidence> evidence) {
        List<RolloutReport> out = new ArrayList<>();
        evidence.forEach(
                (service, observed) -> {
                    RolloutReport next = encode(service, observed);
                    out.add(
                            before.stream()
                                    .filter(report -> isSameExceptAge(report, next))
                                    .findFirst()
                                    .orElse(next));
                });
        return out;
    }

    private static boolean isSameExceptAge(RolloutReport a, RolloutReport b) {
        return a.toBuilder().setAgeMs(b.getAgeMs()).build().equals(b);
    }

    /** Decodes what an entry has observed. */
    public static RolloutEvidence decode(RolloutReport frame) {
        List<VersionEvidence> rows =
                frame.getRowsList().stream()
                        .map(
                                row ->
                                        new VersionEvidence(
                                                row.getRoute(),
                                                row.getTarget(),
                                                row.getCanary(),
                                                row.getAnswers(),
                                                row.getFailures(),
                                                row.getSlow()))
                        .toList();
        return new RolloutEvidence(
                frame.getIndex(),
                frame.getRun(),
                frame.getAgeMs(),
                frame.getRequests(),
                frame.getCanaries(),
                rows);
    }

    /**
     * A phase that this version doesn't know ends the rollout here: the new version gets nothing.
     */
    private static RolloutPhase phase(ServiceRollout.Phase phase) {
        return switch (phase) {
            case CANARY -> RolloutPhase.CANARY;
            case SHIFTING -> RolloutPhase.SHIFTING;
            case COMPLETED -> RolloutPhase.COMPLETED;
            default -> RolloutPhase.REVERTED;
        };
    }
}
