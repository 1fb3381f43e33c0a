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
import org.quilldyke.QuilldykeException;
import org.quilldyke.tools.client.ApiClient;
import org.quilldyke.tools.client.OperatorClient;

/** What the operators' commands have in common: an instance and a token. */
abstract class OperatorCommand extends Command {
    @Parameter(
            names = "--at",
            required = true,
            description = "any instance's traffic address, IP:port")
    private String mAt;

    @Parameter(names = "--token", required = true, description = "the operators' token")
    private String mToken;

    @Override
    public ExitCode run() throws QuilldykeException {
        try (ApiClient client = ApiClient.open()) {
            OperatorClient.Reply reply = call(OperatorClient.at(client, mAt, mToken));
            System.out.println(reply.body().toPrettyString());
            return reply.isOk() ? ExitCode.OK : ExitCode.FAILED;
        }
    }

    /** Makes the call; its reply is printed. */
    abstract OperatorClient.Reply call(OperatorClient operator) throws QuilldykeException;
}
