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
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.daemon.json.JsonTree;
import org.quilldyke.testkit.check.Breaks;
import org.quilldyke.testkit.check.CheckReport;
import org.quilldyke.testkit.check.ClusterRun;

/** Runs the state machines under faults for long; exit 1 on any violation. */
@Parameters(commandDescription = "run the state machines under faults and check their promises")
public final class CheckCommand extends Command {
    private static final String LOG = "log";
    private static final String ALL = "all";

    @Parameter(names = "--part", description = "log (replicated log, configuration, plans, claims)")
    private String mPart = ALL;

    @Parameter(names = "--seeds", description = "A-B, both included")
    private String mSeeds = "1-10";

    @Parameter(names = "--steps", description = "messages, ticks and faults for each seed")
    private long mSteps = 100_000;

    @Parameter(names = "--replicas", description = "3 or 5")
    private int mReplicas = 3;

    @Parameter(
            names = "--break",
            description = "a deliberate break, to see that it is caught; for trials only")
    private Breaks mBreak = Breaks.NONE;

    @Parameter(names = "--json", description = "print the result as one JSON object")
    private boolean mJson;

    @Override
    public ExitCode run() throws QuilldykeException {
        if (!mPart.equals(LOG) && !mPart.equals(ALL)) {
            throw QuilldykeException.notRun(ResultCode.BAD_HEADER, "no such part: " + mPart);
        }
        Range seeds = Range.parse(mSeeds);
        Map<String, Long> counts = new TreeMap<>();
        long steps = 0;
        long startedAt = System.nanoTime();
        for (long seed = seeds.first(); seed <= seeds.last(); seed++) {
            CheckReport report = ClusterRun.run(mReplicas, seed, mSteps, mBreak);
            report.counts().forEach((name, n) -> counts.merge(name, n, Long::sum));
            steps += report.steps();
            if (!report.isGood()) {
                printViolation(report);
                return ExitCode.BROKEN;
            }
        }
        double seconds = (System.nanoTime() - startedAt) / 1e9;
        ObjectNode out = JsonTree.object();
        out.put("part", mPart).put("seeds", mSeeds).put("steps", steps).put("violations", 0);
        out.put("steps_a_minute", Math.round(steps / seconds * 60));
        out.set("counts", Json.treeOf(counts));
        System.out.println(mJson ? out.toString() : out.toPrettyString());
        return ExitCode.OK;
    }

    private void printViolation(CheckReport report) {
        if (mJson) {
            ObjectNode out = JsonTree.object();
            out.put("part", report.part()).put("seed", report.seed());
            out.put("steps", report.steps()).put("violations", report.violations().size());
            out.put("first", report.violations().get(0));
            out.put("repeat", report.repeatCommand(mSteps));
            System.out.println(out);
            return;
        }
        report.trace().forEach(System.out::println);
        report.violations().forEach(violation -> System.out.println("VIOLATION " + violation));
        System.out.println("repeat with: " + report.repeatCommand(mSteps));
    }
}
