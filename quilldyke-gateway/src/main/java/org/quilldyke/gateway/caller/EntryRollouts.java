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

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.gateway.instance.proto.CanaryFraction;
import org.quilldyke.rollout.EvidenceCollector;
import org.quilldyke.rollout.RequestEvidence;
import org.quilldyke.rollout.Rollout;
import org.quilldyke.rollout.RolloutEvidence;
import org.quilldyke.rollout.ServiceVersions;
import org.quilldyke.rollout.VersionRouting;

/** The rollouts that an entry follows, and its evidence. Used on the traffic thread only. */
public final class EntryRollouts {
    private final EntryContext mEntry;
    private final VersionRouting mVersions;
    private final EvidenceCollector mEvidence;

    /**
     * Returns the rollouts of an entry that knows none.
     *
     * @param run a random number that distinguishes the starts of the entry
     */
    EntryRollouts(EntryContext entry, long run) {
        mEntry = entry;
        mVersions = entry.targetSelector().versions();
        mEvidence = EvidenceCollector.create(run, this::onResponse);
    }

    /** Applies the latest rollout of a service, {@code ageMillis} after its order. */
    public void onRollout(ServiceVersions versions, long ageMillis) {
        if (!mVersions.onRollout(versions, ageMillis, mEntry.now())) {
            return;
        }
        mEvidence.onRollout(versions.rollout());
        mEntry.targetSelector().onVersionsChanged();
    }

    /** Applies a canary fraction that the leader has sent. */
    public void onCanaryFraction(CanaryFraction fraction) {
        mVersions.onCanaryFraction(
                fraction.getService(), fraction.getIndex(), fraction.getFraction(), mEntry.now());
    }

    /** Returns the present totals of the running rollouts by service. */
    public Map<String, RolloutEvidence> evidence() {
        Map<String, Long> ages = new HashMap<>();
        for (Rollout rollout : mVersions.rollouts()) {
            String service = rollout.service();
            ages.put(service, mVersions.ageMillis(service, mEntry.now()));
        }
        return ages.isEmpty() ? Map.of() : mEvidence.totals(ages);
    }

    void onReport(TargetReport report) {
        if (mVersions.permitsRollouts()) {
            mVersions.onVersionReported(report.service(), report.softwareVersion(), mEntry.now());
        }
    }

    /** Returns the evidence of a request; empty if no rollout of its service is running. */
    Optional<RequestEvidence> evidence(ForwardRequest request) {
        return mEvidence.open(
                request.service(),
                request.route().name(),
                request.route().latencyObjectiveMillis(),
                request.prompt().isPresent(),
                request.deadline());
    }

    /**
     * Returns the software version of a target if its service has a rollout or several versions.
     */
    Optional<String> loggedVersion(String service, String target) {
        return mVersions.rollout(service).isPresent() || mEntry.streams().isMixed(service)
                ? Optional.of(mEntry.targetSelector().softwareVersion(target))
                : Optional.empty();
    }

    private void onResponse(String service, String target, boolean canary, boolean bad, long now) {
        mEntry.metrics().onRolloutResponse(canary, bad);
        if (canary && mVersions.onCanaryResponse(service, target, bad, now)) {
            mEntry.log()
                    .write(
                            Event.CANARIES_PAUSED,
                            "service",
                            service,
                            "software",
                            mVersions.rollout(service).map(Rollout::version).orElse(""),
                            "target",
                            target);
        }
    }
}
