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
package org.quilldyke.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.control.Command;
import org.quilldyke.control.CommandResult;
import org.quilldyke.control.Intent;
import org.quilldyke.daemon.caller.CallerHeaders;
import org.quilldyke.daemon.caller.Responses;
import org.quilldyke.daemon.control.ControlClient;
import org.quilldyke.daemon.instance.CellNode;
import org.quilldyke.daemon.json.Json;
import org.quilldyke.daemon.json.JsonTree;
import org.quilldyke.daemon.log.EventLog;
import org.quilldyke.daemon.routing.CellView;
import org.quilldyke.daemon.settings.Site;
import org.quilldyke.engine.TargetRecord;
import org.quilldyke.instance.InstanceState;

/** Serves operators at any instance; the control group decides. */
public final class OperatorServlet {
    private static final int BODY_BYTES = 1 << 20;

    private final Site mSite;
    private final CellNode mCell;
    private final Reactor mCellReactor;
    private final ControlClient mControl;
    private final LongSupplier mWallClock;
    private final EventLog mLog;

    private OperatorServlet(
            Site site,
            CellNode cell,
            Reactor cellReactor,
            ControlClient control,
            LongSupplier wallClock,
            EventLog log) {
        mSite = site;
        mCell = cell;
        mCellReactor = cellReactor;
        mControl = control;
        mWallClock = wallClock;
        mLog = log;
    }

    /**
     * Returns a servlet.
     *
     * @param site holds the operators' token hash
     * @param cell what is known here
     * @param cellReactor the control thread
     * @param control proposes commands
     * @param wallClock milliseconds since the epoch
     * @param log where faults go
     */
    public static OperatorServlet create(
            Site site,
            CellNode cell,
            Reactor cellReactor,
            ControlClient control,
            LongSupplier wallClock,
            EventLog log) {
        return new OperatorServlet(site, cell, cellReactor, control, wallClock, log);
    }

    /** Serves {@code POST /operator/intents}: makes a plan. */
    public Promise<HttpResponse> state(HttpRequest request) {
        return guarded(
                request,
                () ->
                        request.loadBody(BODY_BYTES)
                                .map(b -> Json.decode(b.getArray(), StatedIntent.class))
                                .then(this::propose));
    }

    /** Serves {@code POST /operator/plans/:number/confirm}. */
    public Promise<HttpResponse> confirm(HttpRequest request) {
        String number = request.getPathParameter("number");
        return guarded(
                request, () -> propose(new Command.ConfirmPlan(number, mWallClock.getAsLong())));
    }

    /** Serves {@code GET /operator/plans/:number}. */
    public Promise<HttpResponse> plan(HttpRequest request) {
        String number = request.getPathParameter("number");
        return guarded(
                request, () -> propose(new Command.ReadPlan(number, mWallClock.getAsLong())));
    }

    /** Serves {@code GET /operator/status}. */
    public Promise<HttpResponse> status(HttpRequest request) {
        return guarded(
                request,
                () -> Promise.ofFuture(onCell(this::statusBody)).map(b -> Responses.json(200, b)));
    }

    /** Serves {@code GET /operator/targets}. */
    public Promise<HttpResponse> targets(HttpRequest request) {
        return guarded(request, () -> Promise.of(Responses.json(200, targetsBody())));
    }

    private Promise<HttpResponse> propose(StatedIntent stated) throws QuilldykeException {
        if (stated.number().isBlank() || stated.intentId().isBlank()) {
            throw QuilldykeException.notRun(
                    ResultCode.INTENT_INVALID, "number and intentId must not be empty");
        }
        int engines = 0;
        for (TargetRecord target : mCell.view().targets()) {
            engines += target.kind() == TargetRecord.Kind.ENGINE ? 1 : 0;
        }
        return propose(
                new Command.StateIntent(
                        stated.number(),
                        stated.intentId(),
                        stated.operator(),
                        stated.intent(),
                        engines,
                        mWallClock.getAsLong()));
    }

    private Promise<HttpResponse> propose(Command command) {
        return Promise.ofFuture(mControl.propose(command)).map(OperatorServlet::response);
    }

    private static HttpResponse response(CommandResult result) {
        ObjectNode body = JsonTree.object();
        body.put("code", result.code().label());
        body.put("meaning", result.code().meaning());
        body.put("detail", result.detail());
        body.put("outcome", result.isOk() ? Outcome.RAN.label() : Outcome.NOT_RUN.label());
        body.put("version", result.version());
        if (result.plan() != null) {
            body.set("plan", Json.treeOf(result.plan()));
        }
        return Responses.json(result.code().httpStatus(), body);
    }

    private ObjectNode statusBody() {
        ObjectNode body = JsonTree.object();
        CellView view = mCell.view();
        InstanceState self = mCell.self();
        body.put("instance", self.id());
        body.put("cell", mSite.cell());
        body.put("standing", view.standing().name());
        body.put("ready", view.ready());
        body.put("leader", self.leader());
        body.put("version", view.configuration().version());
        ArrayNode instances = body.putArray("instances");
        for (InstanceState state : mCell.instances()) {
            instances
                    .addObject()
                    .put("id", state.id())
                    .put("failureDomain", state.failureDomain())
                    .put("incarnation", state.incarnation())
                    .put("version", state.configurationVersion())
                    .put("leaving", state.leaving());
        }
        if (mCell.replica() != null) {
            body.putObject("replica")
                    .put("term", mCell.replica().replica().term())
                    .put("committed", mCell.replica().replica().commitIndex())
                    .put("trusted", mCell.replica().replica().isTrusted())
                    .put("claims", mCell.replica().state().claimCount());
            body.set("openPlans", Json.treeOf(mCell.replica().state().openPlans()));
        }
        body.put("targets", view.targets().size());
        return body;
    }

    private ObjectNode targetsBody() {
        ObjectNode body = JsonTree.object();
        CellView view = mCell.view();
        ArrayNode list = body.putArray("targets");
        for (TargetRecord target : view.targets()) {
            ObjectNode entry = (ObjectNode) Json.treeOf(target);
            entry.put("retired", view.configuration().isRetired(target.id()));
            list.add(entry);
        }
        return body;
    }

    private <T> CompletableFuture<T> onCell(Supplier<T> action) {
        CompletableFuture<T> future = new CompletableFuture<>();
        mCellReactor.execute(() -> future.complete(action.get()));
        return future;
    }

    private Promise<HttpResponse> guarded(HttpRequest request, Action action) {
        if (!CallerHeaders.sha256(CallerHeaders.bearer(request))
                .equals(mSite.operatorTokenHash())) {
            return Promise.of(
                    Responses.failure(QuilldykeException.notRun(ResultCode.OPERATOR_TOKEN, "")));
        }
        return action.run()
                .then(
                        Promise::of,
                        e -> {
                            QuilldykeException known = Responses.failureOf(e, Outcome.UNKNOWN);
                            if (known.code() == ResultCode.INTERNAL) {
                                mLog.fault(e, "operator");
                            }
                            return Promise.of(Responses.failure(known));
                        });
    }

    private interface Action {
        Promise<HttpResponse> run();
    }

    /**
     * An intent as an operator sends it.
     *
     * @param number the operator's number, under which one intent wins
     * @param intentId the same for each resend
     * @param operator who states it
     * @param intent what is wanted
     */
    public record StatedIntent(String number, String intentId, String operator, Intent intent) {}
}
