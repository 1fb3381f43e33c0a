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
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.engine.BlockChain;
import org.quilldyke.engine.LoadReport;
import org.quilldyke.engine.TargetRecord;

class RouterTest {
    private static final BlockChain CHAIN = BlockChain.ofKeys(new long[] {1, 2, 3}, 12_500);

    private final PrefixIndex mIndex = PrefixIndex.create();
    private final LoadTable mLoads = LoadTable.create(100);
    private final Router mRouter = Router.create(CostProfile.LATENCY, mIndex, mLoads);

    @Test
    void targetWithCachedPrefixIsChosen() throws QuilldykeException {
        mIndex.onIncarnation("e2", 1);
        mIndex.onDispatch("e2", 1, CHAIN);

        Decision decision = mRouter.decide(candidates(3), false);

        assertThat(decision.target().id()).isEqualTo("e2");
        assertThat(decision.reason()).isEqualTo(Decision.Reason.CACHED);
        assertThat(decision.cachedUnits()).isEqualTo(12_000);
        assertThat(decision.predictedMillis()).isEqualTo(5);
    }

    @Test
    void longQueueOutweighsTheCache() throws QuilldykeException {
        mIndex.onIncarnation("e2", 1);
        mIndex.onDispatch("e2", 1, CHAIN);
        mLoads.onReport("e2", new LoadReport(1, 4, 2, 400_000, 9), 0);

        Decision decision = mRouter.decide(candidates(3), false);

        assertThat(decision.target().id()).isNotEqualTo("e2");
    }

    @Test
    void routersWithEmptyIndexesAgreeOnATarget() throws QuilldykeException {
        Router other =
                Router.create(CostProfile.LATENCY, PrefixIndex.create(), LoadTable.create(100));

        String chosen = mRouter.decide(candidates(6), false).target().id();
        String chosenByOther = other.decide(candidates(6), false).target().id();

        assertThat(chosenByOther).isEqualTo(chosen);
    }

    @Test
    void ownDispatchesCountUntilAReportIncludesThem() throws QuilldykeException {
        mLoads.onDispatch("e1", 1, 500_000, 1000);
        assertThat(mLoads.queuedUnits("e1")).isEqualTo(500_000);

        mLoads.onReport("e1", new LoadReport(1, 0, 0, 0, 0), 1050);
        assertThat(mLoads.queuedUnits("e1")).isEqualTo(500_000);

        mLoads.onReport("e1", new LoadReport(1, 1, 0, 300_000, 1), 1200);
        assertThat(mLoads.queuedUnits("e1")).isEqualTo(300_000);
        mLoads.onEnd("e1", 1);
        assertThat(mLoads.requests("e1")).isEqualTo(1);
    }

    @Test
    void noTargetFailsAsNotRun() {
        QuilldykeException e =
                assertThrows(QuilldykeException.class, () -> mRouter.decide(List.of(), false));

        assertThat(e.code()).isEqualTo(ResultCode.NO_TARGET);
        assertThat(e.outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(e.retryAfterMillis()).isGreaterThan(0);
    }

    @Test
    void requestLimitFailsAsOverloaded() {
        for (int i = 0; i < 32; i++) {
            mLoads.onDispatch("e1", i, 1, 0);
        }

        QuilldykeException e =
                assertThrows(QuilldykeException.class, () -> mRouter.decide(candidates(1), false));

        assertThat(e.code()).isEqualTo(ResultCode.OVERLOADED);
    }

    @Test
    void plainServiceRequestsAreBalanced() throws QuilldykeException {
        List<TargetRecord> targets = List.of(target("s1"), target("s2"), target("s3"));
        for (int i = 0; i < 30; i++) {
            Decision decision = mRouter.decideByLoad(targets, i);
            mLoads.onDispatch(decision.target().id(), i, 0, 0);
        }

        for (TargetRecord target : targets) {
            assertThat(mLoads.requests(target.id())).isEqualTo(10);
        }
    }

    private static List<Candidate> candidates(int count) {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            candidates.add(new Candidate(target("e" + i), CHAIN));
        }
        return candidates;
    }

    private static TargetRecord target(String id) {
        return new TargetRecord(
                id,
                TargetRecord.Kind.ENGINE,
                "c",
                "lm",
                "127.0.0.1:1",
                "d",
                1,
                1,
                "lm",
                "w1",
                8,
                100,
                true,
                false);
    }
}
