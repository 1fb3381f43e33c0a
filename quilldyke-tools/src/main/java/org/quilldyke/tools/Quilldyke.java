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

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.quilldyke.QuilldykeException;
import org.quilldyke.tools.command.BenchCommand;
import org.quilldyke.tools.command.CapacityCommand;
import org.quilldyke.tools.command.CheckCommand;
import org.quilldyke.tools.command.CheckSettingsCommand;
import org.quilldyke.tools.command.Command;
import org.quilldyke.tools.command.ConfirmCommand;
import org.quilldyke.tools.command.DemoCommand;
import org.quilldyke.tools.command.ExitCode;
import org.quilldyke.tools.command.ExplainCommand;
import org.quilldyke.tools.command.PlanCommand;
import org.quilldyke.tools.command.RolloutCommand;
import org.quilldyke.tools.command.RunCommand;
import org.quilldyke.tools.command.StandInCommand;
import org.quilldyke.tools.command.StatusCommand;
import org.quilldyke.tools.command.TargetsCommand;

/** The program: finds the command, runs it, and ends with its exit code. */
public final class Quilldyke {
    private Quilldyke() {}

    /** Runs a command and ends the process with its exit code. */
    public static void main(String[] args) {
        ExitCode code = run(args);
        LogSetup.flush();
        System.exit(code.status());
    }

    /** Runs a command and returns its exit code. */
    static ExitCode run(String... args) {
        Map<String, Command> commands = commands();
        JCommander parser = JCommander.newBuilder().programName("quilldyke").build();
        commands.forEach(parser::addCommand);
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.err.println("try: quilldyke --help, or quilldyke COMMAND --help");
            return ExitCode.USAGE;
        }
        String name = parser.getParsedCommand();
        if (name == null) {
            parser.usage();
            return args.length == 0 ? ExitCode.USAGE : ExitCode.OK;
        }
        Command command = commands.get(name);
        if (command.isHelpWanted()) {
            parser.getUsageFormatter().usage(name);
            return ExitCode.OK;
        }
        try {
            return command.run();
        } catch (QuilldykeException e) {
            System.err.println(e.getMessage());
            return ExitCode.of(e.code());
        }
    }

    private static Map<String, Command> commands() {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("run", new RunCommand());
        commands.put("check-settings", new CheckSettingsCommand());
        commands.put("plan", new PlanCommand());
        commands.put("confirm", new ConfirmCommand());
        commands.put("status", new StatusCommand());
        commands.put("targets", new TargetsCommand());
        commands.put("rollout", new RolloutCommand());
        commands.put("explain", new ExplainCommand());
        commands.put("demo", new DemoCommand());
        commands.put("check", new CheckCommand());
        commands.put("bench", new BenchCommand());
        commands.put("capacity", new CapacityCommand());
        commands.put("stand-in", new StandInCommand());
        return commands;
    }
}
