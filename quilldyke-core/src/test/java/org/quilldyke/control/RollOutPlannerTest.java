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
package org.quilldyke.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.quilldyke.QuilldykeException;
import org.quilldyke.engine.TargetRecord;

class RollOutPlannerTest {
    private final ControlState mState = ControlState.create();
    private final String[] mLoadedWeights = {"w1", "w1", "w1", "w1", "w1"};
    private long mIndex;

    @Test
    void twoEnginesLoadAtOnceUntilAllAreUpdated() throws QuilldykeException {
        startRollOut();
        int maxOpenOrders = 0;
        for (int round = 0; round < 40; round++) {
            applyNext(round);
            maxOpenOrders = Math.max(maxOpenOrders, plan().openOrders());
            finishOneLoad();
        }

        assertThat(maxOpenOrders).isEqualTo(2);
        assertThat(plan().state()).isEqualTo(Plan.State.DONE);
        assertThat(mState.configuration().models().get("lm").accepts("w1")).isFalse();
        assertThat(mLoadedWeights).asList().doesNotContain("w1");
    }

    @Test
    void bothVersionsAreAcceptedDuringTheRollOut() throws QuilldykeException {
        startRollOut();

        Configuration.Model model = mState.configuration().models().get("lm");

        assertThat(model.accepts("w1")).isTrue();
        assertThat(model.accepts("w2")).isTrue();
        assertThat(model.accepts("w3")).isFalse();
    }

    @Test
    void ordersHaveDifferentFencingNumbers() throws QuilldykeException {
        startRollOut();
        applyNext(0);

        List<Plan.Order> orders = new ArrayList<>(plan().orders().values());

        assertThat(orders).hasSize(2);
        assertThat(orders.get(0).fencing()).isNotEqualTo(orders.get(1).fencing());
    }

    @Test
    void engineThatNeverLoadsFailsThePlan() throws QuilldykeException {
        startRollOut();
        applyNext(0);

        applyNext(RollOutPlanner.ORDER_TIMEOUT_MILLIS + 1);

        assertThat(plan().state()).isEqualTo(Plan.State.FAILED);
        assertThat(plan().note()).contains("has not loaded w2");
    }

    /** Adds a model with weights w1 and starts to roll out w2, by plans with these numbers. */
    private void startRollOut() throws QuilldykeException {
        for (String weights : List.of("w1", "w2")) {
            Intent intent = new Intent.PutModel("lm", "lm", weights);
            apply(new Command.StateIntent(weights, "id", "op", intent, 5, 0));
            apply(new Command.ConfirmPlan(weights, 0));
        }
    }

    private void applyNext(long now) throws QuilldykeException {
        if (plan().state() != Plan.State.RUNNING) {
            return;
        }
        for (Command command : RollOutPlanner.nextCommands(plan(), liveTargets(), now)) {
            apply(command);
        }
    }

    private void finishOneLoad() {
        for (Plan.Order order : plan().orders().values()) {
            int engine = order.target().charAt(1) - '0';
            if (!order.done() && mLoadedWeights[engine].equals("w1")) {
                mLoadedWeights[engine] = order.weights();
                return;
            }
        }
    }

    private Plan plan() {
        return mState.plan("w2");
    }

    private List<TargetRecord> liveTargets() {
        List<TargetRecord> live = new ArrayList<>();
        for (int i = 0; i < mLoadedWeights.length; i++) {
            live.add(
                    new TargetRecord(
                            "e" + i,
                            TargetRecord.Kind.ENGINE,
                            "c",
                            "lm",
                            "127.0.0.1:1",
                            "d",
                            1,
                            1,
                            "lm",
                            mLoadedWeights[i],
                            8,
                            100,
                            true,
                            false));
        }
        return live;
    }

    private void apply(Command command) throws QuilldykeException {
        mState.apply(++mIndex, command);
    }
}
