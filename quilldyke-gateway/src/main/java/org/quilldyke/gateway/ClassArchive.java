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

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Whether this process uses the archive of classes that the build made.
 *
 * <p>The Java machine goes on without an archive that doesn't belong to its jars, and a start then
 * takes more than twice as long. Only the list of mapped files shows it.
 */
public enum ClassArchive {
    /** The archive is mapped. */
    USED,
    /** The process loads its classes from the jars. */
    MISSING,
    /** The list of mapped files can't be read. */
    UNKNOWN;

    private static final Path MAPPED_FILES = Path.of("/proc/self/maps");

    /** The archive's name, as the build gives it. */
    private static final String NAME = "/quilldyke.jsa";

    /** Returns the state of this process. */
    public static ClassArchive ofThisProcess() {
        return of(MAPPED_FILES);
    }

    static ClassArchive of(Path mappedFiles) {
        try {
            String mapped = Files.readString(mappedFiles, StandardCharsets.ISO_8859_1);
            return mapped.contains(NAME) ? USED : MISSING;
        } catch (IOException e) {
            return UNKNOWN;
        }
    }
}
