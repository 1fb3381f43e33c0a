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
 * Where a stream under way goes on so that it ends before its instance has to.
 *
 * <p>A target that took too long to begin held the events up and would again: it isn't asked once
 * more. One that refused the stream unrun is.
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

    /** Notes that an event was passed on. */
    void onEventRelayed() {
        mRelayedEvents++;
    }

    /** Notes that a target is asked to go on. */
    void onAsked(String target) {
        mAsked.add(target);
    }

    /**
     * Notes that a target that was asked has refused the stream unrun. It may have room in a
     * moment, and the stream is cut if nobody has: it is asked again, at growing distances.
     */
    void onRefused(String target, long now) {
        mAsked.remove(target);
        mRefusals.merge(target, Refusals.first(now), (known, first) -> known.next(now));
    }

    /**
     * Returns who has to be asked now; nothing if the stream stays where it is.
     *
     * @param current the target that makes the stream
     * @param ineligible those that may not go on with it
     */
    Optional<Choice> fasterTarget(String current, Set<String> ineligible, long now) {
        long deadline = mShutdown.shutdownDeadline();
        OptionalDouble pace = mTargets.eventIntervalMillis(current, now);
        if (mRequest.deadline() <= deadline || pace.isEmpty()) {
            return Optional.empty();
        }
        StreamForecast forecast = forecast(pace.getAsDouble(), now);
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

    /** A stream that its caller had resumed is taken for a whole one: its rest isn't known. */
    private StreamForecast forecast(double paceMillis, long now) {
        OptionalInt likely = mShutdown.likelyEvents(mRequest, mRelayedEvents);
        return likely.isPresent()
                ? StreamForecast.of(likely.getAsInt() - mRelayedEvents, paceMillis)
                : StreamForecast.untilDeadline(mRequest.deadline() - now, paceMillis);
    }

    /**
     * How often a target has refused the stream.
     *
     * @param count how many times
     * @param retryAt when it may be asked again
     */
    private record Refusals(int count, long retryAt) {
        /**
         * A line that was full moves on within this time; doubled with each refusal, a stream asks
         * one target five times in the 7.8 s of a shutdown, each for a second attempt.
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
