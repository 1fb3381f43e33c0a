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
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.quilldyke.QuilldykeException;
import org.quilldyke.caller.StreamCursor.Verdict;

class StreamCursorTest {
    private final StreamCursor mCursor = StreamCursor.create("r1");

    @Test
    void chunksAreAcceptedOnceAndInOrder() throws QuilldykeException {
        mCursor.startAttempt();

        assertThat(mCursor.accept(new ChunkId("r1", 1, 0))).isEqualTo(Verdict.NEXT);
        assertThat(mCursor.accept(new ChunkId("r1", 1, 0))).isEqualTo(Verdict.REPEATED);
        assertThat(mCursor.accept(new ChunkId("r1", 1, 2))).isEqualTo(Verdict.GAP);
        assertThat(mCursor.accept(new ChunkId("r1", 1, 1))).isEqualTo(Verdict.NEXT);
    }

    @Test
    void chunksOfOtherRequestsAndEarlierAttemptsAreCrossed() throws QuilldykeException {
        mCursor.startAttempt();
        mCursor.accept(new ChunkId("r1", 1, 0));
        mCursor.startAttempt();

        assertThat(mCursor.accept(new ChunkId("r1", 1, 1))).isEqualTo(Verdict.CROSSED);
        assertThat(mCursor.accept(new ChunkId("r2", 2, 1))).isEqualTo(Verdict.CROSSED);
        assertThat(mCursor.accept(null)).isEqualTo(Verdict.CROSSED);
        assertThat(mCursor.accept(new ChunkId("r1", 2, 1))).isEqualTo(Verdict.NEXT);
    }

    @Test
    void nextAttemptGetsANewNumberAfterReturningToAnEarlierOne() throws QuilldykeException {
        mCursor.startAttempt();
        mCursor.accept(new ChunkId("r1", 1, 0));
        mCursor.startAttempt();

        mCursor.returnToAttempt(1);

        assertThat(mCursor.accept(new ChunkId("r1", 2, 1))).isEqualTo(Verdict.CROSSED);
        assertThat(mCursor.accept(new ChunkId("r1", 1, 1))).isEqualTo(Verdict.NEXT);
        assertThat(mCursor.attempt()).isEqualTo(1);
        assertThat(mCursor.attemptsStarted()).isEqualTo(2);
        assertThat(mCursor.startAttempt()).isEqualTo(3);
    }

    @Test
    void chunkAfterTheEndIsRejected() throws QuilldykeException {
        mCursor.startAttempt();
        mCursor.accept(new ChunkId("r1", 1, 0));
        mCursor.finish();

        assertThrows(QuilldykeException.class, () -> mCursor.accept(new ChunkId("r1", 1, 1)));
    }

    @Test
    void idIsFormattedAndParsed() {
        ChunkId id = new ChunkId("entry-1/x-7", 3, 41);

        assertThat(ChunkId.parse(id.format())).isEqualTo(id);
        assertThat(ChunkId.parse("nonsense")).isNull();
        assertThat(ChunkId.parse("a/b/c")).isNull();
        assertThat(ChunkId.parse("/1/2")).isNull();
    }
}
