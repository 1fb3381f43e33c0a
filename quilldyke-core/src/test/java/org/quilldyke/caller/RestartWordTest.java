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

import org.junit.jupiter.api.Test;

class RestartWordTest {
    private static final long TOLD_AT = 10_000;
    private static final long JUDGED = RestartWord.JUDGED_MILLIS;
    private final RestartWord mWord = new RestartWord(TOLD_AT);

    @Test
    void silenceBeforeItDoesNotCount() {
        assertThat(mWord.believedAt(0)).isEqualTo(TOLD_AT + JUDGED);
        assertThat(mWord.believedAt(TOLD_AT)).isEqualTo(TOLD_AT + JUDGED);
    }

    @Test
    void whatWasOnItsWayPutsItOff() {
        long heardAt = TOLD_AT + JUDGED - 1;

        assertThat(mWord.isWrong(heardAt)).isFalse();
        assertThat(mWord.believedAt(heardAt)).isEqualTo(heardAt + JUDGED);
    }

    @Test
    void isWrongOfATargetThatGoesOn() {
        assertThat(mWord.isWrong(0)).isFalse();
        assertThat(mWord.isWrong(TOLD_AT + JUDGED)).isTrue();
    }
}
