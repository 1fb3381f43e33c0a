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

import java.util.Optional;
import org.junit.jupiter.api.Test;

class StreamOriginsTest {
    private final StreamOrigins mOrigins = StreamOrigins.create();

    @Test
    void attemptOfAnotherOrganisationOrServiceIsNotFound() {
        mOrigins.add(origin("a", "org", "v1", 0), 0);

        assertThat(version("a", "org", "s", 10)).isEqualTo(Optional.of("v1"));
        assertThat(version("a", "other", "s", 10)).isEqualTo(Optional.empty());
        assertThat(version("a", "org", "t", 10)).isEqualTo(Optional.empty());
        assertThat(version("b", "org", "s", 10)).isEqualTo(Optional.empty());
    }

    @Test
    void firstReportOfAnAttemptCounts() {
        mOrigins.add(origin("a", "org", "v1", 0), 0);
        mOrigins.add(origin("a", "org", "v2", 5), 5);

        assertThat(version("a", "org", "s", 10)).isEqualTo(Optional.of("v1"));
    }

    @Test
    void originsExpire() {
        mOrigins.add(origin("a", "org", "v1", 0), 0);
        mOrigins.add(origin("b", "org", "v1", 100), 100);
        long expiry = StreamOrigin.RETENTION_MILLIS;

        assertThat(version("a", "org", "s", expiry - 1)).isEqualTo(Optional.of("v1"));
        assertThat(version("a", "org", "s", expiry)).isEqualTo(Optional.empty());
        assertThat(mOrigins.newest(10, expiry)).containsExactly(origin("b", "org", "v1", 100));
    }

    private Optional<String> version(
            String attempt, String organisation, String service, long now) {
        return mOrigins.find(attempt, organisation, service, now)
                .map(StreamOrigin::softwareVersion);
    }

    private static StreamOrigin origin(
            String attempt, String organisation, String version, long at) {
        return new StreamOrigin(attempt, organisation, "s", version, at);
    }
}
