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
import java.util.Set;
import org.junit.jupiter.api.Test;

class RelayChoiceTest {
    private final RelayChoice mChoice = RelayChoice.create();

    @Test
    void preferredRelayIsUsedUntilItHasMoreOpenThanOthers() {
        mChoice.onOffer("c1", List.of("near", "far"), 0);
        for (int i = 0; i < RelayChoice.PREFERENCE_REQUESTS; i++) {
            assertThat(mChoice.choose(Set.of(), 0)).hasValue("near");
            mChoice.onOpened("near");
        }
        mChoice.onOpened("near");

        assertThat(mChoice.choose(Set.of(), 0)).hasValue("far");
    }

    @Test
    void failedRelayIsNotUsedForAWhile() {
        mChoice.onOffer("c1", List.of("a"), 0);
        mChoice.onFailed("a", 100);

        assertThat(mChoice.isAvailable(100 + RelayChoice.FAILED_MILLIS - 1)).isFalse();
        assertThat(mChoice.isAvailable(100 + RelayChoice.FAILED_MILLIS)).isTrue();
    }

    @Test
    void offersOfSeveralControlProcessesAddUp() {
        mChoice.onOffer("c1", List.of("a"), 0);
        mChoice.onOffer("c2", List.of("b"), 0);
        mChoice.onOffer("c1", List.of(), 0);

        assertThat(mChoice.choose(Set.of(), 0)).hasValue("b");
    }

    @Test
    void offerThatIsNotRenewedExpires() {
        mChoice.onOffer("c1", List.of("a"), 0);
        mChoice.onOffer("c2", List.of(), RelayChoice.OFFER_MILLIS);

        assertThat(mChoice.isAvailable(RelayChoice.OFFER_MILLIS)).isFalse();
    }

    @Test
    void excludedRelaysAreNotChosen() {
        mChoice.onOffer("c1", List.of("a", "b"), 0);

        assertThat(mChoice.choose(Set.of("a"), 0)).hasValue("b");
        assertThat(mChoice.choose(Set.of("a", "b"), 0)).isEmpty();
    }
}
