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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.tools.bench.Capacity;
import org.quilldyke.tools.bench.CapacityPlots;
import org.quilldyke.tools.bench.Scale;
import org.quilldyke.tools.bench.Slope;

/** Works out what a deployment costs from measured slopes. */
@Parameters(commandDescription = "what a deployment of some size costs, from measured slopes")
public final class CapacityCommand extends Command {
    @Parameter(names = "--slopes", description = "output of bench slopes")
    private String mSlopes = "docs/slopes.jsonl";

    @Parameter(names = "--nodes", description = "entry instances")
    private double mNodes = 780;

    @Parameter(names = "--engines", description = "engines")
    private double mEngines = 4700;

    @Parameter(names = "--requests", description = "requests a second")
    private double mRequests = 41_000;

    @Parameter(names = "--tokens", description = "generated tokens a second")
    private double mTokens = 17e6;

    @Parameter(names = "--blocks", description = "cached blocks")
    private double mBlocks = 96e6;

    @Parameter(names = "--events", description = "cache events a second")
    private double mEvents = 7.1e6;

    @Parameter(names = "--organisations", description = "organisations")
    private double mOrganisations = 2300;

    @Parameter(names = "--changes", description = "changes of configuration a day")
    private double mChanges = 28_000;

    @Parameter(names = "--cell-engines", description = "engines in a cell")
    private double mCellEngines = 48;

    @Parameter(names = "--prompt-blocks", description = "blocks in a prompt")
    private double mPromptBlocks = 10;

    @Parameter(names = "--plots", description = "a folder to draw each limited line into, PNG")
    private String mPlots = "";

    @Parameter(names = "--json", description = "print JSON lines in place of a table")
    private boolean mJson;

    @Override
    public ExitCode run() throws QuilldykeException {
        Scale scale =
                new Scale(
                        mNodes,
                        mEngines,
                        mRequests,
                        mTokens,
                        mBlocks,
                        mEvents,
                        mOrganisations,
                        mChanges,
                        Math.min(mCellEngines, mEngines),
                        mPromptBlocks);
        List<Capacity.Line> lines = Capacity.lines(read(Path.of(mSlopes)), scale);
        if (!mPlots.isEmpty()) {
            draw(scale);
        }
        if (mJson) {
            lines.forEach(line -> System.out.println(Json.text(line)));
        } else {
            System.out.print(Capacity.table(lines));
        }
        return ExitCode.OK;
    }

    private void draw(Scale scale) throws QuilldykeException {
        try {
            CapacityPlots.draw(read(Path.of(mSlopes)), scale, Path.of(mPlots));
        } catch (IOException e) {
            throw QuilldykeException.of(ResultCode.INTERNAL, Outcome.UNKNOWN, e.toString(), e);
        }
    }

    /** Reads slopes by name, a JSON object a line. */
    static Map<String, Slope> read(Path file) throws QuilldykeException {
        Map<String, Slope> slopes = new HashMap<>();
        try {
            for (String line : Files.readAllLines(file)) {
                Slope slope = Json.decode(line.getBytes(StandardCharsets.UTF_8), Slope.class);
                slopes.put(slope.name(), slope);
            }
        } catch (IOException e) {
            throw QuilldykeException.of(
                    ResultCode.SETTINGS_UNREADABLE, Outcome.NOT_RUN, e.toString(), e);
        }
        return slopes;
    }
}
