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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.quilldyke.QuilldykeException;
import org.quilldyke.engine.Departure;
import org.quilldyke.engine.ReportRules;
import org.quilldyke.engine.Suspension;
import org.quilldyke.engine.TargetRegistry;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.gateway.instance.proto.ModelWeights;
import org.quilldyke.gateway.instance.proto.Target;

/** Turns targets' reports into their form between instances, and back. */
public final class TargetFrames {
    private TargetFrames() {}

    /** Returns the form of a report that was made {@code ageMillis} ago. */
    public static Target encode(TargetReport report, long ageMillis) {
        Target.Builder out =
                Target.newBuilder()
                        .setId(report.key())
                        .setService(report.service())
                        .setAddress(report.address())
                        .setFailureDomain(report.failureDomain())
                        .setSoftwareVersion(report.softwareVersion())
                        .setSlots(report.slots())
                        .setLeaving(report.leaving())
                        .setColdMs((int) Math.min(Integer.MAX_VALUE, report.coldRemainingMillis()))
                        .setSequence(report.sequence())
                        .setAgeMs(Math.max(0, ageMillis));
        report.weights()
                .forEach(
                        (model, version) ->
                                out.addWeights(
                                        ModelWeights.newBuilder()
                                                .setModel(model)
                                                .setVersion(version)));
        return out.build();
    }

    /** Returns the form of a departure that was told {@code ageMillis} ago. */
    public static Target encode(Departure departure, long ageMillis) {
        Target.Builder out =
                Target.newBuilder()
                        .setId(departure.target())
                        .setStanding(Target.Standing.GONE)
                        .setAgeMs(Math.max(0, ageMillis));
        if (departure.lastSequence() != Departure.ALL_REPORTS) {
            out.setSequence(departure.lastSequence());
        }
        return out.build();
    }

    /** Returns the departure that was told, without a sequence for good. */
    public static Departure decodeDeparture(Target gone, long now) {
        long sequence = gone.getSequence() == 0 ? Departure.ALL_REPORTS : gone.getSequence();
        return new Departure(gone.getId(), sequence, now - gone.getAgeMs());
    }

    /** Returns the form of all that a registry knows of targets that leave, or may have left. */
    public static List<Target> encodeLeaves(TargetRegistry registry, long now) {
        List<Target> leaves = new ArrayList<>();
        for (Departure departure : registry.departures()) {
            leaves.add(encode(departure, now - departure.recordedAt()));
        }
        for (Suspension suspension : registry.suspensions()) {
            leaves.add(encode(suspension, now - suspension.leaveReceivedAt()));
        }
        return leaves;
    }

    /** Returns the form of a suspension that began {@code ageMillis} ago. */
    public static Target encode(Suspension suspension, long ageMillis) {
        return Target.newBuilder()
                .setId(suspension.target())
                .setStanding(Target.Standing.SUSPENDED)
                .setLeaving(suspension.coversSuccessor())
                .setAgeMs(Math.max(0, ageMillis))
                .build();
    }

    /** Returns the suspension that was told. */
    public static Suspension decodeSuspension(Target suspended, long now) {
        return new Suspension(
                suspended.getId(), now - suspended.getAgeMs(), suspended.getLeaving());
    }

    /** Returns the form of the news that a target is gone or was silent for too long. */
    public static Target encode(String id, Target.Standing standing) {
        return Target.newBuilder().setId(id).setStanding(standing).build();
    }

    /**
     * Returns the report of a live target.
     *
     * @throws QuilldykeException with the code of the first rule that the report breaks
     */
    public static TargetReport decode(Target target) throws QuilldykeException {
        Map<String, Long> weights = new HashMap<>();
        target.getWeightsList().forEach(w -> weights.put(w.getModel(), w.getVersion()));
        return ReportRules.validated(
                new TargetReport(
                        target.getId(),
                        target.getService(),
                        target.getAddress(),
                        target.getFailureDomain(),
                        target.getSoftwareVersion(),
                        target.getSlots(),
                        target.getLeaving(),
                        target.getColdMs(),
                        weights,
                        target.getSequence()));
    }
}
