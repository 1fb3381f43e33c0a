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
 * Counts what targets say that can't be taken, by where it was said and why, and logs some of it: a
 * flood fills no disk and hides nothing else. Safe for use by several threads.
 */
public final class RefusalLog {
    private static final int MAX_LINES = 5;
    private static final long LINE_WINDOW_MILLIS = 1000;
    private static final int MAX_TEXT_CHARS = 200;

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
     * Returns an account without entries.
     *
     * @param metrics where {@code news-refused.SOURCE.CODE} and {@code calls-refused.CODE} are
     *     counted
     * @param log where events go
     * @param clock monotonic milliseconds
     */
    public static RefusalLog create(MetricRegistry metrics, EventLog log, LongSupplier clock) {
        return new RefusalLog(metrics, log, clock);
    }

    /** Returns whether a refusal concerns what a target says, and not an operator's call. */
    public static boolean isReportError(ResultCode code) {
        return REPORT_ERRORS.contains(code);
    }

    /**
     * Takes notice of one piece of news that was refused.
     *
     * @param source where it was said
     * @param sender who said it, as far as known
     * @param error the refusal
     */
    public void onRefused(Source source, String sender, QuilldykeException error) {
        onRefused(source, sender, error.code(), 1, String.valueOf(error.getMessage()));
    }

    /** Takes notice of events of a cache that were left out. */
    public void onEventsSkipped(String sender, int count) {
        ResultCode code = ResultCode.REPORT_EVENT;
        onRefused(Source.CACHE, sender, code, count, code.label() + ' ' + code.meaning());
    }

    /** Takes notice of a call that was refused for another reason; {@code event} tells of it. */
    public void onCallRefused(Event event, String path, QuilldykeException error) {
        String code = error.code().label();
        mMetrics.counter("calls-refused." + code).inc();
        OptionalLong suppressed = admitLine("call." + code);
        if (suppressed.isPresent()) {
            mLog.write(
                    event,
                    "path",
                    printable(path),
                    "code",
                    code,
                    "detail",
                    printable(String.valueOf(error.getMessage())),
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
                    printable(sender),
                    "code",
                    code.label(),
                    "count",
                    count,
                    "detail",
                    printable(detail),
                    "left_out",
                    suppressed.getAsLong());
        }
    }

    private synchronized OptionalLong admitLine(String kind) {
        return mLineLimit.admit(kind, mClock.getAsLong());
    }

    /** What others wrote shall neither end a line nor be one that has no end. */
    private static String printable(String text) {
        String prefix =
                text.length() <= MAX_TEXT_CHARS ? text : text.substring(0, MAX_TEXT_CHARS) + "...";
        return prefix.replaceAll("\\p{Cntrl}", "?");
    }

    /** Where something was said. */
    public enum Source {
        /** A target's report of itself. */
        REPORT,
        /** An engine's answer to the question for its status. */
        STATUS,
        /** An engine's answer to an order. */
        ORDER,
        /** Events of what an engine or a store keeps. */
        CACHE,
        /** What another instance passed on. */
        INSTANCE,
        /** What the process itself had stored. */
        MEMORY
    }
}
