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
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BinaryOperator;

/**
 * Detects requests, and parts of prompts, that crash the targets that run them, from the evidence
 * of all instances.
 *
 * <p>A crash interrupts all requests that a target works on, so each of them is a suspect, and so
 * is each part that its prompt may share with others. A crash is attributed to the suspect that was
 * present at the most crashes and does not count for the others; if several were at as many, a
 * request goes before a part, and a suspect that has never completed before one that has. A suspect
 * that completed shortly before a crash, or after it, did not cause it. A suspect to which {@link
 * #MIN_CRASHES_TO_REFUSE} crashes are attributed, a part one more, is refused everywhere for a
 * limited time, unless others turn out to explain all of them. After that time a single crash is
 * sufficient, and each refusal lasts longer than the previous one.
 *
 * <p>An instance that loses its network paths to targets reports that they crashed. Such a report
 * is disproved once the target's own reports show that it ran later ({@link SurvivingTargets}); a
 * refusal that is then left with too few crashes is withdrawn.
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
    static final int MAX_REQUESTS_PER_CRASH = 1024;

    private static final int REFUSAL_GROWTH_FACTOR = 6;

    /** From this number of crashes on, instances that forward the request report its completion. */
    private static final int MIN_CRASHES_TO_WATCH = 2;

    /** How long after a request's last crash its completion is of interest. */
    private static final long WATCH_MILLIS = 60_000;

    /** The expiry times in two reports of one refusal may differ by their transmission times. */
    private static final long MAX_REPORT_SKEW_MILLIS = 1000;

    /**
     * By target, when each request was last reported to have been present at its crash. All reports
     * for one target that are not disproved are of the same crash.
     */
    private final Map<String, Map<RequestFingerprint, Long>> mCrashes = new LinkedHashMap<>();

    private final SurvivingTargets mSurvivors;

    private final Map<RequestFingerprint, Long> mCompletedAt = new LinkedHashMap<>();
    private final Map<RequestFingerprint, Suspect> mRefused = new LinkedHashMap<>();
    private Map<RequestFingerprint, Suspect> mSuspects = Map.of();

    private PoisonRequestDetector(SurvivingTargets survivors) {
        mSurvivors = survivors;
    }

    /**
     * Returns a detector without evidence.
     *
     * @param reportIntervalMillis the interval at which targets report themselves
     */
    public static PoisonRequestDetector create(long reportIntervalMillis) {
        return new PoisonRequestDetector(SurvivingTargets.create(reportIntervalMillis));
    }

    /**
     * Records a crash, or further requests of a known one; returns whether anything is new. A
     * report dated later than a disproved one is of another crash.
     */
    public boolean onCrash(TargetCrash crash) {
        Map<RequestFingerprint, Long> known =
                mCrashes.computeIfAbsent(crash.target(), target -> new LinkedHashMap<>());
        boolean isNew = false;
        for (RequestFingerprint request : crash.requests()) {
            Long knownAt = known.get(request);
            boolean isAdded = knownAt == null && known.size() < MAX_REQUESTS_PER_CRASH;
            boolean isLater =
                    knownAt != null && crash.crashedAt() > knownAt + MAX_REPORT_SKEW_MILLIS;
            if (isAdded || isLater) {
                known.put(request, crash.crashedAt());
                isNew = true;
            }
        }
        dropOldest(mCrashes, MAX_CRASHES);
        return isNew;
    }

    /**
     * Records that this instance has received a target's report of itself; returns whether that
     * newly shows that the target ran after its supposed crash.
     */
    public boolean onTargetReport(String target, long sequence, long now) {
        OptionalLong crashedAt = supposedCrashAt(target);
        return crashedAt.isPresent()
                && mSurvivors.onReport(target, sequence, crashedAt.getAsLong(), now);
    }

    /** Records that a target is known to have run at a time; returns whether that is new. */
    public boolean onSurvived(String target, long at) {
        return mSurvivors.onSurvived(target, at);
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
        List<Suspect> refusedBefore = List.copyOf(mRefused.values());
        Set<RequestFingerprint> requests = new LinkedHashSet<>(mRefused.keySet());
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
        // Refusals of this evaluation may have exceeded the bound and displaced older ones.
        suspects.values().removeIf(s -> s.refusals() > 0 && !mRefused.containsKey(s.request()));
        List<Suspect> changes = new ArrayList<>();
        for (Suspect suspect : refusedBefore) {
            // Received since the last evaluation, and unfounded: its sender refuses the request.
            if (!suspects.containsKey(suspect.request())
                    && !mSuspects.containsKey(suspect.request())) {
                changes.add(suspect.cleared());
            }
        }
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

    /**
     * Returns the crashes that are not disproved; one for each time at which they were reported.
     */
    public List<TargetCrash> crashes() {
        List<TargetCrash> crashes = new ArrayList<>();
        for (String target : mCrashes.keySet()) {
            Map<Long, Set<RequestFingerprint>> requestsByTime = new TreeMap<>();
            credibleReports(target)
                    .forEach(
                            (request, at) ->
                                    requestsByTime
                                            .computeIfAbsent(at, time -> new HashSet<>())
                                            .add(request));
            requestsByTime.forEach(
                    (at, requests) ->
                            crashes.add(new TargetCrash(target, Set.copyOf(requests), at)));
        }
        return crashes;
    }

    /** Returns when targets that were reported to have crashed are known to have run. */
    public Map<String, Long> survivals() {
        return mSurvivors.survivedAt();
    }

    /** Returns when requests completed. */
    public Map<RequestFingerprint, Long> completions() {
        return Map.copyOf(mCompletedAt);
    }

    private Optional<Suspect> evaluateRequest(
            RequestFingerprint request, Evidence evidence, long now) {
        Set<String> attributed = attributedCrashes(request, evidence);
        Suspect refused = mRefused.get(request);
        boolean isRefusalFounded =
                refused != null
                        && refused.targets().stream()
                                .noneMatch(target -> isDisproved(target, refused));
        if (!isRefusalFounded && attributed.size() < request.kind().minCrashesToRefuse()
                || attributed.isEmpty()) {
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
                                .anyMatch(target -> now - crashedAt(target) < WATCH_MILLIS);
        return isWatched
                ? Optional.of(new Suspect(request, Suspect.Standing.WATCHED, Set.of(), 0, 0))
                : Optional.empty();
    }

    private Suspect refuse(
            RequestFingerprint request, Set<String> attributed, int refusals, long now) {
        Suspect suspect =
                new Suspect(
                        request,
                        Suspect.Standing.REFUSED,
                        Set.copyOf(attributed),
                        now + refusalMillis(refusals),
                        refusals);
        mRefused.put(request, suspect);
        dropOldest(mRefused, MAX_REQUESTS);
        return suspect;
    }

    private static long refusalMillis(int refusals) {
        long millis = FIRST_REFUSAL_MILLIS;
        for (int i = 1; i < refusals && millis < MAX_REFUSAL_MILLIS; i++) {
            millis *= REFUSAL_GROWTH_FACTOR;
        }
        return Math.min(millis, MAX_REFUSAL_MILLIS);
    }

    /** Returns whether a request crashed another target after its refusal had expired. */
    private boolean hasCrashedAfterRefusal(Suspect refused, Set<String> attributed) {
        return attributed.stream()
                .filter(mCrashes::containsKey)
                .anyMatch(target -> crashedAt(target) >= refused.refusedUntil());
    }

    /** Returns the time of a known crash: that of its first credible report. */
    private long crashedAt(String target) {
        long survivedAt = mSurvivors.survivedAt(target);
        return mCrashes.get(target).values().stream()
                .mapToLong(Long::longValue)
                .filter(at -> at > survivedAt)
                .min()
                .orElse(SurvivingTargets.NEVER);
    }

    /** Returns the requests present at a target's crash, without reports that are disproved. */
    private Map<RequestFingerprint, Long> credibleReports(String target) {
        long survivedAt = mSurvivors.survivedAt(target);
        Map<RequestFingerprint, Long> reports = new LinkedHashMap<>(mCrashes.get(target));
        reports.values().removeIf(at -> at <= survivedAt);
        return reports;
    }

    /**
     * Returns after which time reports of a target are evidence against its crash; empty if none
     * are needed.
     *
     * <p>A survival is renewed until it is {@link SurvivingTargets#MAX_MESSAGE_DELAY_MILLIS} later
     * than the crash, since another instance dates the crash later by the delay of its report.
     */
    private OptionalLong supposedCrashAt(String target) {
        Map<RequestFingerprint, Long> known = mCrashes.get(target);
        OptionalLong latest =
                known != null
                        ? known.values().stream().mapToLong(Long::longValue).max()
                        : mRefused.values().stream()
                                .filter(refused -> refused.targets().contains(target))
                                .mapToLong(PoisonRequestDetector::decidedAt)
                                .max();
        long survivedAt = mSurvivors.survivedAt(target);
        return latest.isEmpty()
                        || survivedAt
                                > latest.getAsLong() + SurvivingTargets.MAX_MESSAGE_DELAY_MILLIS
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(latest.getAsLong(), survivedAt));
    }

    /** Returns whether a crash that a refusal is based on did not happen. */
    private boolean isDisproved(String target, Suspect refused) {
        long survivedAt = mSurvivors.survivedAt(target);
        return mCrashes.containsKey(target)
                ? mCrashes.get(target).values().stream().allMatch(at -> at <= survivedAt)
                : survivedAt >= decidedAt(refused);
    }

    private static long decidedAt(Suspect refused) {
        return refused.refusedUntil() - refusalMillis(refused.refusals());
    }

    /**
     * Returns the crashes at which a request was present and that no other request explains better.
     */
    private Set<String> attributedCrashes(RequestFingerprint request, Evidence evidence) {
        Set<String> crashes = evidence.candidateCrashes(request);
        Set<String> attributed = new HashSet<>();
        for (String target : crashes) {
            if (evidence.strongestByTarget().get(target).compareTo(evidence.strength(request))
                    <= 0) {
                attributed.add(target);
            }
        }
        Suspect refused = mRefused.get(request);
        if (refused != null && !mCompletedAt.containsKey(request)) {
            // Crashes that were dropped meanwhile, or that only another instance knows.
            refused.targets().stream()
                    .filter(target -> !mCrashes.containsKey(target))
                    .filter(target -> !isDisproved(target, refused))
                    .forEach(attributed::add);
        }
        return attributed;
    }

    private Evidence collectEvidence() {
        Map<RequestFingerprint, Set<String>> crashesByRequest = new LinkedHashMap<>();
        for (String target : mCrashes.keySet()) {
            long crashedAt = crashedAt(target);
            for (RequestFingerprint request : credibleReports(target).keySet()) {
                Long completedAt = mCompletedAt.get(request);
                boolean isCleared =
                        completedAt != null
                                && completedAt
                                        >= crashedAt - request.kind().recentCompletionMillis();
                if (!isCleared) {
                    crashesByRequest.computeIfAbsent(request, r -> new HashSet<>()).add(target);
                }
            }
        }
        Map<RequestFingerprint, Strength> strengths = new HashMap<>();
        Map<String, Strength> strongestByTarget = new HashMap<>();
        crashesByRequest.forEach(
                (request, crashes) -> {
                    Strength strength =
                            new Strength(
                                    crashes.size(),
                                    request.kind(),
                                    mCompletedAt.containsKey(request));
                    strengths.put(request, strength);
                    for (String target : crashes) {
                        strongestByTarget.merge(
                                target, strength, BinaryOperator.maxBy(Strength::compareTo));
                    }
                });
        return new Evidence(crashesByRequest, strengths, strongestByTarget);
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
     * @param strengths how well each request explains its crashes
     * @param strongestByTarget by target, the strongest of its suspects
     */
    private record Evidence(
            Map<RequestFingerprint, Set<String>> crashesByRequest,
            Map<RequestFingerprint, Strength> strengths,
            Map<String, Strength> strongestByTarget) {
        Set<String> candidateCrashes(RequestFingerprint request) {
            return crashesByRequest.getOrDefault(request, Set.of());
        }

        Strength strength(RequestFingerprint request) {
            return strengths.get(request);
        }
    }

    /**
     * How well a suspect explains crashes; the best explanation is the largest.
     *
     * @param crashes the number of crashes at which it was present
     * @param kind a request explains as many crashes better than a part of its prompt
     * @param hasCompleted whether it is known to have completed, however long ago
     */
    private record Strength(int crashes, RequestFingerprint.Kind kind, boolean hasCompleted)
            implements Comparable<Strength> {
        private static final Comparator<Strength> ORDER =
                Comparator.comparingInt(Strength::crashes)
                        .thenComparing(Strength::kind, Comparator.reverseOrder())
                        .thenComparing(Strength::hasCompleted, Comparator.reverseOrder());

        @Override
        public int compareTo(Strength other) {
            return ORDER.compare(this, other);
        }
    }
}
