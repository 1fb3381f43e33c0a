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

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.quilldyke.ResultCode;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.Forwarding;
import org.quilldyke.caller.OriginVerdict;
import org.quilldyke.caller.Prompt;
import org.quilldyke.caller.Step;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.routing.CacheKeys;
import org.quilldyke.routing.Choice;
import org.quilldyke.routing.ReportOrigin;
import org.quilldyke.routing.ServiceReachability;
import org.quilldyke.routing.TargetLocation;
import org.quilldyke.routing.TargetSelector;

/** Writes the log lines of one request: where it was sent and why, and its outcome. */
final class ExchangeLog {
    private static final int MAX_LOGGED_PARTS = 16;

    private final EventLog mLog;

    ExchangeLog(EventLog log) {
        mLog = log;
    }

    /** A target was chosen; logs the data that the choice is based on. */
    void routed(ForwardRequest request, Step.Send send, EntryContext entry, long now) {
        Object[] decision =
                routedFields(
                        request, send, entry.targetSelector(), entry.configurationStatus(), now);
        Object[] fields =
                send.choice().borrowsPermit() ? with(decision, "permit", "borrowed") : decision;
        Optional<String> version =
                entry.rollouts().loggedVersion(request.service(), send.choice().target());
        mLog.write(
                Event.ROUTED, version.map(name -> with(fields, "software", name)).orElse(fields));
    }

    private static List<String> partLabels(Prompt prompt) {
        return prompt.sharedParts().stream()
                .limit(MAX_LOGGED_PARTS)
                .map(part -> Long.toHexString(part.id()))
                .toList();
    }

    /** Returns the names and values of a routing decision; the region only if there are several. */
    static Object[] routedFields(
            ForwardRequest request,
            Step.Send send,
            TargetSelector targetSelector,
            ConfigurationStatus configuration,
            long now) {
        Choice choice = send.choice();
        ReportOrigin reportOrigin = targetSelector.reportOrigin(choice.target());
        Optional<String> region =
                targetSelector.location(choice.target()).flatMap(TargetLocation::region);
        Object[] fields = {
            "request",
            request.id(),
            "fingerprint",
            request.fingerprint().label(),
            "route",
            request.route().name(),
            "target",
            choice.target(),
            "weights",
            choice.weights(),
            "subject",
            request.prompt()
                    .map(prompt -> Long.toHexString(CacheKeys.sharedPrefixKey(prompt)))
                    .orElse(""),
            "parts",
            request.prompt().map(ExchangeLog::partLabels).orElse(List.of()),
            "shared",
            request.prompt().map(Prompt::sharedTokens).orElse(0),
            "cached",
            choice.cachedTokens(),
            "missing",
            choice.missingTokens(),
            "output_tokens",
            request.prompt().map(Prompt::maxOutputTokens).orElse(0),
            "fetched_from",
            choice.cacheSource(),
            "kept_at",
            choice.cacheTarget(),
            "predicted_ms",
            choice.expectedMillis(),
            "runner_up",
            choice.runnerUp(),
            "runner_up_ms",
            choice.runnerUpMillis(),
            "left_ms",
            send.millisLeft(),
            "told_by",
            reportOrigin.reporter(),
            "heard_before_ms",
            reportOrigin.ageMillis(now),
            "version",
            configuration.version(),
            "index",
            configuration.logIndex(),
            "confirmed_ms",
            configuration.confirmationAgeMillis(),
            "confirmed_by",
            configuration.confirmedBy()
        };
        return region.map(name -> with(fields, "region", name)).orElse(fields);
    }

    private static Object[] with(Object[] fields, String name, String value) {
        Object[] all = Arrays.copyOf(fields, fields.length + 2);
        all[fields.length] = name;
        all[fields.length + 1] = value;
        return all;
    }

    /** A caller resumes a stream; logs which software version may continue it, and why. */
    void resumed(ForwardRequest request, String stream, OriginVerdict verdict) {
        mLog.write(
                Event.STREAM_RESUMED,
                "request",
                request.id(),
                "stream",
                stream,
                "after",
                request.resumeAfterEvent(),
                "software",
                verdict.softwareVersion(),
                "source",
                verdict.source(),
                "age_ms",
                verdict.evidence().ageMillis(),
                "versions",
                verdict.evidence().versions(),
                "index",
                verdict.evidence().index());
    }

    void attemptFailed(String request, Choice choice, String outcome, String reason) {
        mLog.write(
                Event.ATTEMPT_FAILED,
                "request",
                request,
                "target",
                choice.target(),
                "outcome",
                outcome,
                "why",
                reason);
    }

    /**
     * An answer was relayed completely.
     *
     * @param request the request's id
     * @param status the status of the target's answer
     * @param choice the target that answered
     * @param firstEventMillis from the last attempt to the first event, -1 if it isn't a stream
     * @param longestPauseMillis the longest time between two events
     * @param lastEvent the number of the last event, -1 for none
     * @param millis from the request's arrival to the end
     */
    void answered(
            String request,
            int status,
            Choice choice,
            long firstEventMillis,
            long longestPauseMillis,
            long lastEvent,
            long millis) {
        mLog.write(
                Event.ANSWERED,
                "request",
                request,
                "status",
                status,
                "target",
                choice.target(),
                "first_event_ms",
                firstEventMillis,
                "predicted_ms",
                choice.expectedMillis(),
                "pause_ms",
                longestPauseMillis,
                "last_event",
                lastEvent,
                "ms",
                millis);
    }

    /** The request was refused or failed; {@code choice} is null if nothing was chosen. */
    void failed(
            String request,
            ResultCode code,
            String reason,
            Choice choice,
            ConfigurationStatus configuration,
            long millis) {
        mLog.write(
                Event.REFUSED,
                "request",
                request,
                "code",
                code.label(),
                "why",
                reason,
                "target",
                choice == null ? "" : choice.target(),
                "ms",
                millis,
                "version",
                configuration.version(),
                "index",
                configuration.logIndex(),
                "confirmed_ms",
                configuration.confirmationAgeMillis(),
                "confirmed_by",
                configuration.confirmedBy());
    }

    /** A request was refused since no target of its service could be used. */
    void noTarget(ForwardRequest request, ServiceReachability targets) {
        mLog.write(
                Event.NO_TARGET,
                "request",
                request.id(),
                "service",
                request.service(),
                "targets",
                targets.known(),
                "reported",
                targets.reported(),
                "responding",
                targets.responding());
    }

    /**
     * An answer was cut: its connection to the caller was closed before it was complete.
     *
     * @param request the request
     * @param cut the decision
     * @param abandoned the run that was abandoned last
     * @param state the state that the decision is based on
     */
    void cut(ForwardRequest request, Step.Abort cut, AbandonedRun abandoned, CutState state) {
        mLog.write(
                Event.ANSWER_CUT,
                "request",
                request.id(),
                "code",
                cut.code().label(),
                "by",
                cut.cause().label(),
                "events",
                state.lastEvent(),
                "target",
                abandoned.target(),
                "heard_ms",
                abandoned.millisWithoutData(),
                "left_before_ms",
                state.now() - abandoned.abandonedAt(),
                "runs",
                state.runs(),
                "max_runs",
                request.route().maxRuns(),
                "retries_left",
                (long) Math.floor(state.retriesLeft()),
                "key_age_ms",
                state.confirmationAgeMillis(),
                "version_begun",
                state.versionAtStart(),
                "version",
                state.version(),
                "drain_ms",
                state.drainMillis().isEmpty() ? "none" : state.drainMillis().getAsLong(),
                "left_ms",
                request.deadline() - state.now());
    }

    void callerDisconnected(String request, long millis) {
        mLog.write(Event.CALLER_GONE, "request", request, "after", millis);
    }

    /**
     * A run whose answer is no longer relayed, whether or not the run had completed.
     *
     * @param target its target
     * @param millisWithoutData time since its last data, when it was abandoned
     * @param abandonedAt when it was abandoned
     */
    record AbandonedRun(String target, long millisWithoutData, long abandonedAt) {}

    /**
     * The state in which an answer was cut.
     *
     * @param now the time of the cut
     * @param lastEvent the number of the last event that was relayed
     * @param runs the number of targets at which the request may have run
     * @param retriesLeft the retries left in the service's budget
     * @param confirmationAgeMillis time since the configuration was confirmed
     * @param versionAtStart the version of the configuration when the request arrived
     * @param version the version of the configuration at the cut
     * @param drainMillis time since the start of the shutdown; empty if there is none
     */
    record CutState(
            long now,
            long lastEvent,
            int runs,
            double retriesLeft,
            long confirmationAgeMillis,
            long versionAtStart,
            long version,
            OptionalLong drainMillis) {
        static CutState of(
                EntryContext entry,
                Forwarding forwarding,
                ForwardRequest request,
                long versionAtStart) {
            return new CutState(
                    entry.now(),
                    forwarding.lastRelayedEvent(),
                    forwarding.runCount(),
                    entry.retryBudget().available(request.service(), entry.now()),
                    entry.confirmationAgeMillis(),
                    versionAtStart,
                    entry.configurationVersion(),
                    entry.drainMillis());
        }
    }
}
