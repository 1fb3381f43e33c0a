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

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.quilldyke.routing.Choice;
import org.quilldyke.routing.PacedChoice;
import org.quilldyke.routing.TargetBook;

/**
 * Where a stream under way goes on so that it ends before its instance has to.
 *
 * <p>Each target is asked for that once at most: one that took too long to begin held the events
 * up, and would again.
 */
final class TimelyEnd {
    private final ForwardRequest mRequest;
    private final TargetBook mBook;
    private final ShutdownAdmission mShutdown;
    private final Set<String> mAsked = new HashSet<>();
    private int mEvents;

    TimelyEnd(ForwardRequest request, TargetBook book, ShutdownAdmission shutdown) {
        mRequest = request;
        mBook = book;
        mShutdown = shutdown;
    }

    /** Notes that an event was passed on. */
    void onEventPassed() {
        mEvents++;
    }

    /** Notes that a target is asked to go on. */
    void onAsked(String target) {
        mAsked.add(target);
    }

    /**
     * Returns who has to be asked now; nothing if the stream stays where it is.
     *
     * @param present the target that makes the stream
     * @param barred those that may not go on with it
     */
    Optional<Choice> quicker(String present, Set<String> barred, long now) {
        long endsAt = mShutdown.endsAt();
        OptionalDouble pace = mBook.paceMillis(present, now);
        if (mRequest.answerBy() <= endsAt || pace.isEmpty()) {
            return Optional.empty();
        }
        StreamForecast forecast =
                StreamForecast.of(mostEventsLeft(), pace.getAsDouble(), mRequest.answerBy() - now);
        Set<String> excluded = new HashSet<>(barred);
        excluded.addAll(mAsked);
        return mBook.chooseQuickest(mRequest, excluded, forecast.eventsLeft(), now)
                .filter(other -> forecast.mustGoOn(other, endsAt, now))
                .map(PacedChoice::choice);
    }

    /** A stream that its caller had resumed is taken for a whole one: its rest isn't known. */
    private int mostEventsLeft() {
        return Math.max(0, mShutdown.mostEvents(mRequest).orElse(Integer.MAX_VALUE) - mEvents);
    }
}
