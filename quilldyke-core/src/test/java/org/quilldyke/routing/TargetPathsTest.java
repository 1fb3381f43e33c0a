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
package org.quilldyke.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TargetPathsTest {
    private static final long CONTACT_MILLIS = 3000;
    private static final long TICK_MILLIS = 100;
    private static final long PROBE_MILLIS = 400;

    private final TargetPaths mPaths = TargetPaths.create();

    /** Probes that wait for their outcome, and when they time out. */
    private final Map<String, Long> mOpenProbes = new HashMap<>();

    private final List<String> mCut = new ArrayList<>();
    private int mProbes;
    private long mNow = 100_000;

    @BeforeEach
    void addTargets() {
        for (int i = 0; i < 6; i++) {
            mPaths.onTarget("e" + i, "engines");
        }
        for (int i = 0; i < 4; i++) {
            mPaths.onTarget("a" + i, "application");
        }
    }

    @Test
    void silenceOfAllTargetsOfAServiceIsAPartition() {
        cutService("e", 6);
        mPaths.onSent("e0", mNow);

        advance(1500);

        assertThat(mPaths.isPartitioned("engines")).isTrue();
        assertThat(mPaths.isPartitioned("application")).isFalse();
        assertThat(mPaths.isLost("e5")).isTrue();
        assertThat(mPaths.isLost("a0")).isFalse();
    }

    @Test
    void partitionIsKnownWithinTheBoundOnContactFromOneRequestOn() {
        cutService("e", 6);
        advance(1500);
        mPaths.onSent("e3", mNow);

        advance(CONTACT_MILLIS - 1500);

        assertThat(mPaths.isPartitioned("engines")).isTrue();
    }

    @Test
    void failureOfOneTargetIsNoPartition() {
        mCut.add("e0");
        mPaths.onConnectionFailed("e0", mNow);

        advance(2000);

        assertThat(mPaths.isLost("e0")).isTrue();
        assertThat(mPaths.isPartitioned("engines")).isFalse();
        assertThat(mPaths.isLost("e1")).isFalse();
    }

    @Test
    void failureOfTwoTargetsIsNoPartitionWhileAnotherOneAnswersProbes() {
        mCut.addAll(List.of("e0", "e1"));
        mPaths.onConnectionFailed("e0", mNow);
        advance(1000);
        mPaths.onConnectionFailed("e1", mNow);

        for (int i = 0; i < 20; i++) {
            advance(TICK_MILLIS);
            assertThat(mPaths.isPartitioned("engines")).isFalse();
        }
    }

    @Test
    void onlyTargetOfAServiceIsAPartitionByItself() {
        mPaths.onTarget("solo", "other");
        mCut.add("solo");
        mPaths.onConnectionFailed("solo", mNow);

        advance(500);

        assertThat(mPaths.isPartitioned("other")).isTrue();
    }

    @Test
    void silentTargetIsNotProbedWhileAnotherOneSends() {
        mPaths.onSent("e0", mNow);
        for (int i = 0; i < 20; i++) {
            mPaths.onData("a1", mNow);
            advance(TICK_MILLIS);
        }

        assertThat(mProbes).isEqualTo(0);
    }

    @Test
    void silentTargetThatAnswersProbesIsNotLost() {
        mPaths.onSent("e0", mNow);

        advance(1200);

        assertThat(mPaths.lostCount()).isEqualTo(0);
        assertThat(mProbes).isAtMost(2);
    }

    @Test
    void soundTargetThatIsSilentForASecondIsUsedAgainSoon() {
        mCut.add("e0");
        mPaths.onSent("e0", mNow);
        advance(1000);
        mCut.clear();

        advance(700);

        assertThat(mPaths.lostCount()).isEqualTo(0);
        assertThat(mPaths.isPartitioned()).isFalse();
    }

    @Test
    void requestThatEndsUnansweredIsEvidence() {
        cutService("a", 4);
        mPaths.onSent("a0", mNow);
        advance(550);
        mPaths.onClosed("a0", false, mNow);

        advance(1000);

        assertThat(mPaths.isPartitioned("application")).isTrue();
    }

    @Test
    void resetConnectionsAreEvidence() {
        cutService("a", 4);
        mPaths.onSent("a0", mNow);
        mPaths.onClosed("a0", true, mNow);

        advance(700);

        assertThat(mPaths.isPartitioned("application")).isTrue();
    }

    @Test
    void answeredProbeEndsThePartition() {
        cutService("e", 6);
        mPaths.onSent("e0", mNow);
        advance(4000);
        mCut.clear();

        advance(600);

        assertThat(mPaths.isPartitioned("engines")).isFalse();
        assertThat(mPaths.lostCount()).isEqualTo(0);
    }

    @Test
    void targetThatStaysOutOfReachIsLostAgainAfterThePartition() {
        cutService("e", 6);
        mPaths.onSent("e0", mNow);
        advance(4000);
        mCut.removeIf(target -> !target.equals("e2"));

        advance(1200);

        assertThat(mPaths.isPartitioned("engines")).isFalse();
        assertThat(mPaths.isLost("e2")).isTrue();
        assertThat(mPaths.lostCount()).isEqualTo(1);
    }

    @Test
    void probesOfAPartitionAreSpaced() {
        cutService("e", 6);
        mPaths.onSent("e0", mNow);
        advance(2000);
        mProbes = 0;

        advance(10_000);

        assertThat(mProbes).isAtMost(40);
        assertThat(mProbes).isAtLeast(10);
    }

    @Test
    void targetThatIsNewDuringAPartitionIsTriedDirectly() {
        cutService("e", 6);
        mPaths.onSent("e0", mNow);
        advance(2000);

        mPaths.onTarget("e9", "engines");

        assertThat(mPaths.isLost("e9")).isFalse();

        mPaths.onData("e9", mNow);

        assertThat(mPaths.isPartitioned("engines")).isFalse();
        assertThat(mPaths.isLost("e0")).isTrue();
    }

    @Test
    void serviceWithoutTargetsIsNoPartition() {
        cutService("a", 4);
        mPaths.onSent("a0", mNow);
        advance(2000);

        for (int i = 0; i < 4; i++) {
            mPaths.onRemoved("a" + i);
        }

        assertThat(mPaths.isPartitioned()).isFalse();
    }

    private void cutService(String prefix, int targets) {
        for (int i = 0; i < targets; i++) {
            mCut.add(prefix + i);
        }
    }

    private void advance(long millis) {
        for (long end = mNow + millis; mNow < end; mNow += TICK_MILLIS) {
            for (String target : List.copyOf(mOpenProbes.keySet())) {
                if (!mCut.contains(target)) {
                    mOpenProbes.remove(target);
                    mPaths.onProbeAnswered(target, mNow);
                } else if (mNow >= mOpenProbes.get(target)) {
                    mOpenProbes.remove(target);
                    mPaths.onProbeFailed(target, mNow);
                }
            }
            for (String target : mPaths.startProbes(mNow)) {
                mProbes++;
                mOpenProbes.put(target, mNow + PROBE_MILLIS);
            }
        }
    }
}
