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
import java.util.List;
import org.quilldyke.QuilldykeException;
import org.quilldyke.tools.client.ApiClient;
import org.quilldyke.tools.client.OperatorClient;

/**
 * Orders a rollout of a software version, or shows the latest one of a service.
 *
 * <p>It needs no token: control processes don't check any.
 */
@Parameters(
        commandDescription =
                "order a rollout, or show the latest one: start SERVICE VERSION --duration SECONDS"
                        + " | status SERVICE")
public final class RolloutCommand extends Command {
    @Parameter(required = true, description = "start SERVICE VERSION | status SERVICE")
    private List<String> mWords;

    @Parameter(
            names = "--at",
            required = true,
            description = "any control process's address, IP:port")
    private String mAt;

    @Parameter(
            names = "--duration",
            description = "start: the seconds within which it is completed or reverted")
    private double mSeconds;

    @Override
    public ExitCode run() throws QuilldykeException {
        boolean start = mWords.size() == 3 && mWords.get(0).equals("start") && mSeconds > 0;
        boolean status = mWords.size() == 2 && mWords.get(0).equals("status");
        if (!start && !status) {
            System.err.println("try: quilldyke rollout --help");
            return ExitCode.USAGE;
        }
        try (ApiClient client = ApiClient.open()) {
            OperatorClient operator = OperatorClient.at(client, mAt, "");
            OperatorClient.Reply reply =
                    start
                            ? operator.startRollout(mWords.get(1), mWords.get(2), mSeconds)
                            : operator.rollout(mWords.get(1));
            System.out.println(reply.body().toPrettyString());
            return reply.isOk() ? ExitCode.OK : ExitCode.FAILED;
        }
    }
}
