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
 * A leave that told no birth, and may be that of a target's present incarnation or the late one of
 * its predecessor. Until it is known whose it was, the present one takes no new requests.
 *
 * @param target the key of the incarnation, the plain id if it isn't known which one there is
 * @param leaveReceivedAt when the leave was told, in milliseconds of this instance's monotonic
 *     clock
 * @param coversSuccessor whether the next incarnation may have left, too: its reports may come
 *     after its leave, and the one before it was silent when the leave came
 */
public record Suspension(String target, long leaveReceivedAt, boolean coversSuccessor) {
    /** Words of targets come late by seconds: who is heard after this is sure to live. */
    static final long MAX_MESSAGE_DELAY_MILLIS = 10_000;

    /** Targets report themselves every second or so: one that did so this lately lived. */
    private static final long RECENT_REPORT_MILLIS = 3000;

    /** One word is told over several ways; another leave of the same id comes later than that. */
    private static final long DUPLICATE_LEAVE_MILLIS = 1000;

    /** Returns the suspension by a leave of whoever has an id where none is known. */
    static Suspension forUnknownId(String id, long leaveReceivedAt) {
        return new Suspension(id, leaveReceivedAt, true);
    }

    /** Returns the suspension by a leave of whoever has an id where an incarnation is known. */
    static Suspension forIncarnation(String target, long latestReportAt, long leaveReceivedAt) {
        return new Suspension(
                target, leaveReceivedAt, leaveReceivedAt - latestReportAt > RECENT_REPORT_MILLIS);
    }

    /** Returns the same suspension of an incarnation that was told of later. */
    Suspension movedTo(Incarnation successor, long seenAt) {
        boolean wasSilent =
                seenAt <= leaveReceivedAt && leaveReceivedAt - seenAt > RECENT_REPORT_MILLIS;
        return new Suspension(successor.key(), leaveReceivedAt, coversSuccessor && wasSilent);
    }

    /** Returns which incarnation is meant. */
    public Incarnation incarnation() {
        return Incarnation.ofKey(target);
    }

    /** Returns whether a report that was heard at a time may have been made before the leave. */
    boolean mayPredateLeave(long seenAt) {
        return seenAt <= leaveReceivedAt + MAX_MESSAGE_DELAY_MILLIS;
    }

    /** Returns whether this tells something that another one of the same id doesn't. */
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
