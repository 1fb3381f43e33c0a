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
package org.quilldyke.daemon;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.quilldyke.Outcome;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.caller.RequestGate;
import org.quilldyke.daemon.control.ControlClient;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.daemon.settings.Site;

/**
 * The end of an instance in which every request gets an answer, a refusal, or a word that it may
 * have run.
 *
 * @param traffic the servers that owe answers
 * @param control has commands under way, such as the ends of claims
 * @param timings how long each step may take
 * @param clock monotonic milliseconds
 * @param log where the steps go
 */
record GracefulShutdown(
        TrafficServers traffic,
        ControlClient control,
        Site.Timings timings,
        LongSupplier clock,
        EventLog log) {
    /** How often open requests are counted, in milliseconds; short beside any step. */
    private static final long POLL_MILLIS = 20;

    /**
     * How long the answers of cut requests may take to be sent and their claims to be closed, in
     * milliseconds: a round of the control group takes some tens.
     */
    private static final long CUT_MILLIS = 1000;

    /**
     * How long a request may take to come that was on its way when the listener closed, in
     * milliseconds: some round trips over a slow network.
     */
    private static final long LAST_CALL_MILLIS = 1000;

    /**
     * Runs all steps but the closing of the sockets.
     *
     * @param leave tells balancers and other instances
     * @return what was left open
     */
    Result run(Runnable leave) {
        long startedAt = clock.getAsLong();
        log.write(
                Event.SHUTTING_DOWN,
                "open",
                traffic.owed().size(),
                "grace_ms",
                timings.readyGrace(),
                "drain_ms",
                timings.drain());
        traffic.endsAt(startedAt + timings.readyGrace() + timings.drain());
        traffic.enter(RequestGate.Phase.LEAVING);
        leave.run();
        pause(timings.readyGrace());
        traffic.enter(RequestGate.Phase.REFUSING);
        awaitFor(timings.drain(), this::isDrained);
        int cut = traffic.cutOpen();
        awaitFor(CUT_MILLIS, this::isDrained);
        int unsent = tellUnsent();
        traffic.enter(RequestGate.Phase.ENDING);
        traffic.closeListener();
        pause(POLL_MILLIS);
        awaitFor(LAST_CALL_MILLIS, () -> !traffic.isRequestComing() && isDrained());
        return new Result(cut, unsent, clock.getAsLong() - startedAt);
    }

    private boolean isDrained() {
        return control.pending() == 0 && traffic.owed().isEmpty();
    }

    /** Writes a line for each answer that its caller hasn't taken, and returns their number. */
    private int tellUnsent() {
        List<String> callers = traffic.owed();
        for (String caller : callers) {
            log.write(
                    Event.REFUSED,
                    "caller",
                    caller,
                    "code",
                    ResultCode.CUT_BY_SHUTDOWN.label(),
                    "outcome",
                    Outcome.UNKNOWN.label(),
                    "detail",
                    "the caller has not taken the whole answer");
        }
        return callers.size();
    }

    private void awaitFor(long millis, BooleanSupplier condition) {
        long until = clock.getAsLong() + millis;
        while (!condition.getAsBoolean() && clock.getAsLong() < until) {
            pause(POLL_MILLIS);
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * What was left open.
     *
     * @param cut requests that were ended before their answers
     * @param unsent answers that their callers hadn't taken
     * @param millis how long it took
     */
    record Result(int cut, int unsent, long millis) {
        /** Returns whether nothing was. */
        boolean isDrained() {
            return cut == 0 && unsent == 0;
        }
    }
}
