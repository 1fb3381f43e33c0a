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

import org.junit.jupiter.api.Test;
import org.quilldyke.engine.TargetRecord;

class TargetTableTest {
    private final TargetTable mTable = TargetTable.create("cell-1");

    @Test
    void leaseExpiresWithoutRenewal() {
        mTable.accept(record(1, 1, false), 1000);

        assertThat(mTable.expire(999)).isEmpty();
        assertThat(mTable.expire(1000)).hasSize(1);
        assertThat(mTable.find("e1")).isNull();
    }

    @Test
    void lateRecordDoesNotRestoreLapsedTarget() {
        mTable.accept(record(1, 5, false), 1000);
        mTable.expire(1000);

        assertThat(mTable.accept(record(1, 4, false), 5000)).isEqualTo(TargetTable.Change.NONE);
        assertThat(mTable.accept(record(1, 6, false), 5000)).isEqualTo(TargetTable.Change.JOINED);
    }

    @Test
    void leavingNeedsPropagation() {
        mTable.accept(record(1, 1, false), 1000);

        TargetTable.Change change = mTable.accept(record(1, 2, true), 2000);

        assertThat(change).isEqualTo(TargetTable.Change.UPDATED);
        assertThat(change.needsPropagation()).isTrue();
        assertThat(mTable.accept(record(1, 1, false), 9000)).isEqualTo(TargetTable.Change.NONE);
        assertThat(mTable.find("e1").leaving()).isTrue();
    }

    @Test
    void restartIsDistinguishedFromRenewal() {
        mTable.accept(record(1, 9, false), 1000);

        assertThat(mTable.accept(record(1, 10, false), 2000)).isEqualTo(TargetTable.Change.RENEWED);
        assertThat(mTable.accept(record(2, 1, false), 2000))
                .isEqualTo(TargetTable.Change.RESTARTED);
    }

    @Test
    void renewalOfUnknownTargetRequestsFullRecord() {
        assertThat(mTable.renew("e1", 1, 2, 1000)).isFalse();
        mTable.accept(record(1, 1, false), 1000);

        assertThat(mTable.renew("e1", 1, 2, 3000)).isTrue();
        assertThat(mTable.expire(1500)).isEmpty();
        assertThat(mTable.renew("e1", 2, 1, 3000)).isFalse();
    }

    @Test
    void targetsOfOtherCellsAreIgnored() {
        TargetTable other = TargetTable.create("cell-2");

        assertThat(other.accept(record(1, 1, false), 1000)).isEqualTo(TargetTable.Change.NONE);
    }

    private static TargetRecord record(long incarnation, long sequence, boolean leaving) {
        return new TargetRecord(
                "e1",
                TargetRecord.Kind.ENGINE,
                "cell-1",
                "lm",
                "127.0.0.1:1",
                "d",
                incarnation,
                sequence,
                "lm",
                "w1",
                8,
                100,
                true,
                leaving);
    }
}
