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
package org.quilldyke.gateway.engine;

import com.codahale.metrics.MetricRegistry;
import java.util.EnumSet;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.daemon.log.LineLimit;

/**
 * Counts invalid reports and answers of targets and other refused calls by source and reason, and
 * logs them at a limited rate: a flood neither fills the disk nor hides other events. Safe for use
 * by several threads.
 */
public final class RefusalLog {
    private static final int MAX_LINES = 5;
    private static final long LINE_WINDOW_MILLIS = 1000;

    private static final Set<ResultCode> REPORT_ERRORS =
            EnumSet.of(
                    ResultCode.REPORT_INVALID,
                    ResultCode.REPORT_UNREADABLE,
                    ResultCode.REPORT_RANGE,
                    ResultCode.REPORT_ADDRESS,
                    ResultCode.REPORT_STATE,
                    ResultCode.REPORT_SERVICE,
                    ResultCode.REPORT_ID,
                    ResultCode.REPORT_EVENT);

    private final MetricRegistry mMetrics;
    private final EventLog mLog;
    private final LongSupplier mClock;
    private final LineLimit mLineLimit = LineLimit.of(MAX_LINES, LINE_WINDOW_MILLIS);

    private RefusalLog(MetricRegistry metrics, EventLog log, LongSupplier clock) {
        mMetrics = metrics;
        mLog = log;
        mClock = clock;
    }

    /**
     * Returns a log without refusals.
     *
     * @param metrics where {@code news-refused.SOURCE.CODE} and {@code calls-refused.CODE} are
     *     counted
     * @param log receives events
     * @param clock monotonic milliseconds
     */
    public static RefusalLog create(MetricRegistry metrics, EventLog log, LongSupplier clock) {
        return new RefusalLog(metrics, log, clock);
    }

    /** Returns whether a code stands for an invalid report of a target, not an operator's call. */
    public static boolean isReportError(ResultCode code) {
        return REPORT_ERRORS.contains(code);
    }

    /**
     * Records an invalid report or answer.
     *
     * @param source the kind of message
     * @param sender the sender, as far as known
     * @param error the reason
     */
    public void onRefused(Source source, String sender, QuilldykeException error) {
        onRefused(source, sender, error.code(), 1, String.valueOf(error.getMessage()));
    }

    /** Records cache events that were skipped. */
    public void onEventsSkipped(String sender, int count) {
        ResultCode code = ResultCode.REPORT_EVENT;
        onRefused(Source.CACHE, sender, code, count, code.label() + ' ' + code.meaning());
    }

    /** Records a call that was refused for another reason, logged as {@code event}. */
    public void onCallRefused(Event event, String path, QuilldykeException error) {
        String code = error.code().label();
        mMetrics.counter("calls-refused." + code).inc();
        OptionalLong suppressed = admitLine("call." + code);
        if (suppressed.isPresent()) {
            mLog.write(
                    event,
                    "path",
                    EventLog.printable(path),
                    "code",
                    code,
                    "detail",
                    EventLog.printable(String.valueOf(error.getMessage())),
                    "left_out",
                    suppressed.getAsLong());
        }
    }

    private void onRefused(
            Source source, String sender, ResultCode code, int count, String detail) {
        String name = source.name().toLowerCase(Locale.ROOT);
        mMetrics.counter("news-refused." + name + '.' + code.label()).inc(count);
        OptionalLong suppressed = admitLine(name + '.' + code.label());
        if (suppressed.isPresent()) {
            mLog.write(
                    Event.NEWS_REFUSED,
                    "source",
                    name,
                    "from",
                    EventLog.printable(sender),
                    "code",
                    code.label(),
                    "count",
                    count,
                    "detail",
                    EventLog.printable(detail),
                    "left_out",
                    suppressed.getAsLong());
        }
    }

    private synchronized OptionalLong admitLine(String kind) {
        return mLineLimit.admit(kind, mClock.getAsLong());
    }

    /** The kind of message that was refused. */
    public enum Source {
        /** A target's report on itself. */
        REPORT,
        /** An engine's answer to a status request. */
        STATUS,
        /** An engine's answer to an order. */
        ORDER,
        /** Cache events of an engine or a store. */
        CACHE,
        /** A message that another instance forwarded. */
        INSTANCE,
        /** A record that the process itself had stored. */
        MEMORY
    }
}
