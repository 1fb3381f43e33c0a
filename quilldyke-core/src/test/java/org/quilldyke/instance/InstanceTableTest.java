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
package org.quilldyke.instance;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.quilldyke.instance.InstanceTable.Status;

class InstanceTableTest {
    private final InstanceTable mTable =
            InstanceTable.create(List.of("b", "c", "d", "e"), 1000, 1500, 0);

    @Test
    void leaderIsLearnedFromOtherInstances() {
        mTable.onHeartbeat(state("b", 1, 200, "c"), 10_000);

        assertThat(mTable.leader()).isEqualTo("c");
        assertThat(mTable.leaderAgeMillis(10_000)).isEqualTo(200);
        assertThat(mTable.status(10_000)).isEqualTo(Status.CONNECTED);
    }

    @Test
    void instanceWithoutHeartbeatsIsCutOff() {
        mTable.onHeartbeat(state("b", 1, 0, "c"), 10_000);

        assertThat(mTable.status(12_000)).isEqualTo(Status.CUT_OFF);
        assertThat(mTable.status(12_000).mayServe()).isFalse();
    }

    @Test
    void majorityWithoutLeaderMeansControlDown() {
        mTable.onHeartbeat(state("b", 1, 60_000, "c"), 100_000);
        mTable.onHeartbeat(state("c", 1, 60_000, ""), 100_000);

        assertThat(mTable.status(100_500)).isEqualTo(Status.CONTROL_DOWN);
        assertThat(mTable.status(100_500).mayServe()).isTrue();
    }

    @Test
    void minorityWithoutLeaderIsCutOff() {
        mTable.onHeartbeat(state("b", 1, 60_000, "c"), 100_000);

        assertThat(mTable.status(100_500)).isEqualTo(Status.CUT_OFF);
    }

    @Test
    void restartIsDetectedByIncarnation() {
        assertThat(mTable.onHeartbeat(state("b", 5, 0, "c"), 100)).isTrue();
        assertThat(mTable.onHeartbeat(state("b", 5, 0, "c"), 200)).isFalse();
        assertThat(mTable.onHeartbeat(state("b", 6, 0, "c"), 300)).isTrue();
        assertThat(mTable.onHeartbeat(state("b", 5, 0, "c"), 400)).isFalse();
        assertThat(mTable.alive(400).get(0).incarnation()).isEqualTo(6);
    }

    private static InstanceState state(String id, long incarnation, long leaderAge, String leader) {
        return new InstanceState(id, "d", incarnation, 1, leaderAge, false, leader);
    }
}
