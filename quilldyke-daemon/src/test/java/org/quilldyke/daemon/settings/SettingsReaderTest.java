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
package org.quilldyke.daemon.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;

class SettingsReaderTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @ParameterizedTest
    @ValueSource(strings = {"brazos", "winterthal"})
    void exampleSitesAreGood(String name) throws Exception {
        Site site = SettingsReader.read(EXAMPLES.resolve(name).resolve("site.json"));

        assertThat(site.instances().size()).isIn(com.google.common.collect.Range.closed(9, 11));
        assertThat(site.replicas()).hasSize(3);
        assertThat(site.replicas().stream().map(Site.Instance::failureDomain).distinct().count())
                .isEqualTo(3);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"cell\"|\"colour\": 1, \"cell\"|SETTINGS_UNKNOWN_KEY|colour",
                "\"cell\": \"brazos-central\",||SETTINGS_MISSING_KEY|cell",
                "\"attempts\": 3|\"attempts\": \"3\"|SETTINGS_TYPE|limits.attempts",
                "\"attempts\": 3|\"attempts\": 3.5|SETTINGS_TYPE|limits.attempts",
                "\"attempts\": 3|\"attempts\": null|SETTINGS_TYPE|limits.attempts",
                "\"attempts\": 3|\"attempts\": 0|SETTINGS_IMPOSSIBLE|limits.attempts",
                "\"REUSE\"|\"CHEAP\"|SETTINGS_TYPE|weights",
                "127.0.1.2:8080|127.0.1.1:8080|SETTINGS_IMPOSSIBLE|instances[1].traffic",
                "127.0.1.2:8080|localhost:8080|SETTINGS_IMPOSSIBLE|instances[1].traffic",
                "127.0.1.2:8080|127.0.1.2:99999|SETTINGS_IMPOSSIBLE|instances[1].traffic",
                "127.0.1.2:8080|300.0.1.1:8080|SETTINGS_IMPOSSIBLE|instances[1].traffic",
                "data/brazos/entry-2||SETTINGS_IMPOSSIBLE|instances[1].dataFolder",
                "data/brazos/entry-2|data/brazos/entry-1|SETTINGS_IMPOSSIBLE|instances[1]",
                "brazos-entry-2|brazos-entry-1|SETTINGS_IMPOSSIBLE|instances[1].id",
                "[\"ENTRY\", \"CONTROL\"]|[\"ENTRY\"]|SETTINGS_IMPOSSIBLE|instances has 2 replicas",
                "[\"ENTRY\", \"CONTROL\"]|[]|SETTINGS_IMPOSSIBLE|instances[0].roles",
                "[\"ENTRY\", \"CONTROL\"]|[\"ROUTER\"]|SETTINGS_TYPE|instances[0].roles",
                "\"suspicion\": 2500|\"suspicion\": 500|SETTINGS_IMPOSSIBLE|timings.suspicion",
                "\"limits\"|\"limits|SETTINGS_SYNTAX|''"
            })
    void mistakesAreRefusedWithTheirPath(String from, String to, ResultCode code, String path)
            throws Exception {
        String good = Files.readString(EXAMPLES.resolve("brazos").resolve("site.json"));
        assertThat(good).contains(from);
        int at = good.indexOf(from);
        String bad =
                good.substring(0, at) + (to == null ? "" : to) + good.substring(at + from.length());

        QuilldykeException e =
                assertThrows(
                        QuilldykeException.class,
                        () -> SettingsReader.parse(bad.getBytes(StandardCharsets.UTF_8)));

        assertThat(e.code()).isEqualTo(code);
        assertThat(e.getMessage()).contains(path);
    }

    @Test
    void missingFileIsUnreadable() {
        QuilldykeException e =
                assertThrows(
                        QuilldykeException.class, () -> SettingsReader.read(Path.of("no-such")));

        assertThat(e.code()).isEqualTo(ResultCode.SETTINGS_UNREADABLE);
    }
}
