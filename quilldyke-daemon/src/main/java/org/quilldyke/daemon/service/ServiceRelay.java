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
package org.quilldyke.daemon.service;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.quilldyke.Outcome;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.caller.AttemptState;
import org.quilldyke.control.Claim;
import org.quilldyke.control.Configuration;
import org.quilldyke.daemon.caller.CallerHeaders;
import org.quilldyke.daemon.caller.ClaimGuard;
import org.quilldyke.daemon.caller.Entry;
import org.quilldyke.daemon.caller.OpenRequest;
import org.quilldyke.daemon.caller.Responses;
import org.quilldyke.daemon.caller.TrafficContext;
import org.quilldyke.daemon.engine.EngineClient;
import org.quilldyke.daemon.log.Event;
import org.quilldyke.daemon.routing.CellView;
import org.quilldyke.engine.TargetRecord;
import org.quilldyke.routing.Decision;

/**
 * Relays calls to plain services, {@code /services/{service}/...}.
 *
 * <p>A call is tried again elsewhere if it surely did not run, or if it may run twice: methods that
 * HTTP calls idempotent, unless the caller says otherwise, and whatever the caller says may. One
 * with an idempotency key that must not be repeated is claimed first.
 */
public final class ServiceRelay {
    private static final Set<HttpMethod> IDEMPOTENT =
            Set.of(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.PUT, HttpMethod.DELETE);

    private static final HttpHeader[] FORWARDED = {
        HttpHeaders.CONTENT_TYPE, HttpHeaders.ACCEPT, CallerHeaders.KEY
    };

    private final TrafficContext mContext;
    private final String mIdPrefix;
    private final AtomicLong mNumbers = new AtomicLong();

    private ServiceRelay(TrafficContext context, String idPrefix) {
        mContext = context;
        mIdPrefix = idPrefix;
    }

    /**
     * Returns a relay on one traffic thread.
     *
     * @param context what the thread works with
     * @param idPrefix makes request ids unique in the cell
     */
    public static ServiceRelay create(TrafficContext context, String idPrefix) {
        return new ServiceRelay(context, idPrefix);
    }

    /** Serves one call. */
    public Promise<HttpResponse> serve(HttpRequest request) {
        return Entry.body(mContext, request)
                .then(body -> admit(request, body))
                .then(Promise::of, e -> Promise.of(Entry.refuse(mContext, e)));
    }

    private Promise<HttpResponse> admit(HttpRequest request, byte[] body)
            throws QuilldykeException {
        CellView view = mContext.view().get();
        Configuration.Organisation organisation =
                CallerHeaders.organisation(request, view.configuration());
        String service = request.getPathParameter("service");
        if (!view.knowsService(service)) {
            throw QuilldykeException.notRun(ResultCode.UNKNOWN_SERVICE, service);
        }
        mContext.metrics().requests().inc();
        mContext.budget().onRequest();
        boolean idempotent = IDEMPOTENT.contains(request.getMethod());
        String id = mIdPrefix + mNumbers.incrementAndGet();
        Call call =
                new Call(
                        id,
                        // Engines' requests count up from 1, so these count down from -1.
                        -mNumbers.get(),
                        service,
                        request,
                        body,
                        CallerHeaders.repeatable(request, idempotent),
                        CallerHeaders.key(request),
                        organisation,
                        new Running(id));
        boolean claimed = !CallerHeaders.repeatable(request, true) && !call.key().isEmpty();
        OpenRequest.of(request).ownedBy(call.running());
        mContext.admission().enter(organisation);
        Promise<HttpResponse> answer =
                claimed ? claimed(call) : attempt(call, 1, new HashSet<>(), Outcome.NOT_RUN);
        return answer.whenComplete(() -> mContext.admission().leave(organisation))
                .whenResult(() -> mContext.metrics().answered().inc());
    }

    private Promise<HttpResponse> claimed(Call call) {
        ClaimGuard guard =
                ClaimGuard.of(mContext, call.organisation().name(), call.key(), call.id());
        call.running().mGuard = guard;
        String content = call.request().getMethod() + call.request().getPathAndQuery();
        String fingerprint = CallerHeaders.sha256(content) + CallerHeaders.sha256(call.body());
        return guard.claim(fingerprint)
                .then(
                        stored ->
                                stored != null
                                        ? Promise.of(storedAnswer(stored))
                                        : runClaimed(call, guard));
    }

    private Promise<HttpResponse> runClaimed(Call call, ClaimGuard guard) {
        return attempt(call, 1, new HashSet<>(), Outcome.NOT_RUN)
                .then(
                        response -> {
                            String type = response.getHeader(HttpHeaders.CONTENT_TYPE);
                            byte[] body = response.getBody().getArray();
                            return guard.answered(
                                            response.getCode(), body, type == null ? "" : type)
                                    .map(v -> response);
                        },
                        e -> {
                            QuilldykeException known = Responses.failureOf(e, Outcome.UNKNOWN);
                            if (known.outcome() == Outcome.NOT_RUN) {
                                guard.release();
                                return Promise.ofException(known);
                            }
                            return guard.unknown().then(v -> Promise.ofException(known));
                        });
    }

    private Promise<HttpResponse> attempt(
            Call call, int attempt, Set<String> tried, Outcome before) {
        Decision decision;
        try {
            decision =
                    mContext.router()
                            .decideByLoad(
                                    mContext.view().get().targetsOf(call.service()),
                                    tried,
                                    call.number(),
                                    mContext.clock().getAsLong());
        } catch (QuilldykeException e) {
            return Promise.ofException(
                    before == Outcome.NOT_RUN
                            ? e
                            : QuilldykeException.of(e.code(), before, "after an attempt"));
        }
        TargetRecord target = decision.target();
        log(call, decision, attempt);
        mContext.metrics().attempts().inc();
        call.running().mOutcome = Outcome.UNKNOWN;
        long patience = mContext.site().timings().firstToken();
        return Promises.timeout(Duration.ofMillis(patience), exchange(call, target, attempt))
                .whenComplete(() -> mContext.router().onEnd(target.id(), call.number()))
                .then(
                        Promise::of,
                        e -> {
                            tried.add(target.id());
                            return onFailed(call, attempt, tried, before, e);
                        });
    }

    private Promise<HttpResponse> exchange(Call call, TargetRecord target, int attempt) {
        String prefix = "/services/" + call.service();
        String path = call.request().getPathAndQuery().substring(prefix.length());
        HttpRequest.Builder out =
                HttpRequest.builder(call.request().getMethod(), "http://" + target.address() + path)
                        .withHeader(EngineClient.REQUEST_ID, call.id())
                        .withHeader(EngineClient.ATTEMPT, Integer.toString(attempt))
                        .withBody(call.body());
        for (HttpHeader header : FORWARDED) {
            String value = call.request().getHeader(header);
            if (value != null) {
                out.withHeader(header, value);
            }
        }
        return mContext.client().send(out.build()).then(this::whole);
    }

    private Promise<HttpResponse> whole(HttpResponse response) {
        String type = response.getHeader(HttpHeaders.CONTENT_TYPE);
        int status = response.getCode();
        return response.loadBody(mContext.site().limits().answerBytes())
                .map(
                        body ->
                                Responses.ok(
                                        Outcome.RAN,
                                        status,
                                        type == null ? "application/octet-stream" : type,
                                        body.getArray()));
    }

    private Promise<HttpResponse> onFailed(
            Call call, int attempt, Set<String> tried, Outcome before, Exception e) {
        AttemptState state =
                e instanceof EngineClient.AttemptException failure
                        ? failure.state()
                        : AttemptState.SENDING;
        Outcome outcome = before.combinedWith(state.outcome());
        mContext.log()
                .write(
                        Event.ATTEMPT_FAILED,
                        "request",
                        call.id(),
                        "attempt",
                        attempt,
                        "state",
                        state,
                        "cause",
                        e);
        call.running().mOutcome = outcome;
        boolean again =
                !call.running().mCut
                        && state.outcome().mayRetry(call.repeatable())
                        && attempt < mContext.site().limits().attempts()
                        && mContext.budget().tryAcquire();
        if (again) {
            return attempt(call, attempt + 1, tried, outcome);
        }
        return Promise.ofException(
                QuilldykeException.of(ResultCode.TARGET_LOST, outcome, String.valueOf(e)));
    }

    private static HttpResponse storedAnswer(Claim claim) {
        return Responses.ok(
                Outcome.RAN,
                claim.status(),
                claim.contentType().isEmpty() ? "application/octet-stream" : claim.contentType(),
                ClaimGuard.bodyOf(claim));
    }

    private void log(Call call, Decision d, int attempt) {
        mContext.log()
                .write(
                        Event.ROUTED,
                        "request",
                        call.id(),
                        "attempt",
                        attempt,
                        "org",
                        call.organisation().name(),
                        "service",
                        call.service(),
                        "target",
                        d.target().id(),
                        "reason",
                        d.reason(),
                        "runner_up",
                        d.runnerUp(),
                        "candidates",
                        d.candidates());
    }

    private record Call(
            String id,
            long number,
            String service,
            HttpRequest request,
            byte[] body,
            boolean repeatable,
            String key,
            Configuration.Organisation organisation,
            Running running) {}

    /** What became of a call so far, for a shutdown that has to end it. */
    private static final class Running implements OpenRequest.Owner {
        private final String mId;
        private Outcome mOutcome = Outcome.NOT_RUN;
        private ClaimGuard mGuard;
        private boolean mCut;

        Running(String id) {
            mId = id;
        }

        @Override
        public String id() {
            return mId;
        }

        @Override
        public Outcome outcome() {
            return mOutcome;
        }

        @Override
        public int tokens() {
            return 0;
        }

        @Override
        public void cut(QuilldykeException e) {
            mCut = true;
            if (mGuard == null) {
                return;
            }
            if (mOutcome == Outcome.NOT_RUN) {
                mGuard.release();
            } else {
                mGuard.unknown();
            }
        }
    }
}
