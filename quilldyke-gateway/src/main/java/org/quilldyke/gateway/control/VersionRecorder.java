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
package org.quilldyke.gateway.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.stream.Stream;
import org.quilldyke.caller.StreamOrigin;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.engine.ServedVersion;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.engine.VersionHistory;
import org.quilldyke.engine.VersionHistoryPlanner;
import org.quilldyke.engine.VersionStanding;
import org.quilldyke.manifest.FleetCommand;
import org.quilldyke.manifest.FleetResult;
import org.quilldyke.manifest.FleetState;

/** Proposes changes of the recorded software versions while this process leads, and logs them. */
final class VersionRecorder {
    private final BooleanSupplier mLeads;
    private final BooleanSupplier mIsCurrent;
    private final Function<FleetCommand, CompletableFuture<FleetResult>> mPropose;
    private final EventLog mLog;
    private final VersionHistoryPlanner mPlanner =
            VersionHistoryPlanner.create(StreamOrigin.RETENTION_MILLIS);
    private VersionHistory mLogged = VersionHistory.NONE;
    private boolean mProposing;

    /**
     * @param leads returns whether this process leads
     * @param isCurrent returns whether it has applied all that was committed; false after an
     *     election until it has committed an entry
     */
    VersionRecorder(
            BooleanSupplier leads,
            BooleanSupplier isCurrent,
            Function<FleetCommand, CompletableFuture<FleetResult>> propose,
            EventLog log) {
        mLeads = leads;
        mIsCurrent = isCurrent;
        mPropose = propose;
        mLog = log;
    }

    /** Proposes what has changed. */
    void tick(FleetState state, List<TargetReport> targets, long now) {
        if (!mLeads.getAsBoolean()) {
            mPlanner.reset();
            return;
        }
        if (!mIsCurrent.getAsBoolean()) {
            return;
        }
        VersionHistory history = state.versionHistory();
        // Without a manifest no request was ever served.
        List<TargetReport> served = state.hasManifest() ? targets : List.of();
        List<ServedVersion> changes = mPlanner.plan(history, served, now);
        boolean completes = !history.isComplete() && mPlanner.hasObservedResumableStreams(now);
        if (completes) {
            // A process that was of an earlier release has skipped what was recorded before.
            changes = Stream.concat(history.served().stream(), changes.stream()).toList();
        }
        // Any command completes a history that is applied before the first manifest.
        boolean begins = !history.isComplete() && !state.hasManifest();
        if (!mProposing && (begins || completes || !changes.isEmpty())) {
            mProposing = true;
            mPropose.apply(new FleetCommand.RecordVersions(changes, completes))
                    .whenComplete((result, e) -> mProposing = false);
        }
    }

    /** Logs the versions whose standing has changed. */
    void onState(FleetState state) {
        VersionHistory history = state.versionHistory();
        for (ServedVersion served : history.served()) {
            if (mLogged.standing(served.service(), served.version()) != served.standing()) {
                log(served, state);
            }
        }
        for (ServedVersion served : mLogged.served()) {
            ServedVersion removed =
                    new ServedVersion(served.service(), served.version(), VersionStanding.REMOVED);
            if (history.standing(served.service(), served.version()) == removed.standing()) {
                log(removed, state);
            }
        }
        mLogged = history;
    }

    private void log(ServedVersion served, FleetState state) {
        mLog.write(
                Event.VERSION_RECORDED,
                "service",
                served.service(),
                "software",
                served.version(),
                "standing",
                served.standing(),
                "complete",
                state.versionHistory().isComplete(),
                "index",
                state.lastChangeIndex());
    }
}
