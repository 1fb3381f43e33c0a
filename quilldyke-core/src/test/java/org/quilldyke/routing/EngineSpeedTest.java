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

import org.junit.jupiter.api.Test;

/** How an instance learns the rate of prefill of an engine. */
class EngineSpeedTest {
    private static final int TOKENS = 3000;
    private static final CostModel MODEL = CostModel.withAttention();

    private final EngineSpeed.ServiceSpeed mService = new EngineSpeed.ServiceSpeed();
    private final EngineSpeed mSpeed = EngineSpeed.measured(mService);

    /** Guards against an engine that becomes slow and still gets prompts by its former rate. */
    @Test
    void rateFollowsWithinTenSamples() {
        for (int i = 0; i < 10; i++) {
            sample(mSpeed, 4, i);
        }

        assertThat(mSpeed.factor(10)).isWithin(0.8).of(4);
        assertThat(mSpeed.prefillMillis(TOKENS, 10))
                .isWithin(0.01)
                .of(mSpeed.factor(10) * MODEL.prefillMillis(0, TOKENS));
    }

    /** Guards against a single prompt that waited unseen making an engine look slow. */
    @Test
    void oneSlowSampleMovesTheRateLittle() {
        for (int i = 0; i < 100; i++) {
            sample(mSpeed, 1.3, i);
        }
        double before = mSpeed.factor(100);
        sample(mSpeed, 30, 100);

        assertThat(before).isWithin(0.02).of(1.3);
        assertThat(mSpeed.factor(100) / before).isLessThan(1.25);
    }

    /** Guards against rates outside the bounds, whatever is measured. */
    @Test
    void rateIsBounded() {
        for (int i = 0; i < 200; i++) {
            sample(mSpeed, 100, i);
        }
        assertThat(mSpeed.factor(200)).isAtMost(EngineSpeed.MAX_FACTOR);
        for (int i = 0; i < 400; i++) {
            sample(mSpeed, 0, i);
        }
        assertThat(mSpeed.factor(400)).isAtLeast(EngineSpeed.MIN_FACTOR);
    }

    /** Guards against an engine that is avoided permanently because no request is sent to it. */
    @Test
    void differenceFromTheServiceHalvesInTenSeconds() {
        EngineSpeed other = EngineSpeed.measured(mService);
        for (int i = 0; i < 10; i++) {
            sample(mSpeed, 3, i);
        }
        double mean = Math.log(other.factor(9));
        double difference = Math.log(mSpeed.factor(9)) - mean;

        assertThat(difference).isGreaterThan(0.2);
        assertThat(Math.log(mSpeed.factor(10_009)) - mean).isWithin(0.01).of(difference / 2);
    }

    /** Guards against a new incarnation that starts with the standard rate in a slow service. */
    @Test
    void newIncarnationStartsWithTheMeanOfItsService() {
        for (int i = 0; i < 200; i++) {
            sample(mSpeed, 1.5, i);
        }

        assertThat(EngineSpeed.measured(mService).factor(200)).isWithin(0.05).of(1.5);
        assertThat(EngineSpeed.standard().factor(200)).isEqualTo(1);
    }

    /** Guards against rates learned from prompts that waited, were fetched or are too short. */
    @Test
    void promptsThatSayLittleAreNoSamples() {
        Choice fetched = choice(TOKENS, 1000);
        Choice shortPrompt = choice(400, 0);
        Choice waiting = choice(TOKENS, 0);
        Choice ended = choice(TOKENS, 0);
        mSpeed.onDispatch(fetched, true, 0, 0);
        mSpeed.onDispatch(shortPrompt, true, 0, 0);
        mSpeed.onDispatch(waiting, false, 0, 0);
        mSpeed.onDispatch(ended, true, 0, 0);
        mSpeed.onFinished(ended);

        assertThat(mSpeed.onFirstEvent(fetched, 5000, 1)).isEqualTo(0);
        assertThat(mSpeed.onFirstEvent(shortPrompt, 5000, 1)).isEqualTo(0);
        assertThat(mSpeed.onFirstEvent(waiting, 5000, 1)).isEqualTo(0);
        assertThat(mSpeed.onFirstEvent(ended, 5000, 1)).isEqualTo(0);
        assertThat(mSpeed.factor(1)).isEqualTo(1);
    }

    /** Guards against counting a slow engine's time as its rate and as a delay as well. */
    @Test
    void whatTheNewRateExplainsIsReturned() {
        Choice choice = choice(TOKENS, 0);
        double before = mSpeed.prefillMillis(TOKENS, 0);
        mSpeed.onDispatch(choice, true, 0, 0);
        double explained = mSpeed.onFirstEvent(choice, 300, 0);

        assertThat(explained).isWithin(0.01).of(mSpeed.prefillMillis(TOKENS, 0) - before);
        assertThat(explained).isGreaterThan(0.0);
    }

    /** Guards against a cost of attention that differs from the page's by more than a tenth. */
    @Test
    void attentionGrowsWithTheSquareOfTheLength() {
        CostModel model = MODEL.withPrefillFactor(50 / 40.8);

        assertThat(model.prefillMillis(0, 9200) - 9200 / 40.8).isWithin(2).of(20);
        assertThat(model.prefillMillis(0, 40_000) - 40_000 / 40.8).isWithin(40).of(400);
        assertThat(model.prefillMillis(0, 6300) + model.prefillMillis(6300, 2900))
                .isWithin(0.01)
                .of(model.prefillMillis(0, 9200));
    }

    private static void sample(EngineSpeed speed, double factor, long now) {
        Choice choice = choice(TOKENS, 0);
        double prefillMillis = speed.prefillMillis(TOKENS, now);
        speed.onDispatch(choice, true, 0, now);
        double otherMillis = choice.expectedMillis() - prefillMillis;
        long measured = Math.round(otherMillis + factor * MODEL.prefillMillis(0, TOKENS));
        speed.onFirstEvent(choice, measured, now);
    }

    private static Choice choice(int missing, int fetched) {
        return new Choice("e", "e:1", 1, "", 0, missing, fetched, "", "", 90, 90, "", 0, false);
    }
}
