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

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import org.quilldyke.routing.Choice;
import org.quilldyke.routing.SuccessorChoice;
import org.quilldyke.routing.TargetSelector;

/**
 * Chooses where a started stream continues so that it ends before the shutdown deadline of its
 * instance.
 *
 * <p>A target that did not start in time has delayed the events and would do so again, so it is not
 * asked again. A target that refused the stream without running it may be asked again later.
 */
final class ShutdownMigration {
    private final ForwardRequest mRequest;
    private final TargetSelector mTargets;
    private final ShutdownAdmission mShutdown;
    private final Set<String> mAsked = new HashSet<>();
    private final Map<String, Refusals> mRefusals = new HashMap<>();
    private int mRelayedEvents;

    ShutdownMigration(ForwardRequest request, TargetSelector targets, ShutdownAdmission shutdown) {
        mRequest = request;
        mTargets = targets;
        mShutdown = shutdown;
    }

    void onEventRelayed() {
        mRelayedEvents++;
    }

    /** Records that a target is asked to continue the stream. */
    void onAsked(String target) {
        mAsked.add(target);
    }

    /**
     * Records that a target has refused the stream without running it. It may have capacity soon,
     * and the stream is aborted if no target has, so the target is asked again with growing delays.
     */
    void onRefused(String target, long now) {
        mAsked.remove(target);
        mRefusals.merge(target, Refusals.first(now), (known, first) -> known.next(now));
    }

    /**
     * Returns the target that has to be asked now; empty if the stream stays.
     *
     * @param current the target that sends the stream
     * @param ineligible the targets that must not continue it
     */
    Optional<Choice> fasterTarget(String current, Set<String> ineligible, long now) {
        long deadline = mShutdown.shutdownDeadline();
        OptionalDouble intervalMillis = mTargets.eventIntervalMillis(current, now);
        if (mRequest.deadline() <= deadline || intervalMillis.isEmpty()) {
            return Optional.empty();
        }
        StreamForecast forecast = forecast(intervalMillis.getAsDouble(), now);
        Set<String> excluded = new HashSet<>(ineligible);
        excluded.addAll(mAsked);
        mRefusals.forEach(
                (target, refusals) -> {
                    if (now < refusals.retryAt()) {
                        excluded.add(target);
                    }
                });
        return mTargets.chooseSuccessor(mRequest, excluded, forecast.eventsLeft(), now)
                .filter(other -> forecast.mustMove(other, deadline, now))
                .map(SuccessorChoice::choice);
    }

    /**
     * A stream that its caller had resumed counts as a whole one, since the number of its remaining
     * events is unknown.
     */
    private StreamForecast forecast(double intervalMillis, long now) {
        OptionalInt likely = mShutdown.likelyEvents(mRequest, mRelayedEvents);
        return likely.isPresent()
                ? StreamForecast.of(likely.getAsInt() - mRelayedEvents, intervalMillis)
                : StreamForecast.untilDeadline(mRequest.deadline() - now, intervalMillis);
    }

    /**
     * The refusals of a stream by one target.
     *
     * @param count the number of refusals
     * @param retryAt when the target may be asked again
     */
    private record Refusals(int count, long retryAt) {
        /**
         * A full queue advances within this time. Since the delay doubles with each refusal, a
         * stream asks one target at most five times in the 7.8 s of a shutdown; each request uses
         * one retry of the budget.
         */
        private static final long FIRST_RETRY_DELAY_MILLIS = 200;

        static Refusals first(long now) {
            return new Refusals(1, now + FIRST_RETRY_DELAY_MILLIS);
        }

        Refusals next(long now) {
            return new Refusals(count + 1, now + (FIRST_RETRY_DELAY_MILLIS << count));
        }
    }
}
