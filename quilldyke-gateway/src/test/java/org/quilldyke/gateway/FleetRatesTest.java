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
package org.quilldyke.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.lang.reflect.Field;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.quilldyke.gateway.instance.TellingRates;

/** The page that says who tells whom what, and how often, says what the code does. */
class FleetRatesTest {
    private static final Path PAGE = Path.of("..", "docs", "PLATFORM-DESIGN.md");
    private static final Pattern ROW =
            Pattern.compile("^\\|.*\\| `(\\w+)\\.([A-Z_]+)` \\| (\\d+) \\|$");
    private static final List<String> PACKAGES =
            List.of(
                    "org.quilldyke.gateway.caller",
                    "org.quilldyke.gateway.control",
                    "org.quilldyke.gateway.instance",
                    "org.quilldyke.quota",
                    "org.quilldyke.routing");

    @Test
    void tableHasTheCodesConstants() throws Exception {
        Set<String> told = new HashSet<>();
        for (String line : Files.readAllLines(PAGE)) {
            Matcher row = ROW.matcher(line);
            if (row.matches()) {
                told.add(row.group(1) + "." + row.group(2));
                assertWithMessage(line)
                        .that(constant(row.group(1), row.group(2)))
                        .isEqualTo(Long.parseLong(row.group(3)));
            }
        }
        for (Field rate : TellingRates.class.getDeclaredFields()) {
            assertThat(told).contains("TellingRates." + rate.getName());
        }
        assertThat(told)
                .containsAtLeast(
                        "StreamLink.BEAT_MILLIS",
                        "TargetReplication.LIVENESS_REPORT_MILLIS",
                        "TargetReplication.REFRESH_MILLIS",
                        "EntrySessions.LOADS_REFRESH_MILLIS",
                        "ControlNode.HEARTBEAT_MILLIS");
    }

    private static long constant(String type, String name) throws Exception {
        for (String part : PACKAGES) {
            Class<?> found;
            try {
                found = Class.forName(part + "." + type);
            } catch (ClassNotFoundException e) {
                // It is in another of the packages, or nowhere: told below.
                continue;
            }
            Field field = found.getDeclaredField(name);
            field.setAccessible(true);
            return field.getLong(null);
        }
        throw new AssertionError("no class " + type);
    }
}
