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

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An archive that doesn't belong to the jars isn't mapped, and nothing else shows it. */
class ClassArchiveTest {
    private static final String LINE =
            "7fffa5000000-7fffa5800000 rw-p 00001000 fe:00 1321 /srv/target/";

    @TempDir Path mFolder;

    @Test
    void mappedArchiveIsUsed() throws Exception {
        assertThat(stateFor(LINE + "quilldyke.jsa\n")).isEqualTo(ClassArchive.USED);
    }

    @Test
    void archiveOfTheJavaMachineAloneIsNotOurs() throws Exception {
        assertThat(stateFor(LINE + "classes.jsa\n")).isEqualTo(ClassArchive.MISSING);
    }

    @Test
    void unreadableListLeavesItOpen() {
        assertThat(ClassArchive.of(mFolder.resolve("none"))).isEqualTo(ClassArchive.UNKNOWN);
    }

    private ClassArchive stateFor(String maps) throws Exception {
        return ClassArchive.of(Files.writeString(mFolder.resolve("maps"), maps));
    }
}
