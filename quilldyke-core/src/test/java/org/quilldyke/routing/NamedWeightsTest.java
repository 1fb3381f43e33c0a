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

class NamedWeightsTest {
    /** A new version every few seconds must not keep the oldest weights in use indefinitely. */
    @Test
    void weightsAreOutdatedSinceTheFirstNewerVersion() {
        NamedWeights named = NamedWeights.create();
        named.onNamed("m", 2, 1000);
        named.onNamed("m", 3, 5000);
        named.onNamed("m", 2, 8000);

        assertThat(named.newest("m")).isEqualTo(3);
        assertThat(named.outdatedMillis("m", 1, 9000)).isEqualTo(8000);
        assertThat(named.outdatedMillis("m", 2, 9000)).isEqualTo(4000);
        assertThat(named.outdatedMillis("m", 3, 9000)).isEqualTo(0);
        assertThat(named.outdatedMillis("other", 1, 9000)).isEqualTo(0);
    }
}
