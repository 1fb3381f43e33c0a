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

/** Who is found to crash targets, and who isn't. */
class CrashLedgerTest {
    private static final RequestFingerprint CRASHING = new RequestFingerprint(1, 1);
    private static final RequestFingerprint HARMLESS = new RequestFingerprint(2, 2);

    private final CrashLedger mLedger = CrashLedger.create();
    private final Map<RequestFingerprint, Suspect> mTold = new HashMap<>();

    @Test
    void requestIsRefusedFromItsThirdCrashOn() {
        crash("a", 0, CRASHING);
        crash("b", 100, CRASHING);
        assertThat(isRefused(CRASHING)).isFalse();

        crash("c", 200, CRASHING);

        assertThat(isRefused(CRASHING)).isTrue();
        assertThat(mTold.get(CRASHING).targets()).containsExactly("a", "b", "c");
        assertThat(mTold.get(CRASHING).until()).isEqualTo(200 + CrashLedger.FIRST_REFUSAL_MILLIS);
    }

    @Test
    void oneCrashThatSeveralInstancesTellOfCountsOnce() {
        crash("a", 0, CRASHING);
        crash("a", 5, CRASHING, HARMLESS);
        crash("a", 9, HARMLESS);

        crash("b", 100, CRASHING);

        assertThat(isRefused(CRASHING)).isFalse();
    }

    @Test
    void requestThatWasThereByChanceIsNotBlamed() {
        crash("a", 0, CRASHING);
        crash("b", 100, CRASHING, HARMLESS);
        crash("c", 200, CRASHING, HARMLESS);
        crash("d", 300, CRASHING, HARMLESS);

        assertThat(isRefused(CRASHING)).isTrue();
        assertThat(isRefused(HARMLESS)).isFalse();
    }

    @Test
    void requestThatCannotBeToldFromTheCauseIsSparedOnceItCan() {
        crash("a", 0, CRASHING, HARMLESS);
        crash("b", 100, CRASHING, HARMLESS);
        crash("c", 200, CRASHING, HARMLESS);
        assertThat(isRefused(HARMLESS)).isTrue();

        crash("d", 300, CRASHING);

        assertThat(isRefused(HARMLESS)).isFalse();
        assertThat(isRefused(CRASHING)).isTrue();
    }

    @Test
    void requestThatRanToItsEndIsNotBlamed() {
        mLedger.onCompleted(HARMLESS, 1000);
        crash("a", 1000 + CrashLedger.HARMLESS_MILLIS, HARMLESS);
        crash("b", 2000, HARMLESS);
        crash("c", 2100, HARMLESS);
        crash("d", 2200, HARMLESS);

        assertThat(isRefused(HARMLESS)).isFalse();
    }

    @Test
    void requestThatRunsToItsEndLaterIsServedAgain() {
        crash("a", 0, HARMLESS);
        crash("b", 100, HARMLESS);
        crash("c", 200, HARMLESS);
        assertThat(isRefused(HARMLESS)).isTrue();

        mLedger.onCompleted(HARMLESS, 300);
        conclude(310);

        assertThat(isRefused(HARMLESS)).isFalse();
        assertThat(mLedger.suspects()).isEmpty();
    }

    @Test
    void requestThatRanLongAgoMayCrashTargetsNow() {
        mLedger.onCompleted(CRASHING, 0);
        long now = CrashLedger.HARMLESS_MILLIS + 1;
        crash("a", now, CRASHING);
        crash("b", now, CRASHING);
        crash("c", now, CRASHING);

        assertThat(isRefused(CRASHING)).isTrue();
    }

    @Test
    void oneMoreCrashAfterTheTimeOfARefusalMakesALongerOne() {
        crash("a", 0, CRASHING);
        crash("b", 0, CRASHING);
        crash("c", 0, CRASHING);
        crash("late", 50, CRASHING);
        assertThat(mTold.get(CRASHING).refusals()).isEqualTo(1);

        long tried = CrashLedger.FIRST_REFUSAL_MILLIS + 10;
        crash("d", tried, CRASHING);

        Suspect again = mTold.get(CRASHING);
        assertThat(again.refusals()).isEqualTo(2);
        assertThat(again.until() - tried).isGreaterThan(CrashLedger.FIRST_REFUSAL_MILLIS);
    }

    @Test
    void refusalsGrowUpToABound() {
        crash("a", 0, CRASHING);
        crash("b", 0, CRASHING);
        crash("c", 0, CRASHING);
        for (int i = 0; i < 20; i++) {
            long tried = mTold.get(CRASHING).until();
            crash("x" + i, tried, CRASHING);
            assertThat(mTold.get(CRASHING).until() - tried)
                    .isAtMost(CrashLedger.LONGEST_REFUSAL_MILLIS);
        }
    }

    @Test
    void secondCauseIsFoundOnceTheFirstIsRefused() {
        RequestFingerprint other = new RequestFingerprint(3, 3);
        crash("a", 0, CRASHING, other);
        crash("b", 0, CRASHING);
        crash("c", 0, CRASHING, other);
        crash("d", 0, CRASHING);
        crash("e", 100, other);
        crash("f", 200, other);

        crash("g", 300, other);

        assertThat(isRefused(other)).isTrue();
        assertThat(isRefused(CRASHING)).isTrue();
    }

    @Test
    void refusalThatAnotherInstanceHoldsIsTaken() {
        Suspect told =
                new Suspect(CRASHING, Suspect.Standing.REFUSED, Set.of("a", "b", "c"), 10_000, 1);

        assertThat(mLedger.onSuspect(told)).isTrue();
        assertThat(mLedger.onSuspect(told)).isFalse();
        conclude(0);

        assertThat(isRefused(CRASHING)).isTrue();
    }

    @Test
    void refusalOfWhatHasRunSinceIsNotTaken() {
        mLedger.onCompleted(HARMLESS, 500);
        mLedger.onSuspect(
                new Suspect(HARMLESS, Suspect.Standing.REFUSED, Set.of("a", "b", "c"), 10_000, 1));
        conclude(600);

        assertThat(isRefused(HARMLESS)).isFalse();
    }

    @Test
    void instancesThatTellEachOtherAllConcludeTheSame() {
        for (int seed = 1; seed <= 500; seed++) {
            Random random = new Random(seed);
            List<TargetCrash> crashes = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                crashes.add(new TargetCrash("t" + random.nextInt(8), requests(random), 100 * i));
            }
            RequestFingerprint completed = new RequestFingerprint(0, random.nextInt(5));
            CrashLedger one = CrashLedger.create();
            CrashLedger other = CrashLedger.create();
            crashes.forEach(crash -> take(one, crash));
            one.onCompleted(completed, 300);
            one.conclude(1000);
            Collections.shuffle(crashes, random);
            other.onCompleted(completed, 300);
            crashes.forEach(crash -> take(other, crash));

            one.suspects().forEach(other::onSuspect);
            other.suspects().forEach(one::onSuspect);
            one.conclude(1000);
            other.conclude(1000);

            assertThat(refused(one)).isEqualTo(refused(other));
        }
    }

    @Test
    void evidenceIsBounded() {
        for (int i = 0; i < 3 * CrashLedger.MAX_CRASHES; i++) {
            Set<RequestFingerprint> requests = new HashSet<>();
            for (int j = 0; j < 2 * CrashLedger.MAX_REQUESTS_OF_A_CRASH; j++) {
                requests.add(new RequestFingerprint(i, j));
            }
            mLedger.onCrash(new TargetCrash("t" + i, requests, i));
            mLedger.onCompleted(new RequestFingerprint(i, i), i);
        }

        assertThat(mLedger.crashes()).hasSize(CrashLedger.MAX_CRASHES);
        assertThat(mLedger.crashes().get(0).requests().size())
                .isAtMost(CrashLedger.MAX_REQUESTS_OF_A_CRASH);
        assertThat(mLedger.completions().size()).isAtMost(CrashLedger.MAX_REQUESTS);
    }

    @Test
    void thousandRequestsThatCrashTargetsAreRefusedAndKeptInBounds() {
        for (int i = 0; i < 1200; i++) {
            RequestFingerprint request = new RequestFingerprint(i, 0);
            for (int j = 0; j < CrashLedger.CRASHES; j++) {
                mLedger.onCrash(new TargetCrash("t" + i + "-" + j, Set.of(request), i));
            }
            conclude(i);
            assertThat(isRefused(request)).isTrue();
        }

        assertThat(mLedger.suspects().size()).isAtMost(CrashLedger.MAX_REQUESTS);
        assertThat(isRefused(new RequestFingerprint(1199, 0))).isTrue();
        assertThat(isRefused(new RequestFingerprint(300, 0))).isTrue();
    }

    private static Set<RequestFingerprint> requests(Random random) {
        Set<RequestFingerprint> requests = new HashSet<>();
        for (int j = 0; j <= random.nextInt(3); j++) {
            requests.add(new RequestFingerprint(0, random.nextInt(5)));
        }
        return requests;
    }

    private static void take(CrashLedger ledger, TargetCrash crash) {
        ledger.onCrash(crash);
        ledger.conclude(1000);
    }

    private static Set<RequestFingerprint> refused(CrashLedger ledger) {
        return ledger.suspects().stream()
                .filter(suspect -> suspect.standing() == Suspect.Standing.REFUSED)
                .map(Suspect::request)
                .collect(Collectors.toSet());
    }

    private boolean isRefused(RequestFingerprint request) {
        Suspect told = mTold.get(request);
        return told != null && told.standing() == Suspect.Standing.REFUSED;
    }

    private void crash(String target, long at, RequestFingerprint... requests) {
        mLedger.onCrash(new TargetCrash(target, Set.of(requests), at));
        conclude(at);
    }

    private void conclude(long now) {
        mLedger.conclude(now).forEach(suspect -> mTold.put(suspect.request(), suspect));
    }
}
