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

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.quilldyke.engine.TargetReport;

/** Checks whether a target that advertises a limit accepts requests of this instance. */
class TargetStateLimitTest {
    private static final InstanceRank ALONE = new InstanceRank(0, 1);

    private final TargetState mState =
            new TargetState(
                    new TargetReport("a", "s", "a:1", "z", "v1", 4, false, 0, Map.of("m", 1L), 1));

    @Test
    void onlySharersGetPermits() {
        receiveLimit(1, ALONE, 0);
        assertThat(mState.acceptsRequestsFor("s", 499)).isFalse();
        assertThat(mState.acceptsRequestsFor("s", 500)).isTrue();

        mState.onInstanceRank(InstanceRank.UNKNOWN, 0.5, 600);
        assertThat(mState.acceptsRequestsFor("s", 5000)).isFalse();
    }

    @Test
    void limitEndsWithAResponseWithoutOne() {
        receiveLimit(1, InstanceRank.UNKNOWN, 0);
        assertThat(mState.acceptsRequestsFor("s", 100)).isFalse();

        assertThat(receiveLimit(AdvertisedLimit.NONE, InstanceRank.UNKNOWN, 200)).isTrue();

        assertThat(mState.acceptsRequestsFor("s", 200)).isTrue();
    }

    @Test
    void olderLimitReceivedLateIsIgnored() {
        receiveLimit(1, InstanceRank.UNKNOWN, 100);

        assertThat(receiveLimit(AdvertisedLimit.NONE, InstanceRank.UNKNOWN, 90)).isFalse();

        assertThat(mState.acceptsRequestsFor("s", 200)).isFalse();
    }

    @Test
    void limitExpiresUnlessReceivedAgain() {
        receiveLimit(1, InstanceRank.UNKNOWN, 0);

        assertThat(mState.acceptsRequestsFor("s", AdvertisedLimit.VALID_MILLIS - 1)).isFalse();
        assertThat(mState.acceptsRequestsFor("s", AdvertisedLimit.VALID_MILLIS)).isTrue();
    }

    @Test
    void limitIsPublishedOnChangeAndPeriodically() {
        assertThat(receiveLimit(2, ALONE, 0)).isTrue();
        assertThat(receiveLimit(2.1, ALONE, 100)).isFalse();
        assertThat(receiveLimit(3, ALONE, 200)).isTrue();
        assertThat(receiveLimit(3, ALONE, 200 + AdvertisedLimit.REPUBLISH_INTERVAL_MILLIS - 1))
                .isFalse();
        assertThat(receiveLimit(3, ALONE, 200 + AdvertisedLimit.REPUBLISH_INTERVAL_MILLIS))
                .isTrue();
        assertThat(receiveLimit(AdvertisedLimit.NONE, ALONE, 30_000)).isTrue();
        assertThat(receiveLimit(AdvertisedLimit.NONE, ALONE, 90_000)).isFalse();
    }

    private boolean receiveLimit(double perSecond, InstanceRank rank, long at) {
        return mState.onLimit(new AdvertisedLimit("a", perSecond, at), rank, 0.5, at);
    }
}
