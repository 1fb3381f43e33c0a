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
package org.quilldyke.tools.explain;

import java.time.LocalTime;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.quilldyke.daemon.log.Event;

/**
 * One event of a log, as {@code EventLog} writes it; whatever stands before its time is ignored.
 */
final class LogLine {
    private static final Pattern LINE =
            Pattern.compile("(\\d\\d:\\d\\d:\\d\\d\\.\\d{3}) [A-Z]+ (QD\\d{4}) \\S+(.*)");
    private static final Pattern FIELD = Pattern.compile("(\\w+)=(\"[^\"]*\"|\\S+)");
    private static final Map<String, Event> EVENTS = events();

    private final LocalTime mTime;
    private final Event mEvent;
    private final Map<String, String> mFields;

    private LogLine(LocalTime time, Event event, Map<String, String> fields) {
        mTime = time;
        mEvent = event;
        mFields = fields;
    }

    /** Returns the event that a line of text tells, if it tells one. */
    static Optional<LogLine> parse(String text) {
        Matcher line = LINE.matcher(text);
        if (!line.find() || !EVENTS.containsKey(line.group(2))) {
            return Optional.empty();
        }
        Map<String, String> fields = new HashMap<>();
        Matcher field = FIELD.matcher(line.group(3));
        while (field.find()) {
            fields.put(field.group(1), unquoted(field.group(2)));
        }
        LocalTime time = LocalTime.parse(line.group(1));
        return Optional.of(new LogLine(time, EVENTS.get(line.group(2)), fields));
    }

    /** Returns the time of day by the clock of the process that wrote the line. */
    LocalTime time() {
        return mTime;
    }

    Event event() {
        return mEvent;
    }

    /** Returns a field's value, empty if the line has no such field. */
    String field(String name) {
        return mFields.getOrDefault(name, "");
    }

    /** Returns a field's value, 0 if the line has no such number. */
    long number(String name) {
        String value = field(name);
        return value.matches("-?\\d{1,18}") ? Long.parseLong(value) : 0;
    }

    private static String unquoted(String value) {
        return value.startsWith("\"") ? value.substring(1, value.length() - 1) : value;
    }

    private static Map<String, Event> events() {
        Map<String, Event> events = new HashMap<>();
        for (Event event : Event.values()) {
            events.put(event.label(), event);
        }
        return events;
    }
}
