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
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.engine.Incarnation;

/** What the logs of several processes tell of one request, in order, and what they don't tell. */
public final class Account {
    /**
     * What happened this long before a request came may explain its fate: a target that falls
     * silent is noticed within some four seconds.
     */
    private static final long BEFORE_SECONDS = 5;

    /** Clocks of machines are this close to each other, and some lines are written late. */
    private static final long AFTER_MILLIS = 200;

    private static final String LEFT_OUT = "log lines were left out";

    private final List<Sentence> mSentences;
    private final List<String> mMissing;

    private Account(List<Sentence> sentences, List<String> missing) {
        mSentences = List.copyOf(sentences);
        mMissing = List.copyOf(missing);
    }

    /**
     * Returns the account of a request.
     *
     * @param request the id that its caller sent
     * @param text all lines of the logs, in any order
     */
    public static Account of(String request, List<String> text) {
        List<LogLine> lines = text.stream().map(LogLine::parse).flatMap(Optional::stream).toList();
        List<LogLine> own = lines.stream().filter(l -> l.field("request").equals(request)).toList();
        List<Sentence> sentences = new ArrayList<>();
        if (!own.isEmpty()) {
            Scope scope = Scope.of(own);
            lines.stream()
                    .sorted(Comparator.comparing(LogLine::time))
                    .filter(line -> scope.covers(line, request))
                    .forEach(line -> sentences.add(Sentence.of(line)));
        }
        return new Account(sentences, missing(own, lines, text));
    }

    /** Returns what is known, the oldest first. */
    public List<Sentence> sentences() {
        return mSentences;
    }

    /** Returns what these logs can't tell, in plain words. */
    public List<String> missing() {
        return mMissing;
    }

    private static List<String> missing(List<LogLine> own, List<LogLine> lines, List<String> text) {
        List<String> missing = new ArrayList<>();
        if (own.isEmpty()) {
            missing.add("no line bears this id: another entry took it, or another log holds it");
        } else if (own.stream().noneMatch(line -> isEnd(line.event()))) {
            missing.add("its end: the process ended first, or the log stops before it");
        }
        if (lines.stream().noneMatch(line -> isControl(line.event()))) {
            missing.add("what the control processes saw: none of their logs is here");
        }
        text.stream()
                .filter(line -> line.contains(LEFT_OUT))
                .forEach(line -> missing.add("lines that the output could not take: " + line));
        return missing;
    }

    private static boolean isEnd(Event event) {
        return event == Event.ANSWERED || event == Event.REFUSED || event == Event.CALLER_GONE;
    }

    private static boolean isControl(Event event) {
        return event == Event.IDENTITY
                || event == Event.LEADER_WON
                || event == Event.MEMBERSHIP
                || event == Event.MANIFEST_ACCEPTED
                || event == Event.WEIGHTS_NAMED
                || event == Event.ORDER_SENT
                || event == Event.TARGET_JOINED;
    }

    /**
     * One line of an account.
     *
     * @param time by the clock of the process that tells it
     * @param instance the process's instance
     * @param words what happened
     */
    public record Sentence(LocalTime time, String instance, String words) {
        private static Sentence of(LogLine line) {
            String words = Phrase.of(line).orElseThrow().tell(line);
            return new Sentence(line.time(), line.field("instance"), words);
        }

        @Override
        public String toString() {
            return time + " " + instance + ": " + words;
        }
    }

    /** Which lines belong to a request: its own, and those of its targets and entries meanwhile. */
    private record Scope(LocalTime from, LocalTime to, Set<String> targets, Set<String> instances) {
        static Scope of(List<LogLine> own) {
            Set<String> targets = new HashSet<>();
            Set<String> instances = new HashSet<>();
            own.stream()
                    .map(line -> line.field("target"))
                    .filter(target -> !target.isEmpty())
                    .forEach(targets::add);
            own.forEach(line -> instances.add(line.field("instance")));
            LocalTime first = own.stream().map(LogLine::time).min(LocalTime::compareTo).get();
            LocalTime last = own.stream().map(LogLine::time).max(LocalTime::compareTo).get();
            long before = Math.min(BEFORE_SECONDS, first.toSecondOfDay());
            return new Scope(
                    first.minusSeconds(before),
                    last.plusNanos(AFTER_MILLIS * 1_000_000),
                    targets,
                    instances);
        }

        /** What was sent nowhere is explained by all targets. */
        private boolean isTarget(String target) {
            return targets.isEmpty() || targets.contains(target);
        }

        private boolean isId(String id) {
            return targets.isEmpty()
                    || targets.stream().anyMatch(key -> Incarnation.ofKey(key).id().equals(id));
        }

        boolean covers(LogLine line, String request) {
            Optional<Phrase> phrase = Phrase.of(line);
            if (phrase.isEmpty() || line.time().isBefore(from) || line.time().isAfter(to)) {
                return false;
            }
            return switch (phrase.get().subject()) {
                case REQUEST -> line.field("request").equals(request);
                case TARGET -> isTarget(line.field("target") + line.field("holder"));
                case ID -> isId(Incarnation.ofKey(line.field("target")).id());
                case CONTROL -> true;
                case INSTANCE -> instances.contains(line.field("instance"));
            };
        }
    }
}
