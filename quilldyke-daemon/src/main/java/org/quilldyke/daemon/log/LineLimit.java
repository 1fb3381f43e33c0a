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
package org.quilldyke.daemon.log;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Bounds how many lines of a kind are written within a span of time; the next line that is written
 * tells how many were left out. There shall be few kinds: none is forgotten.
 */
public final class LineLimit {
    private final int mLines;
    private final long mMillis;
    private final Map<String, Span> mSpans = new HashMap<>();

    private LineLimit(int lines, long millis) {
        mLines = lines;
        mMillis = millis;
    }

    /** Returns a limit of {@code lines} of each kind within {@code millis}. */
    public static LineLimit of(int lines, long millis) {
        return new LineLimit(lines, millis);
    }

    /**
     * Takes notice of a line.
     *
     * @param kind what the line is about
     * @param now monotonic milliseconds
     * @return how many lines of the kind were left out since its last one, if this one is to be
     *     written; empty if it is left out too
     */
    public OptionalLong admit(String kind, long now) {
        Span span = mSpans.computeIfAbsent(kind, k -> new Span(now));
        if (now - span.mStart >= mMillis) {
            span.mStart = now;
            span.mWritten = 0;
        }
        if (span.mWritten >= mLines) {
            span.mLeftOut++;
            return OptionalLong.empty();
        }
        span.mWritten++;
        long leftOut = span.mLeftOut;
        span.mLeftOut = 0;
        return OptionalLong.of(leftOut);
    }

    private static final class Span {
        long mStart;
        int mWritten;
        long mLeftOut;

        Span(long start) {
            mStart = start;
        }
    }
}
