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

import java.util.OptionalLong;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.daemon.log.LineLimit;
import org.quilldyke.gateway.engine.TargetConnectionPool;

/** Applies and logs what happens on an entry's connections to targets. */
final class ConnectionObserver implements TargetConnectionPool.Listener {
    private static final int MAX_SKIPPED_ANSWER_LINES = 5;
    private static final long LINE_WINDOW_MILLIS = 1000;
    private static final String SKIPPED_ANSWER = "skipped-answer";

    private final EntryContext mEntry;
    private final LineLimit mLineLimit = LineLimit.of(MAX_SKIPPED_ANSWER_LINES, LINE_WINDOW_MILLIS);

    ConnectionObserver(EntryContext entry) {
        mEntry = entry;
    }

    @Override
    public void onInternalError(Throwable fault) {
        mEntry.log().fault(fault, "while reading from a target");
    }

    @Override
    public void onFreeConnections(String target, int free) {
        mEntry.targetSelector().onFreeConnections(target, free);
    }

    @Override
    public void onConnected(String target, long millis) {
        mEntry.targetSelector().onConnected(target, millis, mEntry.now());
    }

    @Override
    public void onConnectionRefused(String target) {
        mEntry.crashDetector().onTargetDown(target);
    }

    @Override
    public void onIncarnationChecked(boolean isKnown) {
        mEntry.metrics().onIncarnationChecked(isKnown);
    }

    @Override
    public void onAnswerSkipped(String target, String answerId, String requestId) {
        mEntry.metrics().onAnswerSkipped();
        OptionalLong suppressed = mLineLimit.admit(SKIPPED_ANSWER, mEntry.now());
        if (suppressed.isPresent()) {
            mEntry.log()
                    .write(
                            Event.ANSWER_SKIPPED,
                            "request",
                            requestId,
                            "target",
                            target,
                            "answer_id",
                            EventLog.printable(answerId),
                            "left_out",
                            suppressed.getAsLong());
        }
    }
}
