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

import org.quilldyke.routing.TargetSelector;

/**
 * A report by the control group that a target has restarted, checked against the data that still
 * arrives on an answer that the target had started.
 *
 * <p>Such a report results from any process that registers under the id of a target with a later
 * start time, and may be wrong. A target that has ended sends nothing, apart from data that was
 * already in transit.
 *
 * @param receivedAt when the report was received
 */
public record RestartReport(long receivedAt) {
    /**
     * Time without data after which the report is accepted, and after which received data cannot
     * have been in transit when the report was received. It equals the time for which a target that
     * has sent data counts as responding.
     */
    static final long VERIFICATION_MILLIS = TargetSelector.RESPONDING_MILLIS;

    /**
     * Returns whether data that cannot have been in transit shows that the target continues its
     * answer. The report is then ignored, and the usual limit for unresponsive targets applies.
     *
     * @param lastDataAt when data was last received on this answer
     */
    public boolean isRefuted(long lastDataAt) {
        return lastDataAt - receivedAt >= VERIFICATION_MILLIS;
    }

    /**
     * Returns when the report is accepted if no more data is received.
     *
     * @param lastDataAt when data was last received on this answer
     */
    public long acceptedAt(long lastDataAt) {
        return Math.max(receivedAt, lastDataAt) + VERIFICATION_MILLIS;
    }
}
