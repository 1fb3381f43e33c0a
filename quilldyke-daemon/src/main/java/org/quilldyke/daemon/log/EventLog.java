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

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.tinylog.Logger;

/** Writes events, a line each: number, word, and fields as {@code key=value}. */
public final class EventLog {
    private static final int MAX_TEXT_CHARS = 200;

    private final String mInstance;
    private final Map<Event, LongAdder> mCounts = new EnumMap<>(Event.class);

    private EventLog(String instance) {
        mInstance = instance;
        for (Event event : Event.values()) {
            mCounts.put(event, new LongAdder());
        }
    }

    /** Returns the log of one instance. */
    public static EventLog of(String instance) {
        return new EventLog(instance);
    }

    /**
     * Writes an event.
     *
     * @param event what happened
     * @param fields names and values in turn
     */
    public void write(Event event, Object... fields) {
        mCounts.get(event).increment();
        switch (event.level()) {
            case DEBUG -> Logger.debug(() -> line(event, fields));
            case INFO -> Logger.info(() -> line(event, fields));
            case WARN -> Logger.warn(() -> line(event, fields));
            case ERROR -> Logger.error(() -> line(event, fields));
            default -> throw new AssertionError(event.level());
        }
    }

    /** Writes {@link Event#FAULT} with the exception's trace. */
    public void fault(Throwable e, String where) {
        mCounts.get(Event.FAULT).increment();
        Logger.error(e, line(Event.FAULT, "where", where));
    }

    /** Prevents text from other processes from ending a log line or making it too long. */
    public static String printable(String text) {
        String prefix =
                text.length() <= MAX_TEXT_CHARS ? text : text.substring(0, MAX_TEXT_CHARS) + "...";
        return prefix.replaceAll("\\p{Cntrl}", "?");
    }

    /** Returns how often an event was written. */
    public long count(Event event) {
        return mCounts.get(event).sum();
    }

    private String line(Event event, Object... fields) {
        StringBuilder line = new StringBuilder(128);
        line.append(event.label()).append(' ').append(event.verb());
        line.append(" instance=").append(mInstance);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(' ').append(fields[i]).append('=').append(quoted(fields[i + 1]));
        }
        return line.toString();
    }

    private static String quoted(Object value) {
        String text = String.valueOf(value);
        if (text.indexOf(' ') < 0 && !text.isEmpty() && text.indexOf('\n') < 0) {
            return text;
        }
        return '"' + text.replace('"', '\'').replace('\n', ' ') + '"';
    }
}
