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
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.testkit.bench.BenchResult;
import org.quilldyke.testkit.bench.Policy;
import org.quilldyke.testkit.bench.RoutingBench;
import org.quilldyke.testkit.bench.SiteModel;
import org.quilldyke.tools.LogSetup;
import org.quilldyke.tools.bench.RelayBench;
import org.quilldyke.tools.bench.Slope;
import org.quilldyke.tools.bench.SlopesBench;

/** Measures the real code. */
@Parameters(commandDescription = "measure: relay | routing | slopes")
public final class BenchCommand extends Command {
    @Parameter(required = true, description = "relay | routing | slopes")
    private String mKind;

    @Parameter(names = "--requests", description = "relay: requests of each round")
    private int mRequests = 20_000;

    @Parameter(names = "--concurrency", description = "relay: requests open at once")
    private int mConcurrency = 48;

    @Parameter(names = "--prompt-chars", description = "relay: length of each prompt")
    private int mPromptChars = 200;

    @Parameter(names = "--site", description = "routing: brazos | winterthal")
    private String mSite = "brazos";

    @Parameter(names = "--policy", description = "routing: a policy's name, or all")
    private String mPolicy = "all";

    @Parameter(names = "--seeds", description = "routing: A-B, both included")
    private String mSeeds = "1-3";

    @Parameter(names = "--faults", description = "routing: none | mixed")
    private String mFaults = "none";

    @Parameter(names = "--load", description = "routing: the rate as a share of capacity")
    private double mLoad = 0.8;

    @Parameter(names = "--json", description = "print one line")
    private boolean mJson;

    @Override
    public ExitCode run() throws QuilldykeException {
        if (mKind.equals("routing")) {
            routing();
            return ExitCode.OK;
        }
        if (!mKind.equals("relay") && !mKind.equals("slopes")) {
            throw QuilldykeException.notRun(ResultCode.BAD_HEADER, "no such bench: " + mKind);
        }
        try {
            Path folder = Files.createTempDirectory("quilldyke-bench-");
            LogSetup.toFile(folder.resolve("quilldyke.log"));
            if (mKind.equals("slopes")) {
                for (Slope slope : SlopesBench.in(folder).run()) {
                    System.out.println(Json.text(slope));
                }
                return ExitCode.OK;
            }
            try (RelayBench bench = RelayBench.start(folder, mPromptChars)) {
                print(bench.run(mRequests, mConcurrency));
            }
            return ExitCode.OK;
        } catch (IOException e) {
            throw QuilldykeException.of(ResultCode.INTERNAL, Outcome.UNKNOWN, e.toString(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
    }

    private void routing() throws QuilldykeException {
        SiteModel site = SiteModel.valueOf(mSite.toUpperCase(Locale.ROOT));
        Range seeds = Range.parse(mSeeds);
        for (Policy policy : Policy.values()) {
            String name = policy.name().toLowerCase(Locale.ROOT).replace('_', '-');
            if (!mPolicy.equals("all") && !mPolicy.equals(name)) {
                continue;
            }
            for (long seed = seeds.first(); seed <= seeds.last(); seed++) {
                BenchResult result =
                        RoutingBench.run(site, policy, seed, mFaults.equals("mixed"), mLoad);
                System.out.println(Json.text(result));
            }
        }
    }

    private void print(ObjectNode result) {
        System.out.println(mJson ? result.toString() : result.toPrettyString());
    }
}
