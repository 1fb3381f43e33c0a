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

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Which requests are refused for crashing targets, and which are not. */
class PoisonRequestDetectorTest {
    private static final RequestFingerprint POISON = new RequestFingerprint(1, 1);
    private static final RequestFingerprint HARMLESS = new RequestFingerprint(2, 2);
    private static final RequestFingerprint PART = RequestFingerprint.ofPromptPart(7);
    private static final RequestFingerprint SOUND_PART = RequestFingerprint.ofPromptPart(8);
    private static final long REPORT_MILLIS = 1000;

    /** Reports received from this time on were sent after a crash at time 0. */
    private static final long LATE = SurvivingTargets.MAX_MESSAGE_DELAY_MILLIS + 1;

    private final PoisonRequestDetector mDetector = PoisonRequestDetector.create(REPORT_MILLIS);
    private final Map<RequestFingerprint, Suspect> mLatest = new HashMap<>();

    @Test
    void requestIsRefusedAfterThreeCrashes() {
        crash("a", 0, POISON);
        crash("b", 100, POISON);
        assertThat(isRefused(POISON)).isFalse();

        crash("c", 200, POISON);

        assertThat(isRefused(POISON)).isTrue();
        assertThat(mLatest.get(POISON).targets()).containsExactly("a", "b", "c");
        assertThat(mLatest.get(POISON).refusedUntil())
                .isEqualTo(200 + PoisonRequestDetector.FIRST_REFUSAL_MILLIS);
    }

    @Test
    void crashReportedBySeveralInstancesCountsOnce() {
        crash("a", 0, POISON);
        crash("a", 5, POISON, HARMLESS);
        crash("a", 9, HARMLESS);

        crash("b", 100, POISON);

        assertThat(isRefused(POISON)).isFalse();
    }

    @Test
    void requestRunningByChanceIsNotRefused() {
        crash("a", 0, POISON);
        crash("b", 100, POISON, HARMLESS);
        crash("c", 200, POISON, HARMLESS);
        crash("d", 300, POISON, HARMLESS);

        assertThat(isRefused(POISON)).isTrue();
        assertThat(isRefused(HARMLESS)).isFalse();
    }

    @Test
    void refusedRequestIsClearedOnceAnotherExplainsMoreCrashes() {
        crash("a", 0, POISON, HARMLESS);
        crash("b", 100, POISON, HARMLESS);
        crash("c", 200, POISON, HARMLESS);
        assertThat(isRefused(HARMLESS)).isTrue();

        crash("d", 300, POISON);

        assertThat(isRefused(HARMLESS)).isFalse();
        assertThat(isRefused(POISON)).isTrue();
    }

    @Test
    void requestThatCompletedIsNotRefused() {
        mDetector.onCompleted(HARMLESS, 1000);
        crash("a", 1000 + PoisonRequestDetector.RECENT_COMPLETION_MILLIS, HARMLESS);
        crash("b", 2000, HARMLESS);
        crash("c", 2100, HARMLESS);
        crash("d", 2200, HARMLESS);

        assertThat(isRefused(HARMLESS)).isFalse();
    }

    @Test
    void refusedRequestIsClearedWhenItCompletes() {
        crash("a", 0, HARMLESS);
        crash("b", 100, HARMLESS);
        crash("c", 200, HARMLESS);
        assertThat(isRefused(HARMLESS)).isTrue();

        mDetector.onCompleted(HARMLESS, 300);
        evaluate(310);

        assertThat(isRefused(HARMLESS)).isFalse();
        assertThat(mDetector.suspects()).isEmpty();
    }

    @Test
    void completionLongAgoDoesNotClearRequest() {
        mDetector.onCompleted(POISON, 0);
        long now = PoisonRequestDetector.RECENT_COMPLETION_MILLIS + 1;
        crash("a", now, POISON);
        crash("b", now, POISON);
        crash("c", now, POISON);

        assertThat(isRefused(POISON)).isTrue();
    }

    @Test
    void crashAfterRefusalExpiresLeadsToLongerRefusal() {
        crash("a", 0, POISON);
        crash("b", 0, POISON);
        crash("c", 0, POISON);
        crash("late", 50, POISON);
        assertThat(mLatest.get(POISON).refusals()).isEqualTo(1);

        long retriedAt = PoisonRequestDetector.FIRST_REFUSAL_MILLIS + 10;
        crash("d", retriedAt, POISON);

        Suspect second = mLatest.get(POISON);
        assertThat(second.refusals()).isEqualTo(2);
        assertThat(second.refusedUntil() - retriedAt)
                .isGreaterThan(PoisonRequestDetector.FIRST_REFUSAL_MILLIS);
    }

    @Test
    void refusalDurationIsBounded() {
        crash("a", 0, POISON);
        crash("b", 0, POISON);
        crash("c", 0, POISON);
        for (int i = 0; i < 20; i++) {
            long retriedAt = mLatest.get(POISON).refusedUntil();
            crash("x" + i, retriedAt, POISON);
            assertThat(mLatest.get(POISON).refusedUntil() - retriedAt)
                    .isAtMost(PoisonRequestDetector.MAX_REFUSAL_MILLIS);
        }
    }

    @Test
    void secondPoisonRequestIsFoundOnceTheFirstIsRefused() {
        RequestFingerprint other = new RequestFingerprint(3, 3);
        crash("a", 0, POISON, other);
        crash("b", 0, POISON);
        crash("c", 0, POISON, other);
        crash("d", 0, POISON);
        crash("e", 100, other);
        crash("f", 200, other);

        crash("g", 300, other);

        assertThat(isRefused(other)).isTrue();
        assertThat(isRefused(POISON)).isTrue();
    }

    @Test
    void refusalByAnotherInstanceIsAccepted() {
        Suspect received =
                new Suspect(POISON, Suspect.Standing.REFUSED, Set.of("a", "b", "c"), 10_000, 1);

        assertThat(mDetector.onSuspect(received)).isTrue();
        assertThat(mDetector.onSuspect(received)).isFalse();
        evaluate(0);

        assertThat(isRefused(POISON)).isTrue();
    }

    @Test
    void refusalOfCompletedRequestIsNotApplied() {
        mDetector.onCompleted(HARMLESS, 500);
        mDetector.onSuspect(
                new Suspect(HARMLESS, Suspect.Standing.REFUSED, Set.of("a", "b", "c"), 10_000, 1));
        evaluate(600);

        assertThat(isRefused(HARMLESS)).isFalse();
    }

    @Test
    void instancesWithTheSameEvidenceAgree() {
        for (int seed = 1; seed <= 500; seed++) {
            Random random = new Random(seed);
            List<TargetCrash> crashes = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                crashes.add(new TargetCrash("t" + random.nextInt(8), requests(random), 100 * i));
            }
            RequestFingerprint completed = new RequestFingerprint(0, random.nextInt(5));
            PoisonRequestDetector one = PoisonRequestDetector.create(REPORT_MILLIS);
            PoisonRequestDetector other = PoisonRequestDetector.create(REPORT_MILLIS);
            crashes.forEach(crash -> report(one, crash));
            one.onCompleted(completed, 300);
            one.evaluate(1000);
            Collections.shuffle(crashes, random);
            other.onCompleted(completed, 300);
            crashes.forEach(crash -> report(other, crash));

            one.suspects().forEach(other::onSuspect);
            other.suspects().forEach(one::onSuspect);
            one.evaluate(1000);
            other.evaluate(1000);

            assertThat(refused(one)).isEqualTo(refused(other));
        }
    }

    @Test
    void evidenceIsBounded() {
        for (int i = 0; i < 3 * PoisonRequestDetector.MAX_CRASHES; i++) {
            Set<RequestFingerprint> requests = new HashSet<>();
            for (int j = 0; j < 2 * PoisonRequestDetector.MAX_REQUESTS_PER_CRASH; j++) {
                requests.add(new RequestFingerprint(i, j));
            }
            mDetector.onCrash(new TargetCrash("t" + i, requests, i));
            mDetector.onCompleted(new RequestFingerprint(i, i), i);
        }

        assertThat(mDetector.crashes()).hasSize(PoisonRequestDetector.MAX_CRASHES);
        assertThat(mDetector.crashes().get(0).requests().size())
                .isAtMost(PoisonRequestDetector.MAX_REQUESTS_PER_CRASH);
        assertThat(mDetector.completions().size()).isAtMost(PoisonRequestDetector.MAX_REQUESTS);
    }

    @Test
    void manyPoisonRequestsAreRefusedWithinBounds() {
        for (int i = 0; i < 1200; i++) {
            RequestFingerprint request = new RequestFingerprint(i, 0);
            for (int j = 0; j < PoisonRequestDetector.MIN_CRASHES_TO_REFUSE; j++) {
                mDetector.onCrash(new TargetCrash("t" + i + "-" + j, Set.of(request), i));
            }
            evaluate(i);
            assertThat(isRefused(request)).isTrue();
        }

        assertThat(mDetector.suspects().size()).isAtMost(PoisonRequestDetector.MAX_REQUESTS);
        assertThat(isRefused(new RequestFingerprint(1199, 0))).isTrue();
        assertThat(isRefused(new RequestFingerprint(300, 0))).isTrue();
    }

    @Test
    void partOfDifferentRequestsIsRefusedAfterFourCrashes() {
        crash("a", 0, new RequestFingerprint(10, 0), PART);
        crash("b", 0, new RequestFingerprint(10, 0), PART);
        crash("c", 100, new RequestFingerprint(11, 0), PART);
        assertThat(isRefused(PART)).isFalse();

        crash("d", 100, new RequestFingerprint(12, 0), PART);

        assertThat(refused(mDetector)).containsExactly(PART);
    }

    /** Guards against a refusal of all requests that share a part with one that crashes targets. */
    @Test
    void partOfASingleRequestIsNotRefused() {
        for (int i = 0; i < 10; i++) {
            crash("t" + i, i, POISON, PART);
        }

        assertThat(isRefused(POISON)).isTrue();
        assertThat(isRefused(PART)).isFalse();
    }

    /** Guards against a refusal of a part that sound requests share with those that crash. */
    @Test
    void partThatHasCompletedLongAgoIsNotRefusedBesideOneThatNeverHas() {
        mDetector.onCompleted(SOUND_PART, 0);
        long now = RequestFingerprint.Kind.PROMPT_PART.recentCompletionMillis() + 1;
        for (int i = 0; i < 5; i++) {
            crash("t" + i, now + i, new RequestFingerprint(20, i), PART, SOUND_PART);
        }

        assertThat(isRefused(PART)).isTrue();
        assertThat(isRefused(SOUND_PART)).isFalse();
    }

    /** Guards against an outage that a refusal of a part of all requests prolongs. */
    @Test
    void partIsNotRefusedAfterCrashesOfAllTargetsDuringAnOutage() {
        mDetector.onCompleted(SOUND_PART, 0);
        for (int i = 0; i < 24; i++) {
            crash("t" + i, 5000L * i, new RequestFingerprint(50, i), SOUND_PART);
        }

        assertThat(refused(mDetector)).isEmpty();
    }

    /** Guards against harmless requests that stay refused since they ran beside a crashing part. */
    @Test
    void requestRefusedBeforeThePartIsClearedByIt() {
        for (int i = 0; i < 3; i++) {
            crash("t" + i, i, HARMLESS, new RequestFingerprint(30, i), PART);
        }
        assertThat(isRefused(HARMLESS)).isTrue();

        crash("t3", 3, new RequestFingerprint(30, 3), PART);

        assertThat(isRefused(HARMLESS)).isFalse();
        assertThat(isRefused(PART)).isTrue();
    }

    @Test
    void crashingRequestAndCrashingPartAreBothRefused() {
        for (int i = 0; i < 5; i++) {
            crash("t" + i, i, new RequestFingerprint(40, i), PART);
            crash("u" + i, i, POISON);
        }

        assertThat(isRefused(PART)).isTrue();
        assertThat(isRefused(POISON)).isTrue();
        assertThat(mDetector.suspects()).hasSize(2);
    }

    /** Guards against refusals due to an instance that lost its paths to running targets. */
    @Test
    void refusalIsWithdrawnOnceTargetsReportAgain() {
        loseAllPaths();
        assertThat(isRefused(HARMLESS)).isTrue();

        reportTwice("a#1", LATE);
        assertThat(isRefused(HARMLESS)).isFalse();
        reportTwice("b#1", LATE);
        reportTwice("c#1", LATE);

        assertThat(mDetector.suspects()).isEmpty();
        assertThat(mDetector.crashes()).isEmpty();
    }

    /** Guards against reports sent before a real crash and delivered seconds later. */
    @Test
    void delayedReportsDoNotDisproveCrash() {
        loseAllPaths();

        for (String target : List.of("a#1", "b#1", "c#1")) {
            for (int i = 0; i < 10; i++) {
                assertThat(mDetector.onTargetReport(target, 10 + i, (i + 1) * REPORT_MILLIS))
                        .isFalse();
            }
            assertThat(mDetector.onTargetReport(target, 30, LATE)).isFalse();
        }
        evaluate(LATE);

        assertThat(isRefused(HARMLESS)).isTrue();
    }

    /** Guards against reports that a suspended process reads together when it resumes. */
    @Test
    void reportsReceivedTogetherDoNotDisproveCrash() {
        loseAllPaths();

        for (int i = 0; i < 5; i++) {
            assertThat(mDetector.onTargetReport("a#1", 10 + i, 2 * LATE + i)).isFalse();
        }
        assertThat(mDetector.onTargetReport("a#1", 9, 2 * LATE + REPORT_MILLIS)).isFalse();
        evaluate(2 * LATE);

        assertThat(isRefused(HARMLESS)).isTrue();
    }

    /** Guards against a successor of the same id that is mistaken for the crashed target. */
    @Test
    void targetWithoutStartTimeDoesNotDisproveCrash() {
        crash("a", 0, HARMLESS);
        crash("b", 0, HARMLESS);
        crash("c", 0, HARMLESS);

        reportTwice("a", LATE);

        assertThat(isRefused(HARMLESS)).isTrue();
    }

    /** Guards against a disproved report that shields the target's real crash. */
    @Test
    void crashAfterDisprovedOneCounts() {
        loseAllPaths();
        reportTwice("a#1", LATE);
        reportTwice("b#1", LATE);
        reportTwice("c#1", LATE);

        long crashedAt = LATE + 5 * REPORT_MILLIS;
        crash("a#1", crashedAt, HARMLESS);
        crash("b#1", crashedAt, HARMLESS);
        assertThat(isRefused(HARMLESS)).isFalse();
        crash("c#1", crashedAt, HARMLESS);

        assertThat(isRefused(HARMLESS)).isTrue();
    }

    /** Guards against the withdrawal of a refusal for which enough crashes remain. */
    @Test
    void refusalRemainsWhileThreeCrashesAreCredible() {
        loseAllPaths();
        crash("d#1", 0, HARMLESS);

        reportTwice("a#1", LATE);
        assertThat(isRefused(HARMLESS)).isTrue();
        reportTwice("b#1", LATE);

        assertThat(isRefused(HARMLESS)).isFalse();
    }

    /** Guards against an entry that repeats its disproved reports to each control process. */
    @Test
    void repeatedReportOfDisprovedCrashChangesNothing() {
        loseAllPaths();
        reportTwice("a#1", LATE);
        reportTwice("b#1", LATE);
        reportTwice("c#1", LATE);

        assertThat(mDetector.onCrash(new TargetCrash("a#1", Set.of(HARMLESS), 0))).isFalse();
        evaluate(2 * LATE);

        assertThat(mDetector.suspects()).isEmpty();
    }

    /** Guards against a refusal that outlives its reason where only the refusal is known. */
    @Test
    void refusalOfAnotherInstanceIsWithdrawnOnceItsTargetsReportAgain() {
        mDetector.onSuspect(
                new Suspect(
                        HARMLESS,
                        Suspect.Standing.REFUSED,
                        Set.of("a#1", "b#1", "c#1"),
                        PoisonRequestDetector.FIRST_REFUSAL_MILLIS,
                        1));
        evaluate(0);
        assertThat(isRefused(HARMLESS)).isTrue();

        reportTwice("a#1", LATE);

        assertThat(isRefused(HARMLESS)).isFalse();
    }

    /** Guards against an entry that keeps a refusal which was withdrawn while it was away. */
    @Test
    void withdrawnRefusalThatIsReceivedAgainIsCleared() {
        loseAllPaths();
        Suspect refused = mLatest.get(HARMLESS);
        reportTwice("a#1", LATE);
        reportTwice("b#1", LATE);
        reportTwice("c#1", LATE);

        mDetector.onSuspect(refused);
        List<Suspect> changes = mDetector.evaluate(2 * LATE);

        assertThat(changes.stream().map(Suspect::standing).toList())
                .containsExactly(Suspect.Standing.CLEARED);
    }

    private void loseAllPaths() {
        crash("a#1", 0, HARMLESS);
        crash("b#1", 0, HARMLESS);
        crash("c#1", 0, HARMLESS);
    }

    private void reportTwice(String target, long at) {
        mDetector.onTargetReport(target, 20, at);
        mDetector.onTargetReport(target, 21, at + REPORT_MILLIS);
        evaluate(at + REPORT_MILLIS);
    }

    private static Set<RequestFingerprint> requests(Random random) {
        Set<RequestFingerprint> requests = new HashSet<>();
        for (int j = 0; j <= random.nextInt(3); j++) {
            requests.add(new RequestFingerprint(0, random.nextInt(5)));
        }
        return requests;
    }

    private static void report(PoisonRequestDetector detector, TargetCrash crash) {
        detector.onCrash(crash);
        detector.evaluate(1000);
    }

    private static Set<RequestFingerprint> refused(PoisonRequestDetector detector) {
        return detector.suspects().stream()
                .filter(suspect -> suspect.standing() == Suspect.Standing.REFUSED)
                .map(Suspect::request)
                .collect(Collectors.toSet());
    }

    private boolean isRefused(RequestFingerprint request) {
        Suspect suspect = mLatest.get(request);
        return suspect != null && suspect.standing() == Suspect.Standing.REFUSED;
    }

    private void crash(String target, long at, RequestFingerprint... requests) {
        mDetector.onCrash(new TargetCrash(target, Set.of(requests), at));
        evaluate(at);
    }

    private void evaluate(long now) {
        mDetector.evaluate(now).forEach(suspect -> mLatest.put(suspect.request(), suspect));
    }
}
