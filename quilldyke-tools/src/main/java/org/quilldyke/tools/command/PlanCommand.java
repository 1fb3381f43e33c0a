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
import org.quilldyke.ResultCode;
import org.quilldyke.control.Intent;
import org.quilldyke.daemon.caller.CallerHeaders;
import org.quilldyke.tools.client.OperatorClient;

/** States an intent and shows the plan, which changes nothing until it is confirmed. */
@Parameters(
        commandDescription =
                "state an intent and show its plan: organisation NAME | model NAME | retire TARGET"
                        + " | restore TARGET")
public final class PlanCommand extends OperatorCommand {
    @Parameter(
            required = true,
            description = "organisation NAME | model NAME | retire TARGET | restore TARGET")
    private List<String> mIntent;

    @Parameter(names = "--number", required = true, description = "your number for this intent")
    private String mNumber;

    @Parameter(names = "--operator", required = true, description = "your name")
    private String mOperator;

    @Parameter(
            names = "--intent-id",
            description = "the same for each resend; by default number and operator")
    private String mIntentId = "";

    @Parameter(names = "--caller-token", description = "organisation: a token, sent as its hash")
    private String mCallerToken = "";

    @Parameter(names = "--max-concurrent", description = "organisation: open requests, 0 = any")
    private int mMaxConcurrent;

    @Parameter(names = "--service", description = "model: the service whose engines run it")
    private String mService = "";

    @Parameter(names = "--weights", description = "model: the weight version")
    private String mWeights = "";

    @Override
    OperatorClient.Reply call(OperatorClient operator) throws QuilldykeException {
        String id = mIntentId.isEmpty() ? mNumber + "/" + mOperator : mIntentId;
        return operator.state(mNumber, id, mOperator, intent());
    }

    private Intent intent() throws QuilldykeException {
        String kind = mIntent.get(0);
        String name = mIntent.size() == 2 ? mIntent.get(1) : "";
        return switch (kind) {
            case "organisation" ->
                    new Intent.PutOrganisation(
                            name, List.of(CallerHeaders.sha256(mCallerToken)), mMaxConcurrent);
            case "model" -> new Intent.PutModel(name, mService, mWeights);
            case "retire" -> new Intent.SetRetired(name, true);
            case "restore" -> new Intent.SetRetired(name, false);
            default -> throw QuilldykeException.notRun(ResultCode.INTENT_INVALID, kind);
        };
    }
}
