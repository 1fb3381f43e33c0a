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
package org.quilldyke.engine;

/**
 * The effect of a leave notice without a start time, which may come from a target's current
 * incarnation or, delayed, from its predecessor. As long as the sender is uncertain, the current
 * incarnation gets no new requests.
 *
 * @param target the key of the incarnation, or the plain id if no incarnation is known
 * @param leaveReceivedAt when an instance first received the notice, in milliseconds of this
 *     instance's monotonic clock
 * @param coversSuccessor whether the notice may also come from the next incarnation, whose reports
 *     may arrive later: no incarnation was known, or the known one was unresponsive
 */
public record Suspension(String target, long leaveReceivedAt, boolean coversSuccessor) {
    /**
     * Messages are delayed by a few seconds at most; a target that is seen more than this after a
     * leave notice has not left.
     */
    static final long MAX_MESSAGE_DELAY_MILLIS = 10_000;

    /** Targets report about once a second; one whose last report is as recent as this is alive. */
    private static final long RECENT_REPORT_MILLIS = 3000;

    /**
     * One notice may arrive over several paths within this time; a later one of the same id is
     * another notice.
     */
    private static final long DUPLICATE_LEAVE_MILLIS = 1000;

    /** Returns the suspension by a leave notice of an id of which no incarnation is known. */
    static Suspension forUnknownId(String id, long leaveReceivedAt) {
        return new Suspension(id, leaveReceivedAt, true);
    }

    /**
     * Returns the suspension of a known incarnation by a leave notice of its id.
     *
     * @param target the key of the latest known incarnation
     * @param latestReportAt when its latest report was received, on the same clock as the leave
     *     notice
     */
    static Suspension forIncarnation(String target, long latestReportAt, long leaveReceivedAt) {
        return new Suspension(
                target, leaveReceivedAt, leaveReceivedAt - latestReportAt > RECENT_REPORT_MILLIS);
    }

    /** Returns the same suspension for a later incarnation that was seen at {@code seenAt}. */
    Suspension movedTo(Incarnation successor, long seenAt) {
        boolean wasUnresponsive =
                seenAt <= leaveReceivedAt && leaveReceivedAt - seenAt > RECENT_REPORT_MILLIS;
        return new Suspension(successor.key(), leaveReceivedAt, coversSuccessor && wasUnresponsive);
    }

    /** Returns the suspended incarnation. */
    public Incarnation incarnation() {
        return Incarnation.ofKey(target);
    }

    /** Returns whether a report seen at {@code seenAt} may have been made before the notice. */
    boolean mayPredateLeave(long seenAt) {
        return seenAt <= leaveReceivedAt + MAX_MESSAGE_DELAY_MILLIS;
    }

    /**
     * Returns whether this differs from a known suspension of the same id: it is that of a later
     * incarnation, covers the successor as well, or results from another notice.
     */
    boolean addsInformationTo(Suspension known) {
        boolean isLaterIncarnation =
                incarnation().startedAtMillis() > known.incarnation().startedAtMillis();
        boolean addsSuccessor =
                target.equals(known.target) && coversSuccessor && !known.coversSuccessor;
        return isLaterIncarnation
                || addsSuccessor
                || leaveReceivedAt - known.leaveReceivedAt > DUPLICATE_LEAVE_MILLIS;
    }
}
