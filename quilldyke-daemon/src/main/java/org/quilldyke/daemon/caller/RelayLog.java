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
package org.quilldyke.daemon.caller;

import org.quilldyke.QuilldykeException;
import org.quilldyke.caller.AttemptState;
import org.quilldyke.caller.CutCause;
import org.quilldyke.caller.StreamCursor;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.routing.CellView;
import org.quilldyke.engine.TargetRecord;
import org.quilldyke.routing.Decision;

/** The lines of one run: enough to defend each choice later. */
final class RelayLog {
    private final TrafficContext mContext;
    private final EngineRequest mRequest;
    private final StreamCursor mCursor;

    private RelayLog(TrafficContext context, EngineRequest request, StreamCursor cursor) {
        mContext = context;
        mRequest = request;
        mCursor = cursor;
    }

    /** Returns the log of a run. */
    static RelayLog of(TrafficContext context, EngineRequest request, StreamCursor cursor) {
        return new RelayLog(context, request, cursor);
    }

    /** Writes that a target was chosen, and why. */
    void routed(Decision d, int attempt) {
        mContext.log()
                .write(
                        Event.ROUTED,
                        "request",
                        mCursor.request(),
                        "attempt",
                        attempt,
                        "org",
                        mRequest.organisation(),
                        "service",
                        d.target().service(),
                        "target",
                        d.target().id(),
                        "reason",
                        d.reason(),
                        "tokens",
                        d.units(),
                        "cached",
                        d.cachedUnits(),
                        "queue_ms",
                        d.queueMillis(),
                        "predicted_ms",
                        d.predictedMillis(),
                        "runner_up",
                        d.runnerUp(),
                        "runner_up_ms",
                        d.runnerUpMillis(),
                        "candidates",
                        d.candidates());
    }

    /** Writes that the present attempt failed. */
    void failed(TargetRecord target, AttemptState state, String why) {
        mContext.log()
                .write(
                        Event.ATTEMPT_FAILED,
                        "request",
                        mCursor.request(),
                        "attempt",
                        mCursor.attempt(),
                        "target",
                        target.id(),
                        "state",
                        state,
                        "cause",
                        why);
    }

    /** Writes that a broken stream goes on at its engine. */
    void continued(TargetRecord target, String why) {
        mContext.log()
                .write(
                        Event.STREAM_CONTINUED,
                        "request",
                        mCursor.request(),
                        "target",
                        target.id(),
                        "position",
                        mCursor.nextPosition(),
                        "cause",
                        why);
    }

    /** Writes that the answer is cut in its middle, and whose decision that was. */
    void cut(
            CutCause cause, QuilldykeException e, TargetRecord target, long begunAt, long heardAt) {
        long now = mContext.clock().getAsLong();
        CellView view = mContext.view().get();
        mContext.log()
                .write(
                        Event.ANSWER_CUT,
                        "request",
                        mCursor.request(),
                        "code",
                        e.code().label(),
                        "by",
                        cause.label(),
                        "events",
                        mCursor.nextPosition(),
                        "target",
                        target.id(),
                        "known",
                        view.find(target.id()) != null,
                        "heard_ms",
                        now - heardAt,
                        "ms",
                        now - begunAt,
                        "runs",
                        mCursor.attemptsStarted(),
                        "max_runs",
                        mContext.site().limits().attempts(),
                        "repeatable",
                        mRequest.repeatable(),
                        "version",
                        view.configuration().version(),
                        "leaving",
                        view.leaving(),
                        "left_ms",
                        mRequest.deadlineAt() == Long.MAX_VALUE
                                ? "none"
                                : mRequest.deadlineAt() - now);
    }
}
