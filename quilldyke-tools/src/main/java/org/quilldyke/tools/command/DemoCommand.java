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
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.tools.LogSetup;
import org.quilldyke.tools.demo.Demo;
import org.quilldyke.tools.demo.DemoReport;
import org.quilldyke.tools.demo.DemoSite;
import org.quilldyke.tools.demo.SampleRecords;

/** Runs a whole site in this process, with faults, and checks what was promised. */
@Parameters(commandDescription = "run a whole site on loopback, with faults, and check it")
public final class DemoCommand extends Command {
    private static final int INSTANCES = 6;
    private static final int REPLICAS = 3;

    @Parameter(names = "--seed", description = "draws organisations, records and questions")
    private long mSeed = 1;

    @Parameter(names = "--requests", description = "prompts to send")
    private int mRequests = 240;

    @Parameter(names = "--json", description = "print the report as one JSON object")
    private boolean mJson;

    @Parameter(names = "--keep", description = "leave the site up afterwards, until interrupted")
    private boolean mKeep;

    @Parameter(names = "--records", description = "folder with the sample texts")
    private Path mRecords = Path.of("examples", "records");

    @Override
    public ExitCode run() throws QuilldykeException {
        try {
            Path folder = Files.createTempDirectory("quilldyke-demo-");
            return run(folder);
        } catch (IOException e) {
            throw QuilldykeException.of(ResultCode.INTERNAL, Outcome.UNKNOWN, e.toString(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
    }

    private ExitCode run(Path folder) throws IOException, QuilldykeException, InterruptedException {
        PrintStream progress = mJson ? System.err : System.out;
        progress.println("files and log in " + folder);
        LogSetup.toFile(folder.resolve("quilldyke.log"));
        DemoSite site = DemoSite.plan(INSTANCES, REPLICAS, folder);
        SampleRecords records = SampleRecords.read(mRecords);
        try (Demo demo = Demo.of(site, records, progress, mRequests, mSeed)) {
            DemoReport report = demo.run();
            if (mJson) {
                System.out.println(report.toJson());
            } else {
                report.print(System.out);
            }
            if (mKeep) {
                demo.curlLines().forEach(progress::println);
                new CountDownLatch(1).await();
            }
            return report.isGood() ? ExitCode.OK : ExitCode.BROKEN;
        } finally {
            site.stop();
        }
    }
}
