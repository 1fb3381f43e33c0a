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
package org.quilldyke.tools.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.quilldyke.QuilldykeException;
import org.quilldyke.daemon.QuilldykeInstance;
import org.quilldyke.daemon.settings.SettingsReader;
import org.quilldyke.daemon.settings.Site;
import org.quilldyke.tools.LogSetup;

/** Runs one instance until SIGTERM, then shuts it down gracefully. */
@Parameters(commandDescription = "run one instance of a site until SIGTERM")
public final class RunCommand extends Command {
    @Parameter(names = "--settings", required = true, description = "the site's settings, JSON")
    private Path mSettings;

    @Parameter(names = "--instance", required = true, description = "which instance to be")
    private String mInstance;

    @Parameter(names = "--log", description = "a file for the events; by default standard output")
    private Path mLog;

    @Override
    public ExitCode run() throws QuilldykeException {
        Site site = SettingsReader.read(mSettings);
        if (mLog == null) {
            LogSetup.toConsole();
        } else {
            LogSetup.toFile(mLog);
        }
        QuilldykeInstance instance = QuilldykeInstance.start(site, mInstance);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    boolean drained = instance.shutdown();
                                    ExitCode code = drained ? ExitCode.OK : ExitCode.NOT_DRAINED;
                                    LogSetup.flush();
                                    // Else the status would tell of the signal, not of the drain.
                                    Runtime.getRuntime().halt(code.status());
                                }));
        System.out.println("serving on " + instance.self().traffic());
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.OK;
    }
}
