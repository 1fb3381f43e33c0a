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
 * Detects requests that crash the targets that run them, from the evidence of all instances.
 *
 * <p>A crash interrupts all requests that a target works on, so each of them is a suspect. A crash
 * is attributed to the suspect that was present at the most crashes and does not count for the
 * others. A request that completed shortly before a crash, or after it, did not cause it. A request
 * to which {@link #MIN_CRASHES_TO_REFUSE} crashes are attributed is refused everywhere for a
 * limited time, unless others turn out to explain all of them. After that time a single crash is
 * sufficient, and each refusal lasts longer than the previous one.
 *
 * <p>Instances that exchange their evidence and refusals reach the same result, in whatever order
 * it is received. The evidence is bounded: the oldest is dropped first.
 */
public final class PoisonRequestDetector {
    /** A request to which this number of crashes is attributed is refused. */
    static final int MIN_CRASHES_TO_REFUSE = 3;

    /** A request that completed at most this long before a crash did not cause it. */
    static final long RECENT_COMPLETION_MILLIS = 10_000;

    static final long FIRST_REFUSAL_MILLIS = 5 * 60_000;
    static final long MAX_REFUSAL_MILLIS = 24 * 60 * 60_000;

    static final int MAX_CRASHES = 256;
    static final int MAX_REQUESTS = 1024;
    static final int MAX_REQUESTS_PER_CRASH = 512;

    private static final int REFUSAL_GROWTH_FACTOR = 6;

    /** From this number of crashes on, instances that forward the request report its completion. */
    private static final int MIN_CRASHES_TO_WATCH = 2;

    /** How long after a request's last crash its completion is of interest. */
    private static final long WATCH_MILLIS = 60_000;

    /** The expiry times in two reports of one refusal may differ by their transmission times. */
    private static final long MAX_REPORT_SKEW_MILLIS = 1000;

    /** By target; all reports for one target are of the same crash. */
    private final Map<String, TargetCrash> mCrashes = new LinkedHashMap<>();

    private final Map<RequestFingerprint, Long> mCompletedAt = new LinkedHashMap<>();
    private final Map<RequestFingerprint, Suspect> mRefused = new LinkedHashMap<>();
    private Map<RequestFingerprint, Suspect> mSuspects = Map.of();

    private PoisonRequestDetector() {}

    /** Returns a detector without evidence. */
    public static PoisonRequestDetector create() {
        return new PoisonRequestDetector();
    }

    /** Records a crash, or further requests of a known one; returns whether anything is new. */
    public boolean onCrash(TargetCrash crash) {
        TargetCrash known = mCrashes.get(crash.target());
        Set<RequestFingerprint> requests = new HashSet<>();
        if (known != null) {
            requests.addAll(known.requests());
        }
        crash.requests().stream()
                .limit(MAX_REQUESTS_PER_CRASH - requests.size())
                .forEach(requests::add);
        if (known != null && requests.size() == known.requests().size()) {
            return false;
        }
        long crashedAt =
                known == null ? crash.crashedAt() : Math.min(known.crashedAt(), crash.crashedAt());
        mCrashes.put(
                crash.target(), new TargetCrash(crash.target(), Set.copyOf(requests), crashedAt));
        dropOldest(mCrashes, MAX_CRASHES);
        return true;
    }

    /** Records that a request completed; returns whether that is new. */
    public boolean onCompleted(RequestFingerprint request, long at) {
        Long known = mCompletedAt.get(request);
        if (known != null && known >= at) {
            return false;
        }
        // Inserted again, so that the requests that completed longest ago are dropped first.
        mCompletedAt.remove(request);
        mCompletedAt.put(request, at);
        dropOldest(mCompletedAt, MAX_REQUESTS);
        return true;
    }

    /**
     * Accepts a refusal that another instance, or this one before a restart, has decided; returns
     * whether it is new.
     */
    public boolean onSuspect(Suspect received) {
        Suspect known = mRefused.get(received.request());
        boolean isNew =
                received.standing() == Suspect.Standing.REFUSED
                        && (known == null
                                || known.refusedUntil() + MAX_REPORT_SKEW_MILLIS
                                        < received.refusedUntil());
        if (isNew) {
            mRefused.put(received.request(), received);
            dropOldest(mRefused, MAX_REQUESTS);
        }
        return isNew;
    }

    /** Evaluates the evidence; returns the suspects whose state has changed. */
    public List<Suspect> evaluate(long now) {
        Evidence evidence = collectEvidence();
        Set<RequestFingerprint> requests = new HashSet<>(mRefused.keySet());
        evidence.crashesByRequest()
                .forEach(
                        (request, crashes) -> {
                            if (crashes.size() >= MIN_CRASHES_TO_WATCH) {
                                requests.add(request);
                            }
                        });
        Map<RequestFingerprint, Suspect> suspects = new HashMap<>();
        for (RequestFingerprint request : requests) {
            evaluateRequest(request, evidence, now)
                    .ifPresent(suspect -> suspects.put(request, suspect));
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

    /** Returns the result of the last evaluation. */
    public List<Suspect> suspects() {
        return List.copyOf(mSuspects.values());
    }

    /** Returns the known crashes. */
    public List<TargetCrash> crashes() {
        return List.copyOf(mCrashes.values());
    }

    /** Returns when requests completed. */
    public Map<RequestFingerprint, Long> completions() {
        return Map.copyOf(mCompletedAt);
    }

    private Optional<Suspect> evaluateRequest(
            RequestFingerprint request, Evidence evidence, long now) {
        Set<String> attributed = attributedCrashes(request, evidence);
        Suspect refused = mRefused.get(request);
        if (refused == null && attributed.size() < MIN_CRASHES_TO_REFUSE || attributed.isEmpty()) {
            mRefused.remove(request);
            return watchedSuspect(request, evidence, now);
        }
        if (refused == null) {
            return Optional.of(refuse(request, attributed, 1, now));
        }
        return Optional.of(
                hasCrashedAfterRefusal(refused, attributed)
                        ? refuse(request, attributed, refused.refusals() + 1, now)
                        : refused);
    }

    private Optional<Suspect> watchedSuspect(
            RequestFingerprint request, Evidence evidence, long now) {
        Set<String> crashes = evidence.candidateCrashes(request);
        boolean isWatched =
                crashes.size() >= MIN_CRASHES_TO_WATCH
                        && crashes.stream()
                                .anyMatch(
                                        target ->
                                                now - mCrashes.get(target).crashedAt()
                                                        < WATCH_MILLIS);
        return isWatched
                ? Optional.of(new Suspect(request, Suspect.Standing.WATCHED, Set.of(), 0, 0))
                : Optional.empty();
    }

    private Suspect refuse(
            RequestFingerprint request, Set<String> attributed, int refusals, long now) {
        long millis = FIRST_REFUSAL_MILLIS;
        for (int i = 1; i < refusals && millis < MAX_REFUSAL_MILLIS; i++) {
            millis *= REFUSAL_GROWTH_FACTOR;
        }
        Suspect suspect =
                new Suspect(
                        request,
                        Suspect.Standing.REFUSED,
                        Set.copyOf(attributed),
                        now + Math.min(millis, MAX_REFUSAL_MILLIS),
                        refusals);
        mRefused.put(request, suspect);
        dropOldest(mRefused, MAX_REQUESTS);
        return suspect;
    }

    /** Returns whether a request crashed another target after its refusal had expired. */
    private boolean hasCrashedAfterRefusal(Suspect refused, Set<String> attributed) {
        return attributed.stream()
                .map(mCrashes::get)
                .anyMatch(crash -> crash != null && crash.crashedAt() >= refused.refusedUntil());
    }

    /**
     * Returns the crashes at which a request was present and that no other request explains better.
     */
    private Set<String> attributedCrashes(RequestFingerprint request, Evidence evidence) {
        Set<String> crashes = evidence.candidateCrashes(request);
        Set<String> attributed = new HashSet<>();
        for (String target : crashes) {
            if (evidence.maxCrashesByTarget().get(target) <= crashes.size()) {
                attributed.add(target);
            }
        }
        Suspect refused = mRefused.get(request);
        if (refused != null && !mCompletedAt.containsKey(request)) {
            // Crashes that were dropped meanwhile, or that only another instance knows.
            refused.targets().stream()
                    .filter(target -> !mCrashes.containsKey(target))
                    .forEach(attributed::add);
        }
        return attributed;
    }

    private Evidence collectEvidence() {
        Map<RequestFingerprint, Set<String>> crashesByRequest = new HashMap<>();
        for (TargetCrash crash : mCrashes.values()) {
            for (RequestFingerprint request : crash.requests()) {
                Long completedAt = mCompletedAt.get(request);
                if (completedAt == null
                        || completedAt < crash.crashedAt() - RECENT_COMPLETION_MILLIS) {
                    crashesByRequest
                            .computeIfAbsent(request, r -> new HashSet<>())
                            .add(crash.target());
                }
            }
        }
        Map<String, Integer> maxCrashesByTarget = new HashMap<>();
        for (Set<String> crashes : crashesByRequest.values()) {
            crashes.forEach(target -> maxCrashesByTarget.merge(target, crashes.size(), Math::max));
        }
        return new Evidence(crashesByRequest, maxCrashesByTarget);
    }

    private static <K, V> void dropOldest(Map<K, V> entries, int maxSize) {
        while (entries.size() > maxSize) {
            entries.remove(entries.keySet().iterator().next());
        }
    }

    /**
     * Evidence against requests.
     *
     * @param crashesByRequest the targets whose crashes each request may have caused
     * @param maxCrashesByTarget by target, the largest number of crashes of any of its suspects
     */
    private record Evidence(
            Map<RequestFingerprint, Set<String>> crashesByRequest,
            Map<String, Integer> maxCrashesByTarget) {
        Set<String> candidateCrashes(RequestFingerprint request) {
            return crashesByRequest.getOrDefault(request, Set.of());
        }
    }
}
