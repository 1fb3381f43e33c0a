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

import java.util.Optional;
import org.quilldyke.daemon.log.Event;

/** How an event is told in an account. */
enum Phrase {
    ROUTED(Event.ROUTED, Subject.REQUEST) {
        @Override
        String tell(LogLine line) {
            if (line.field("weights").equals("-1")) {
                return "sent to %s%s, %s ms left"
                        .formatted(line.field("target"), software(line), line.field("left_ms"));
            }
            String fetched = line.field("fetched_from");
            return ("sent to %s%s (weights %s), which keeps %s of its tokens and must read %s%s; "
                            + "first event expected in %s ms (next best %s: %s ms), %s ms left")
                    .formatted(
                            line.field("target"),
                            software(line),
                            line.field("weights"),
                            line.field("cached"),
                            line.field("missing"),
                            fetched.isEmpty() ? "" : ", with parts from " + fetched,
                            line.field("predicted_ms"),
                            line.field("runner_up").isEmpty() ? "none" : line.field("runner_up"),
                            line.field("runner_up_ms"),
                            line.field("left_ms"));
        }

        /** Only lines of services with a rollout name the software version. */
        private String software(LogLine line) {
            String version = line.field("software");
            return version.isEmpty() ? "" : " (software " + version + ")";
        }
    },
    ATTEMPT_FAILED(Event.ATTEMPT_FAILED, Subject.REQUEST) {
        @Override
        String tell(LogLine line) {
            return "the attempt at %s ended: %s (%s)"
                    .formatted(line.field("target"), line.field("outcome"), line.field("why"));
        }
    },
    REFUSED(Event.REFUSED, Subject.REQUEST) {
        @Override
        String tell(LogLine line) {
            return "the caller was told %s after %s ms: %s"
                    .formatted(line.field("code"), line.field("ms"), line.field("why"));
        }
    },
    ANSWERED(Event.ANSWERED, Subject.REQUEST) {
        @Override
        String tell(LogLine line) {
            String whole =
                    "answered whole by %s with status %s, %s ms after it came"
                            .formatted(
                                    line.field("target"), line.field("status"), line.field("ms"));
            return line.number("first_event_ms") < 0 ? whole : whole + "; " + events(line);
        }

        private String events(LogLine line) {
            return "first event %s ms after the sending (%s expected), longest pause %s ms"
                    .formatted(
                            line.field("first_event_ms"),
                            line.field("predicted_ms"),
                            line.field("pause_ms"));
        }
    },
    CALLER_GONE(Event.CALLER_GONE, Subject.REQUEST) {
        @Override
        String tell(LogLine line) {
            return "the caller left after %s ms".formatted(line.field("after"));
        }
    },
    ANSWER_CUT(Event.ANSWER_CUT, Subject.REQUEST) {
        @Override
        String tell(LogLine line) {
            return ("the answer was cut after event %s by %s: %s was left %s ms before, last heard"
                            + " %s ms earlier; %s of %s runs, %s second attempts left, shutdown %s")
                    .formatted(
                            line.field("events"),
                            line.field("by"),
                            line.field("target"),
                            line.field("left_before_ms"),
                            line.field("heard_ms"),
                            line.field("runs"),
                            line.field("max_runs"),
                            line.field("retries_left"),
                            line.field("drain_ms"));
        }
    },
    TARGET_LAPSED(Event.TARGET_LAPSED, Subject.TARGET) {
        @Override
        String tell(LogLine line) {
            return line.field("target") + " had not reported for too long";
        }
    },
    TARGET_LEAVES(Event.TARGET_LEAVES, Subject.ID) {
        @Override
        String tell(LogLine line) {
            String ready = line.field("ready");
            return "%s left (%s); still ready under its id: %s"
                    .formatted(
                            line.field("target"),
                            line.field("became"),
                            ready.isEmpty() || ready.equals("[]") ? "none" : ready);
        }
    },
    WATCH_LOST(Event.WATCH_LOST, Subject.TARGET) {
        @Override
        String tell(LogLine line) {
            return line.field("holder") + " did not answer the process that watches its cache";
        }
    },
    ORDER_SENT(Event.ORDER_SENT, Subject.TARGET) {
        @Override
        String tell(LogLine line) {
            return "%s was ordered to load weights %s"
                    .formatted(line.field("target"), line.field("version"));
        }
    },
    WEIGHTS_LOADED(Event.WEIGHTS_LOADED, Subject.TARGET) {
        @Override
        String tell(LogLine line) {
            return "%s held weights %s".formatted(line.field("target"), line.field("version"));
        }
    },
    LEADER_WON(Event.LEADER_WON, Subject.CONTROL) {
        @Override
        String tell(LogLine line) {
            return "this control process became leader (term %s)".formatted(line.field("term"));
        }
    },
    LEADER_LOST(Event.LEADER_LOST, Subject.CONTROL) {
        @Override
        String tell(LogLine line) {
            return "this control process was leader no longer";
        }
    },
    STARTED(Event.STARTED, Subject.INSTANCE) {
        @Override
        String tell(LogLine line) {
            return "the process started";
        }
    },
    SHUTTING_DOWN(Event.SHUTTING_DOWN, Subject.INSTANCE) {
        @Override
        String tell(LogLine line) {
            return "the process began to shut down";
        }
    },
    CONTROL_LOST(Event.CONTROL_LOST, Subject.INSTANCE) {
        @Override
        String tell(LogLine line) {
            return "lost control process %s (%s)"
                    .formatted(line.field("control"), line.field("why"));
        }
    },
    UNCONFIRMED(Event.UNCONFIRMED, Subject.INSTANCE) {
        @Override
        String tell(LogLine line) {
            return "could not confirm keys any more";
        }
    },
    CONFIRMED(Event.CONFIRMED, Subject.INSTANCE) {
        @Override
        String tell(LogLine line) {
            return "its configuration was confirmed as the newest";
        }
    };

    private final Event mEvent;
    private final Subject mSubject;

    Phrase(Event event, Subject subject) {
        mEvent = event;
        mSubject = subject;
    }

    /** Returns how a line is told; nothing for events that explain no request. */
    static Optional<Phrase> of(LogLine line) {
        for (Phrase phrase : values()) {
            if (phrase.mEvent == line.event()) {
                return Optional.of(phrase);
            }
        }
        return Optional.empty();
    }

    /** Returns the line in plain words. */
    abstract String tell(LogLine line);

    /** Returns what the line is about. */
    Subject subject() {
        return mSubject;
    }

    /** What an event is about. */
    enum Subject {
        /** One request, named by its id. */
        REQUEST,
        /** One target. */
        TARGET,
        /** Whichever incarnation of a target has an id. */
        ID,
        /** The control processes as a group. */
        CONTROL,
        /** The process that wrote the line. */
        INSTANCE
    }
}
