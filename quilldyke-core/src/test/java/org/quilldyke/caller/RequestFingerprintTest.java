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

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RequestFingerprintTest {
    @Test
    void sameCallerPathAndBodyGiveTheSameFingerprint() {
        assertThat(of("o", "/p", "body")).isEqualTo(of("o", "/p", "body"));
    }

    @Test
    void differentCallerPathOrBodyGivesAnotherFingerprint() {
        assertThat(Set.of(of("o", "/p", "b"), of("o2", "/p", "b"), of("o", "/p?q", "b")))
                .containsNoneOf(of("o", "/p", "b2"), of("", "/p", "b"));
        assertThat(of("ab", "c", "")).isNotEqualTo(of("a", "bc", ""));
    }

    @Test
    void bodyPositionIsUnchanged() {
        ByteBuffer body = ByteBuffer.wrap(new byte[] {1, 2});
        RequestFingerprint.of("o", "POST", "h", "/p", body);
        assertThat(body.remaining()).isEqualTo(2);
    }

    private static RequestFingerprint of(String organisation, String path, String body) {
        ByteBuffer bytes = ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8));
        return RequestFingerprint.of(organisation, "POST", "h", path, bytes);
    }
}
