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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Which requests crash the targets that run them, concluded from what all instances have seen.
 *
 * <p>A crash ends all that a target works on, so that each request there is a suspect. Of several
 * suspects of one crash the one that was at most crashes explains it, and the others are not
 * counted for it. A request that has run to its end shortly before a crash, or after it, did not
 * cause it. The request that remains as the explanation of {@link #CRASHES} crashes is refused
 * everywhere for a while, unless others turn out to explain all of them. After that time a single
 * crash is enough, and each refusal lasts longer than the one before.
 *
 * <p>Instances that tell each other their evidence and their refusals come to the same conclusions,
 * in whatever order these came. The evidence is bounded: the oldest is dropped first.
 */
public final class CrashLedger {
    /** So many crashes that nothing else explains are a request's own. */
    static final int CRASHES = 3;

    /** A request that ran to its end this long before a crash at the most is not its cause. */
    static final long HARMLESS_MILLIS = 10_000;

    static final long FIRST_REFUSAL_MILLIS = 5 * 60_000;
    static final long LONGEST_REFUSAL_MILLIS = 24 * 60 * 60_000;

    static final int MAX_CRASHES = 256;
    static final int MAX_REQUESTS = 1024;
    static final int MAX_REQUESTS_OF_A_CRASH = 512;

    private static final int REFUSAL_GROWTH = 6;

    /** From so many crashes on it matters to all whether a request runs to its end. */
    private static final int WATCHED_CRASHES = 2;

    /** For so long after a request's last crash it matters. */
    private static final long WATCHED_MILLIS = 60_000;

    /** Two tellings of one refusal differ by the time that they took. */
    private static final long TELLING_MILLIS = 1000;

    private final Map<String, TargetCrash> mCrashes = new LinkedHashMap<>();
    private final Map<RequestFingerprint, Long> mCompletedAt = new LinkedHashMap<>();
    private final Map<RequestFingerprint, Suspect> mRefused = new LinkedHashMap<>();
    private Map<RequestFingerprint, Suspect> mSuspects = Map.of();

    private CrashLedger() {}

    /** Returns a ledger without evidence. */
    public static CrashLedger create() {
        return new CrashLedger();
    }

    /** Takes a crash, or what more is known of one; returns whether it is news. */
    public boolean onCrash(TargetCrash crash) {
        TargetCrash known = mCrashes.get(crash.target());
        Set<RequestFingerprint> requests = new HashSet<>();
        if (known != null) {
            requests.addAll(known.requests());
        }
        crash.requests().stream()
                .limit(MAX_REQUESTS_OF_A_CRASH - requests.size())
                .forEach(requests::add);
        if (known != null && requests.size() == known.requests().size()) {
            return false;
        }
        long at = known == null ? crash.at() : Math.min(known.at(), crash.at());
        mCrashes.put(crash.target(), new TargetCrash(crash.target(), Set.copyOf(requests), at));
        dropOldest(mCrashes, MAX_CRASHES);
        return true;
    }

    /** Notes that a request ran to its end; returns whether that is news. */
    public boolean onCompleted(RequestFingerprint request, long at) {
        Long known = mCompletedAt.get(request);
        if (known != null && known >= at) {
            return false;
        }
        // Put anew, so that it is dropped after those that have not run for longer.
        mCompletedAt.remove(request);
        mCompletedAt.put(request, at);
        dropOldest(mCompletedAt, MAX_REQUESTS);
        return true;
    }

    /**
     * Takes a conclusion of another instance, or of this one before a restart; returns whether it
     * is news.
     */
    public boolean onSuspect(Suspect told) {
        Suspect known = mRefused.get(told.request());
        boolean news =
                told.standing() == Suspect.Standing.REFUSED
                        && (known == null || known.until() + TELLING_MILLIS < told.until());
        if (news) {
            mRefused.put(told.request(), told);
            dropOldest(mRefused, MAX_REQUESTS);
        }
        return news;
    }

    /** Draws the conclusions from the evidence; returns those that have changed. */
    public List<Suspect> conclude(long now) {
        Evidence evidence = evidence();
        Set<RequestFingerprint> requests = new HashSet<>(mRefused.keySet());
        evidence.crashesOf()
                .forEach(
                        (request, crashes) -> {
                            if (crashes.size() >= WATCHED_CRASHES) {
                                requests.add(request);
                            }
                        });
        Map<RequestFingerprint, Suspect> suspects = new HashMap<>();
        for (RequestFingerprint request : requests) {
            judge(request, evidence, now).ifPresent(s -> suspects.put(request, s));
        }
        List<Suspect> changes = new ArrayList<>();
        for (Suspect suspect : suspects.values()) {
            if (!suspect.equals(mSuspects.get(suspect.request()))) {
                changes.add(suspect);
            }
        }
        for (Suspect suspect : mSuspects.values()) {
            if (!suspects.containsKey(suspect.request())) {
                changes.add(suspect.cleared());
            }
        }
        mSuspects = suspects;
        return changes;
    }

    /** Returns the conclusions that were drawn last. */
    public List<Suspect> suspects() {
        return List.copyOf(mSuspects.values());
    }

    /** Returns the crashes that are known. */
    public List<TargetCrash> crashes() {
        return List.copyOf(mCrashes.values());
    }

    /** Returns when requests ran to their ends. */
    public Map<RequestFingerprint, Long> completions() {
        return Map.copyOf(mCompletedAt);
    }

    private Optional<Suspect> judge(RequestFingerprint request, Evidence evidence, long now) {
        Set<String> own = unexplained(request, evidence);
        Suspect refused = mRefused.get(request);
        if (refused == null && own.size() < CRASHES || own.isEmpty()) {
            mRefused.remove(request);
            return watched(request, evidence, now);
        }
        if (refused == null) {
            return Optional.of(refusal(request, own, 1, now));
        }
        return Optional.of(
                hasCrashedSince(refused, own)
                        ? refusal(request, own, refused.refusals() + 1, now)
                        : refused);
    }

    private Optional<Suspect> watched(RequestFingerprint request, Evidence evidence, long now) {
        Set<String> crashes = evidence.of(request);
        boolean matters =
                crashes.size() >= WATCHED_CRASHES
                        && crashes.stream()
                                .anyMatch(t -> now - mCrashes.get(t).at() < WATCHED_MILLIS);
        return matters
                ? Optional.of(new Suspect(request, Suspect.Standing.WATCHED, Set.of(), 0, 0))
                : Optional.empty();
    }

    private Suspect refusal(RequestFingerprint request, Set<String> own, int refusals, long now) {
        long millis = FIRST_REFUSAL_MILLIS;
        for (int i = 1; i < refusals && millis < LONGEST_REFUSAL_MILLIS; i++) {
            millis *= REFUSAL_GROWTH;
        }
        Suspect suspect =
                new Suspect(
                        request,
                        Suspect.Standing.REFUSED,
                        Set.copyOf(own),
                        now + Math.min(millis, LONGEST_REFUSAL_MILLIS),
                        refusals);
        mRefused.put(request, suspect);
        dropOldest(mRefused, MAX_REQUESTS);
        return suspect;
    }

    /** Returns whether a request was sent on again and crashed one more target. */
    private boolean hasCrashedSince(Suspect refused, Set<String> own) {
        return own.stream()
                .map(mCrashes::get)
                .anyMatch(crash -> crash != null && crash.at() >= refused.until());
    }

    /** Returns the crashes that a request was at and that no other one explains better. */
    private Set<String> unexplained(RequestFingerprint request, Evidence evidence) {
        Set<String> crashes = evidence.of(request);
        Set<String> unexplained = new HashSet<>();
        for (String target : crashes) {
            if (evidence.mostCrashes().get(target) <= crashes.size()) {
                unexplained.add(target);
            }
        }
        Suspect refused = mRefused.get(request);
        if (refused != null && !mCompletedAt.containsKey(request)) {
            // Evidence that was dropped meanwhile, or that another instance holds.
            refused.targets().stream()
                    .filter(target -> !mCrashes.containsKey(target))
                    .forEach(unexplained::add);
        }
        return unexplained;
    }

    private Evidence evidence() {
        Map<RequestFingerprint, Set<String>> crashesOf = new HashMap<>();
        for (TargetCrash crash : mCrashes.values()) {
            for (RequestFingerprint request : crash.requests()) {
                Long completedAt = mCompletedAt.get(request);
                if (completedAt == null || completedAt < crash.at() - HARMLESS_MILLIS) {
                    crashesOf.computeIfAbsent(request, r -> new HashSet<>()).add(crash.target());
                }
            }
        }
        Map<String, Integer> mostCrashes = new HashMap<>();
        for (Set<String> crashes : crashesOf.values()) {
            crashes.forEach(target -> mostCrashes.merge(target, crashes.size(), Math::max));
        }
        return new Evidence(crashesOf, mostCrashes);
    }

    private static <K, V> void dropOldest(Map<K, V> entries, int most) {
        while (entries.size() > most) {
            entries.remove(entries.keySet().iterator().next());
        }
    }

    /**
     * What speaks against requests.
     *
     * @param crashesOf the targets whose crashes each request may have caused
     * @param mostCrashes by target, at how many crashes that suspect of its own was that was at
     *     most
     */
    private record Evidence(
            Map<RequestFingerprint, Set<String>> crashesOf, Map<String, Integer> mostCrashes) {
        Set<String> of(RequestFingerprint request) {
            return crashesOf.getOrDefault(request, Set.of());
        }
    }
}
