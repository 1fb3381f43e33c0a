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
import org.quilldyke.QuilldykeException;
import org.quilldyke.daemon.settings.SettingsReader;
import org.quilldyke.daemon.settings.Site;

/** Checks a settings file as {@code run} would. */
@Parameters(commandDescription = "check a settings file; exit 4 with the key's path if refused")
public final class CheckSettingsCommand extends Command {
    @Parameter(required = true, description = "FILE")
    private String mFile;

    @Override
    public ExitCode run() throws QuilldykeException {
        Site site = SettingsReader.read(Path.of(mFile));
        System.out.printf(
                "good: cell %s, %d instances, %d replicas%n",
                site.cell(), site.instances().size(), site.replicas().size());
        return ExitCode.OK;
    }
}
