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
package org.quilldyke.tools;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.tinylog.configuration.Configuration;
import org.tinylog.provider.ProviderRegistry;

/** Sets up tinylog; to be called before the first line is written. */
public final class LogSetup {
    private static final String FORMAT = "{date: yyyy-MM-dd'T'HH:mm:ss.SSS} {level} {message}";

    private LogSetup() {}

    /** Writes events to standard output. */
    public static void toConsole() {
        Map<String, String> settings = common();
        settings.put("writer", "console");
        settings.put("writer.stream", "out");
        Configuration.replace(settings);
    }

    /** Writes events to a file that is started anew at 200 MB; four old ones are kept. */
    public static void toFile(Path file) {
        Map<String, String> settings = common();
        settings.put("writer", "rolling file");
        settings.put("writer.file", file + ".{count}");
        settings.put("writer.policies", "size: 200mb");
        settings.put("writer.backups", "4");
        settings.put("writer.buffered", "true");
        Configuration.replace(settings);
    }

    /** Writes out what is still waiting, before the process ends. */
    public static void flush() {
        try {
            ProviderRegistry.getLoggingProvider().shutdown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, String> common() {
        Map<String, String> settings = new HashMap<>();
        settings.put("writer.format", FORMAT);
        settings.put("writer.level", "info");
        settings.put("writingthread", "true");
        settings.put("autoshutdown", "false");
        settings.put("level", "info");
        return settings;
    }
}
