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
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.quilldyke.tools.explain.Account;

/** Tells in plain words what became of a request, from the logs of several processes. */
@Parameters(commandDescription = "tell what became of a request; exit 1 if no log knows it")
public final class ExplainCommand extends Command {
    @Parameter(required = true, description = "REQUEST")
    private String mRequest;

    @Parameter(
            names = "--logs",
            required = true,
            variableArity = true,
            description = "logs of entry and control processes, in any order")
    private List<String> mLogs;

    @Override
    public ExitCode run() {
        List<String> lines = new ArrayList<>();
        for (String log : mLogs) {
            try {
                lines.addAll(Files.readAllLines(Path.of(log), StandardCharsets.UTF_8));
            } catch (IOException e) {
                System.err.println("cannot be read: " + e);
                return ExitCode.USAGE;
            }
        }
        Account account = Account.of(mRequest, lines);
        account.sentences().forEach(System.out::println);
        account.missing().forEach(what -> System.out.println("missing: " + what));
        return account.sentences().isEmpty() ? ExitCode.BROKEN : ExitCode.OK;
    }
}
